"""Packets held while the view of the instance is suspect."""

from collections import deque

from magnoliaslip.core.links import Direction

MAX_HELD_PACKETS = 4_096
MAX_HOLD_SECONDS = 0.5
# After a pause others serve meanwhile, and on a busy machine peers have taken more than
# 0.5 s to answer; packets then went to a zone that had been taken out.
MAX_HOLD_AFTER_PAUSE_SECONDS = 2.0


class SuspectQueue:
    """A bounded queue with the time at which waiting ends."""

    __slots__ = ("_held", "deadline")

    def __init__(self) -> None:
        self._held: deque[tuple[bytes, Direction, int]] = deque()
        self.deadline = 0.0

    def start(self, now: float, *, paused: bool) -> None:
        """Start to wait, longer after a pause of the process."""
        limit = MAX_HOLD_AFTER_PAUSE_SECONDS if paused else MAX_HOLD_SECONDS
        self.deadline = max(self.deadline, now + limit)

    def add(self, packet: bytes, direction: Direction, hops: int) -> bool:
        """Hold a packet; returns False when the queue is full."""
        if len(self._held) >= MAX_HELD_PACKETS:
            return False
        self._held.append((packet, direction, hops))
        return True

    def pop_all(self) -> deque[tuple[bytes, Direction, int]]:
        """Return the held packets, oldest first, and hold none."""
        held, self._held = self._held, deque()
        return held
