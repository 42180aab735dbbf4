"""The share of one instance in what a cold backend server bears."""


class WarmUpBudget:
    """New flows that this instance may place on one cold server.

    The stated rate holds for the whole fleet. Without a coordinator, each instance
    takes an equal part of it, by the number of instances that it hears; an instance
    that hears nobody takes the part that it had.

    Args:
        now: Monotonic time in seconds.
    """

    __slots__ = ("_refilled_at", "_tokens")

    def __init__(self, now: float) -> None:
        # A server that has just become cold has no flow in hand, here or elsewhere.
        self._tokens = 0.0
        self._refilled_at = now

    def available(self, now: float, rate_per_s: float) -> bool:
        """Return whether one more flow may be placed.

        Args:
            now: Monotonic time in seconds.
            rate_per_s: This instance's part of the stated rate.
        """
        self._tokens = min(1.0, self._tokens + (now - self._refilled_at) * rate_per_s)
        self._refilled_at = now
        return self._tokens >= 1.0

    def consume(self) -> None:
        """Count a placed flow."""
        self._tokens -= 1.0
