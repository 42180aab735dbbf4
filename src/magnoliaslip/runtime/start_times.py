"""How long the parts of a start took."""

from time import monotonic


class StartTimes:
    """Times of a start, for the log.

    Args:
        began: Monotonic time in seconds at which the sockets were open.
    """

    __slots__ = ("_began", "_parts")

    def __init__(self, began: float) -> None:
        self._began = began
        self._parts: dict[str, float] = {}

    def note(self, part: str) -> None:
        """Note that a part is over."""
        self._parts[part] = monotonic()

    def fields(self) -> dict[str, float]:
        """Return the milliseconds from the begin to the end of each part."""
        return {
            f"{part}_ms": round((at - self._began) * 1000, 1)
            for part, at in self._parts.items()
        }
