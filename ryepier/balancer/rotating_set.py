"""A set that is visited in parts, so that the work of one visit does not grow with the set."""

from collections.abc import Hashable, Iterator
from typing import Generic, TypeVar

T = TypeVar("T", bound=Hashable)


class RotatingSet(Generic[T]):
    """A set whose members are visited in turn, a limited number at a time.

    Adding, removing and testing a member take constant time.
    """

    __slots__ = ("_indexes", "_members", "_next_index")

    def __init__(self) -> None:
        """Start empty."""
        self._members: list[T] = []
        self._indexes: dict[T, int] = {}
        self._next_index = 0

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self._members)

    def __contains__(self, member: object) -> bool:
        """Return whether an object is a member."""
        return member in self._indexes

    def __iter__(self) -> Iterator[T]:
        """Iterate over all members."""
        return iter(self._members)

    def add(self, member: T) -> None:
        """Add a member; without effect if it already is one."""
        if member not in self._indexes:
            self._indexes[member] = len(self._members)
            self._members.append(member)

    def discard(self, member: T) -> None:
        """Remove a member, if it is one. The last member takes its place."""
        index = self._indexes.pop(member, None)
        if index is None:
            return
        last = self._members.pop()
        if last is not member:
            self._members[index] = last
            self._indexes[last] = index

    def next_batch(self, limit: int) -> list[T]:
        """Return up to `limit` members, beginning behind those that the previous call returned."""
        count = len(self._members)
        if count <= limit:
            return self._members[:]
        start = self._next_index % count
        self._next_index = (start + limit) % count
        batch = self._members[start : start + limit]
        return batch + self._members[: limit - len(batch)]
