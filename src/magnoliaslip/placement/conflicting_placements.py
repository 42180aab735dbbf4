"""Second servers of flows that two owners placed during a partition."""

from collections import OrderedDict

MAX_CONFLICTS = 4_096
# After a partition both sides receive each other's placements within the settling time
# `HEAL_SETTLING_S`, which is much shorter.
CONFLICT_RETENTION_S = 30.0
# Members use a changed exception after a round trip; earlier resets follow from packets
# that were sent to the former server.
MIN_SWAP_INTERVAL_S = 0.1


class ConflictingPlacements:
    """Tracks the other server that may hold a flow, bounded in flows.

    Two owners on the sides of a partition may both place a flow. The caller accepts
    one SYN-ACK, and the other server resets the flow.

    >>> conflicts = ConflictingPlacements()
    >>> conflicts.add(b"flow", 3, 10.0)
    >>> conflicts.swap(b"flow", 5, 10.5)
    3
    >>> conflicts.swap(b"flow", 3, 10.55) is None
    True
    >>> conflicts.swap(b"flow", 3, 11.0)
    5
    """

    __slots__ = ("_flows",)

    def __init__(self) -> None:
        # Server number, deadline, and the time from which a swap is allowed.
        self._flows: OrderedDict[bytes, tuple[int, float, float]] = OrderedDict()

    def add(
        self, key: bytes, number: int, now: float, *, was_used: bool = False
    ) -> None:
        """Add the other server of a flow.

        Args:
            key: Flow key.
            number: Number of the other server.
            now: Monotonic time in seconds.
            was_used: Whether packets were sent to this server until now, so that
                resets of it may be in transit.
        """
        swap_at = now + MIN_SWAP_INTERVAL_S if was_used else now
        self._flows[key] = number, now + CONFLICT_RETENTION_S, swap_at
        self._flows.move_to_end(key)
        if len(self._flows) > MAX_CONFLICTS:
            self._flows.popitem(last=False)

    def swap(self, key: bytes, number: int, now: float) -> int | None:
        """Return the other server of a flow, and store the one that reset it instead.

        Args:
            key: Flow key.
            number: Number of the server that reset the flow.
            now: Monotonic time in seconds.

        Returns:
            None when no other server is tracked, or the last swap is too recent.
        """
        entry = self._flows.get(key)
        if entry is None or now >= entry[1] or now < entry[2]:
            return None
        other, deadline, _ = entry
        self._flows[key] = number, deadline, now + MIN_SWAP_INTERVAL_S
        return None if other == number else other
