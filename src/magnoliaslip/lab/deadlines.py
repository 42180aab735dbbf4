"""Priority queue of deadlines by key."""

from collections.abc import Hashable
from heapq import heappop, heappush
from itertools import count
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class DeadlineQueue(Generic[K]):
    """Holds at most one deadline per key.

    >>> queue = DeadlineQueue()
    >>> queue.set("a", 2.0)
    >>> queue.set("b", 1.0)
    >>> queue.set("b", 3.0)
    >>> queue.next_deadline, queue.pop_due(2.5), queue.next_deadline
    (2.0, ['a'], 3.0)
    """

    __slots__ = ("_deadlines", "_heap", "_sequence")

    def __init__(self) -> None:
        self._deadlines: dict[K, float] = {}
        self._heap: list[tuple[float, int, K]] = []
        self._sequence = count()  # breaks ties, as keys may not be orderable

    def set(self, key: K, deadline: float | None) -> None:
        """Set or replace the deadline of a key; None removes it."""
        if deadline is None:
            self._deadlines.pop(key, None)
        elif self._deadlines.get(key) != deadline:
            self._deadlines[key] = deadline
            heappush(self._heap, (deadline, next(self._sequence), key))

    @property
    def next_deadline(self) -> float | None:
        """The earliest deadline, or None."""
        while self._heap:
            deadline, _, key = self._heap[0]
            if self._deadlines.get(key) == deadline:
                return deadline
            heappop(self._heap)
        return None

    def pop_due(self, now: float) -> list[K]:
        """Remove and return the keys whose deadline has passed, earliest first."""
        due = []
        while (deadline := self.next_deadline) is not None and deadline <= now:
            key = heappop(self._heap)[2]
            del self._deadlines[key]
            due.append(key)
        return due
