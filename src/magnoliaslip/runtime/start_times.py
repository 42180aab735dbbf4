"""Measures the phases of a start."""

from time import monotonic


class StartTimes:
    """Completion times of the phases of a start, for the log.

    Args:
        opened_at: Monotonic time in seconds at which the sockets were open.
    """

    __slots__ = ("_opened_at", "_phase_ends")

    def __init__(self, opened_at: float) -> None:
        self._opened_at = opened_at
        self._phase_ends: dict[str, float] = {}

    def record(self, phase: str) -> None:
        """Record that a phase is complete."""
        self._phase_ends[phase] = monotonic()

    def fields(self) -> dict[str, float]:
        """Return milliseconds from the opening of the sockets to each phase's end."""
        return {
            f"{phase}_ms": round((at - self._opened_at) * 1000, 1)
            for phase, at in self._phase_ends.items()
        }
