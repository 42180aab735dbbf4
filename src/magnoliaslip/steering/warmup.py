"""Share of one instance in the rate of new flows that a cold server can handle."""


class WarmUpBudget:
    """Token bucket for the new flows of this instance on one cold server.

    Answers the load pattern of all servers of a service that come up cold at once, by
    dozens, while instances start too. The rate that the service states applies to the
    whole fleet. Without a coordinator, each instance uses an equal share of it,
    counting itself and the instances that it knows of. Those that are not live count
    until they expire, as they may keep running in a partition. An instance that has
    just started does not know the others yet and has no share.

    Args:
        now: Monotonic time in seconds.
    """

    __slots__ = ("_refilled_at", "_tokens")

    def __init__(self, now: float) -> None:
        # A server that has just become cold has no unused allowance, on this instance
        # or on others.
        self._tokens = 0.0
        self._refilled_at = now

    def available(self, now: float, rate_per_s: float) -> bool:
        """Refill the budget and check whether one more flow may be placed.

        Args:
            now: Monotonic time in seconds.
            rate_per_s: This instance's share of the stated rate.
        """
        self._tokens = min(1.0, self._tokens + (now - self._refilled_at) * rate_per_s)
        self._refilled_at = now
        return self._tokens >= 1.0

    def consume(self) -> None:
        """Count a placed flow."""
        self._tokens -= 1.0
