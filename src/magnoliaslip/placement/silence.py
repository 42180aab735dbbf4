"""Established flows whose payload is sent again and again without an answer."""

MAX_WATCHED = 4_096
SILENT_SECONDS = 10.0
SILENT_COPIES = 3


class SilenceWatch:
    """Counts copies of the same payload sequence number, bounded in flows."""

    __slots__ = ("_flows",)

    def __init__(self) -> None:
        self._flows: dict[bytes, tuple[int, int, float]] = {}

    def note(self, key: bytes, seq: int, now: float) -> bool:
        """Note a payload packet that the owner sent on.

        Returns:
            Whether the flow just became silent: the third copy or a later one, 10 s
            after the first.
        """
        former = self._flows.pop(key, None)
        if former is None or former[0] != seq:
            if len(self._flows) >= MAX_WATCHED:
                del self._flows[next(iter(self._flows))]
            self._flows[key] = (seq, 1, now)
            return False
        _, copies, since = former
        copies += 1
        silent = copies >= SILENT_COPIES and now - since >= SILENT_SECONDS
        # Infinity keeps the flow from being reported more than once.
        self._flows[key] = (seq, copies, float("inf") if silent else since)
        return silent

    def forget(self, key: bytes) -> None:
        """Stop watching a flow that ended."""
        self._flows.pop(key, None)
