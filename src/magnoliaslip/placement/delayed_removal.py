"""Flows that ended, until no late packet of them is expected."""

from collections import deque
from collections.abc import Iterator

# Long enough for the last acknowledgements and retransmitted FINs of a flow.
REMOVAL_DELAY_SECONDS = 10.0


class DelayedRemovalQueue:
    """Flow keys in the order in which they end, grouped by second.

    Groups cost one list a second in place of one tuple and one float a flow.
    """

    __slots__ = ("_groups",)

    def __init__(self) -> None:
        self._groups: deque[tuple[int, list[bytes]]] = deque()

    def add(self, key: bytes, now: float) -> None:
        """Add a flow that ended now."""
        second = int(now)
        if not self._groups or self._groups[-1][0] != second:
            self._groups.append((second, []))
        self._groups[-1][1].append(key)

    def due(self, now: float) -> Iterator[bytes]:
        """Remove and return the flows whose time is over."""
        while self._groups and self._groups[0][0] + 1 + REMOVAL_DELAY_SECONDS <= now:
            yield from self._groups.popleft()[1]
