"""The operators' file (`deploy/ryepier.toml`): what they set beside the platform's own configuration."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Annotated, Literal

import msgspec

from ryepier.conf import check

ENVIRONMENT_PREFIX = "RYEPIER_"
MOST_LINES_A_SECOND = 1000  # more would make the log the sidecar's main work


class Logging(msgspec.Struct, kw_only=True, frozen=True):
    """How the sidecar writes its log, to standard error."""

    format: Literal["plain", "json"] = "plain"
    level: Literal["debug", "info", "warning", "error"] = "info"
    lines_per_s: Annotated[int, msgspec.Meta(ge=1, le=MOST_LINES_A_SECOND)] = 5


class Operators(msgspec.Struct, kw_only=True, frozen=True):
    """The whole file; every table may be left out."""

    logging: Logging = msgspec.field(default_factory=Logging)


def parse(text: str, environment: Mapping[str, str]) -> Operators:
    """The settings of a file's text, overridden by `RYEPIER_TABLE__KEY` variables; raises check.ConfigurationError."""
    return check.parse(text, Operators, environment, ENVIRONMENT_PREFIX)
