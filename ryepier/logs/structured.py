"""Configures the standard library's logging: plain or JSON lines, with a rate limit.

The rate limit is a filter, which runs before the formatter, so dropped records cost no formatting.
"""

from __future__ import annotations

import json
import logging
import sys
from datetime import UTC, datetime

from ryepier.conf.operator_settings import LogFormat, LoggingSettings
from ryepier.sidecar.logs import RateLimitFilter

# Attributes of every log record. All others come from the caller's `extra` argument and are written to the JSON line.
_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


class JsonLinesFormatter(logging.Formatter):
    """Formats a record as a JSON object: time (UTC, ISO 8601), level, logger, message and the fields from `extra`."""

    def format(self, record: logging.LogRecord) -> str:
        """Return a record as one line of JSON. Values that JSON does not support are converted to strings."""
        entry: dict[str, object] = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "logger": record.name,
            "message": record.getMessage(),
        }
        entry |= {name: value for name, value in vars(record).items() if name not in _STANDARD_FIELDS}
        if record.exc_info:
            entry["exception"] = self.formatException(record.exc_info)
        return json.dumps(entry, default=str, ensure_ascii=False)


def configure_logging(settings: LoggingSettings) -> None:
    """Replace the root logger's handlers by one that writes to standard error as the settings specify."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonLinesFormatter() if settings.format is LogFormat.JSON else logging.Formatter("%(levelname)s %(message)s")
    )
    handler.addFilter(RateLimitFilter(settings.lines_per_s))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level.upper())
