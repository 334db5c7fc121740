"""Base class of events, actions and settings."""

from __future__ import annotations


class Record:
    """Base of the dataclasses with slots, which provides their `__repr__` and `__eq__`.

    Generating both methods for each dataclass would take a sixth of the sidecar's start-up time.
    """

    __slots__: tuple[str, ...] = ()

    def __repr__(self) -> str:
        """Return the class name with its fields, in the format of dataclasses."""
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__qualname__}({fields})"

    def __eq__(self, other: object) -> bool:
        """Return whether the other record is of the same class and has equal fields."""
        if type(other) is not type(self):
            return NotImplemented
        return all(getattr(self, name) == getattr(other, name) for name in self.__slots__)

    __hash__ = None  # type: ignore[assignment]
