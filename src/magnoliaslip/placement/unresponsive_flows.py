"""Established flows whose payload is sent again and again without an answer."""

from collections import OrderedDict

MAX_TRACKED_FLOWS = 4_096
UNRESPONSIVE_S = 10.0
UNRESPONSIVE_TRANSMISSIONS = 3


class UnresponsiveFlowDetector:
    """Counts transmissions of the same payload sequence number, bounded in flows."""

    __slots__ = ("_flows",)

    def __init__(self) -> None:
        # Removing the oldest entry of a plain dict again and again takes linear time.
        self._flows: OrderedDict[bytes, tuple[int, int, float]] = OrderedDict()

    def record_payload(self, key: bytes, seq: int, now: float) -> bool:
        """Record a payload packet that the owner forwarded.

        Returns:
            Whether the flow just became unresponsive: the third transmission or a
            later one, at least 10 s after the first.
        """
        former = self._flows.get(key)
        if former is None or former[0] != seq:
            if former is None and len(self._flows) >= MAX_TRACKED_FLOWS:
                self._flows.popitem(last=False)
            self._flows[key] = (seq, 1, now)
            return False
        _, transmissions, since = former
        transmissions += 1
        unresponsive = (
            transmissions >= UNRESPONSIVE_TRANSMISSIONS
            and now - since >= UNRESPONSIVE_S
        )
        # Infinity keeps the flow from being reported more than once.
        self._flows[key] = (seq, transmissions, float("inf") if unresponsive else since)
        return unresponsive

    def remove(self, key: bytes) -> None:
        """Remove a flow that was closed."""
        self._flows.pop(key, None)
