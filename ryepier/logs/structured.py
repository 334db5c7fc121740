"""Log records as JSON lines, on the standard library's logging. The rate limit comes before the formatting, so dropped
records are never rendered."""

from __future__ import annotations

import json
import logging
import sys
from datetime import UTC, datetime

from ryepier.conf.operator_settings import LogFormat, LoggingSettings
from ryepier.sidecar.logs import RateLimitFilter

# what every record has; the rest was put in by the caller with `extra` and belongs in the line
_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime", "taskName"}


class JsonLinesFormatter(logging.Formatter):
    """One JSON object per record: time (UTC, ISO 8601), level, logger, message, the caller's own fields."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line of a record."""
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
    """Send the root logger's records to standard error as the operators want them."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonLinesFormatter() if settings.format is LogFormat.JSON else logging.Formatter("%(levelname)s %(message)s")
    )
    handler.addFilter(RateLimitFilter(settings.lines_per_s))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(settings.level.upper())
