"""Reads the configuration of a sidecar, a JSON file whose path is in BALANCER_CONFIG."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from ryepier.balancer import settings_parser
from ryepier.balancer.interface import Settings
from ryepier.sidecar.system import Address

T = TypeVar("T")

MIN_MEMORY_MB = 32  # the smallest limit on memory that the platform sets


@dataclass(slots=True)
class Config:
    """The parsed configuration of one sidecar."""

    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int  # the most file descriptors that the process may have open
    settings: Settings
    zones: list[str]
    kinds: list[str]
    upstream_idle_timeout_us: int  # upstreams close a connection that has been idle for this long
    cached_list: Any  # the last known endpoint list, in the format of discovery's messages; None if there is none
    name: str = ""  # identifies the sidecar across restarts
    memory_mb: int = MIN_MEMORY_MB  # the platform ends a process that takes more
    path: str = ""  # path of the configuration file, which is read again on SIGHUP


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Flatten nested settings into the dotted paths and text values that the simulator sends in its first message."""
    if isinstance(value, Mapping):
        items = list(value.items())
    elif isinstance(value, list) and (not value or isinstance(value[0], Mapping)):
        items = [("count", len(value)), *enumerate(value)]
    elif isinstance(value, list):
        return {path: ",".join(map(str, value))}
    else:
        return {path: str(value).lower() if isinstance(value, bool) else str(value)}
    pairs: dict[str, str] = {}
    for key, item in items:
        pairs |= flatten(item, f"{path}.{key}" if path else str(key))
    return pairs


def parse_address(text: str) -> Address:
    """Split `host:port` into its parts. Raises ValueError if the text has another form."""
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal():
        raise ValueError(f"expected host:port, got {text!r}")
    return host, int(port)


def parse_memory(value: Any) -> int:
    """Return a limit on memory in whole MiB. Raises ValueError or TypeError if it is not a positive number."""
    memory_mb = int(value)
    if memory_mb <= 0:
        raise ValueError(f"expected a positive number, got {value!r}")
    return memory_mb


def read_value(raw: Any, path: str, convert: Callable[[Any], T]) -> T:
    """Return the value at a dotted path, converted by `convert`. Raises ValueError with the path in its message."""
    value = raw
    for key in path.split("."):
        if not isinstance(value, Mapping) or key not in value:
            raise ValueError(f"{path} is missing")
        value = value[key]
    try:
        return convert(value)
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise ValueError(f"{path}: {error}") from None


def load(path: str) -> Config:
    """Read and validate the configuration file.

    Raises OSError if it can't be read, and ValueError or SettingsError, with the key in the message, if a value is
    missing or invalid.
    """
    with open(path, encoding="utf-8") as file:
        try:
            raw = json.load(file)
        except RecursionError:
            raise ValueError("nested too deeply") from None
    return Config(
        listen=read_value(raw, "listen", parse_address),
        discovery=read_value(raw, "discovery", parse_address),
        seed=read_value(raw, "seed", lambda text: int(text, 16)),
        max_descriptors=read_value(raw, "limits.sockets", int),
        settings=settings_parser.settings_from_pairs(read_value(raw, "settings", flatten)),
        zones=read_value(raw, f"settings.{settings_parser.ZONES_PATH}", list),
        kinds=read_value(raw, f"settings.{settings_parser.KINDS_PATH}", list),
        upstream_idle_timeout_us=read_value(
            raw, f"settings.{settings_parser.IDLE_TIMEOUT_PATH}", lambda value: int(float(value))
        ),
        cached_list=raw.get("known"),
        name=str(raw.get("name", "")),
        memory_mb=read_value(raw, "limits.memory_mb", parse_memory) if "memory_mb" in raw["limits"] else MIN_MEMORY_MB,
        path=path,
    )
