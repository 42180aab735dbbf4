"""Closed flows whose records are kept until no delayed packets are expected."""

from collections import deque
from collections.abc import Iterator

# Covers the last acknowledgements and retransmitted FINs of a flow.
REMOVAL_DELAY_S = 10.0


class DelayedRemovalQueue:
    """Keys of closed flows in the order of their closing, grouped by second.

    Groups need one list per second instead of one tuple and one float per flow.
    """

    __slots__ = ("_groups",)

    def __init__(self) -> None:
        self._groups: deque[tuple[int, list[bytes]]] = deque()

    def add(self, key: bytes, now: float) -> None:
        """Add a flow that was closed now."""
        second = int(now)
        if not self._groups or self._groups[-1][0] != second:
            self._groups.append((second, []))
        self._groups[-1][1].append(key)

    def due(self, now: float) -> Iterator[bytes]:
        """Remove and yield the flows whose delay has passed."""
        while self._groups and self._groups[0][0] + 1 + REMOVAL_DELAY_S <= now:
            yield from self._groups.popleft()[1]
