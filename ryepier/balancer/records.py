"""Base class of events, actions and settings."""

from __future__ import annotations


class Record:
    """A dataclass with slots whose representation and equality are written once.

    Generating both for each class would take a sixth of the sidecar's start.
    """

    __slots__: tuple[str, ...] = ()

    def __repr__(self) -> str:
        """Return the class with its fields, as a dataclass does."""
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__qualname__}({fields})"

    def __eq__(self, other: object) -> bool:
        """Return whether the other record is of the same class with the same fields."""
        if type(other) is not type(self):
            return NotImplemented
        return all(getattr(self, name) == getattr(other, name) for name in self.__slots__)

    __hash__ = None  # type: ignore[assignment]
