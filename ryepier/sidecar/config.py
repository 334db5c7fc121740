"""The configuration of one sidecar: the JSON file that BALANCER_CONFIG names."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any, TypeVar

from ryepier.balancer import settings_parser
from ryepier.balancer.interface import Settings
from ryepier.sidecar.system import Address

T = TypeVar("T")


@dataclass(slots=True)
class Config:
    """The configuration of one sidecar."""

    listen: Address
    discovery: Address
    seed: int
    max_descriptors: int  # file descriptors that it may hold
    settings: Settings
    zones: list[str]
    kinds: list[str]
    upstream_idle_timeout_us: int  # upstreams close a connection that has been idle for this long
    cached_list: Any  # the cached endpoint list, in discovery's form
    name: str = ""  # the same after a restart
    path: str = ""  # the file, to be read again on SIGHUP


def flatten(value: object, path: str = "") -> dict[str, str]:
    """Return nested settings as the path=value pairs of the simulator's first message."""
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
    """Return the parts of `host:port`. Raises ValueError."""
    host, colon, port = text.rpartition(":")
    if not colon or not host or not port.isdecimal():
        raise ValueError(f"expected host:port, got {text!r}")
    return host, int(port)


def read(raw: Any, path: str, make: Callable[[Any], T]) -> T:
    """Return the value at a path, converted by `make`. Raises ValueError, naming the path."""
    value = raw
    for key in path.split("."):
        if not isinstance(value, Mapping) or key not in value:
            raise ValueError(f"{path} is missing")
        value = value[key]
    try:
        return make(value)
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise ValueError(f"{path}: {error}") from None


def load(path: str) -> Config:
    """Read and check the file; raises OSError, ValueError or SettingsError, naming the key, on what is malformed."""
    with open(path, encoding="utf-8") as file:
        try:
            raw = json.load(file)
        except RecursionError:
            raise ValueError("nested too deeply") from None
    return Config(
        listen=read(raw, "listen", parse_address),
        discovery=read(raw, "discovery", parse_address),
        seed=read(raw, "seed", lambda text: int(text, 16)),
        max_descriptors=read(raw, "limits.sockets", int),
        settings=settings_parser.settings_from_pairs(read(raw, "settings", flatten)),
        zones=read(raw, f"settings.{settings_parser.ZONES_PATH}", list),
        kinds=read(raw, f"settings.{settings_parser.KINDS_PATH}", list),
        upstream_idle_timeout_us=read(
            raw, f"settings.{settings_parser.IDLE_TIMEOUT_PATH}", lambda value: int(float(value))
        ),
        cached_list=raw.get("known"),
        name=str(raw.get("name", "")),
        path=path,
    )
