"""The sidecar's log: the fields of JSON lines, and the limit on lines per second."""

from __future__ import annotations

import json
import logging

import pytest

from ryepier.conf.operator_settings import LogFormat, LoggingSettings
from ryepier.logs import structured
from tests.network_peers import check_rejected, request, run_async


class FormattingCounter:
    """An argument for log calls that counts how often any instance is converted to text."""

    format_count = 0

    def __str__(self) -> str:
        FormattingCounter.format_count += 1
        return "request 77 refused"


@pytest.fixture
def root_logger(monkeypatch: pytest.MonkeyPatch) -> logging.Logger:
    logger = logging.getLogger()
    monkeypatch.setattr(logger, "handlers", [])
    monkeypatch.setattr(logger, "level", logger.level)
    return logger


def test_json_line_contains_the_message_and_the_extra_fields(
    root_logger: logging.Logger, capsys: pytest.CaptureFixture[str]
) -> None:
    structured.configure_logging(LoggingSettings(format=LogFormat.JSON))
    logging.getLogger("ryepier.sidecar.dispatcher").info("%s", "request \u00fc refused", extra={"request": "77"})
    line = json.loads(capsys.readouterr().err)
    assert line["message"] == "request ü refused" and line["request"] == "77"
    assert (line["level"], line["logger"]) == ("info", "ryepier.sidecar.dispatcher") and line["time"].endswith("+00:00")


def test_lines_beyond_the_limit_or_below_the_level_are_never_formatted(
    root_logger: logging.Logger, capsys: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("ryepier.sidecar.logs.time.monotonic", lambda: 1000.5)
    structured.configure_logging(LoggingSettings(lines_per_s=3))
    FormattingCounter.format_count = 0
    for _ in range(10):
        root_logger.debug("%s", FormattingCounter())
        root_logger.info("%s", FormattingCounter())
    assert FormattingCounter.format_count == 3 and len(capsys.readouterr().err.splitlines()) == 3


def test_a_rejected_request_is_logged_with_its_reason_and_size(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO)
    run_async(lambda: check_rejected(request("pay", body=b"x" * 70_000), 413))
    [line] = [record.message for record in caplog.records if "not accepted" in record.message]
    assert line.startswith("request not accepted, status 413: the body is too long (head, ")
