"""Rate limit of the digests that are sent between two periods."""


class AnnouncementLimiter:
    """Token bucket for announcements.

    Some may follow each other at once: news of evidence, and the correction of it,
    arrive within a few milliseconds.

    Args:
        per_s: Sustained rate.
        burst: Announcements that may follow each other at once.

    >>> limiter = AnnouncementLimiter(per_s=5, burst=2)
    >>> limiter.take(10.0), limiter.take(10.0), limiter.take(10.0)
    (True, True, False)
    >>> limiter.delay_s(10.0)
    0.2
    """

    __slots__ = ("_burst", "_per_s", "_refilled_at", "_tokens")

    def __init__(self, *, per_s: float, burst: int) -> None:
        self._per_s = per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at = float("-inf")

    def take(self, now: float) -> bool:
        """Take a token if there is one; returns whether there was."""
        if self.delay_s(now):
            return False
        self._tokens -= 1.0
        return True

    def delay_s(self, now: float) -> float:
        """Return the seconds until the next announcement may be sent."""
        gained = (now - self._refilled_at) * self._per_s
        self._tokens = min(float(self._burst), self._tokens + gained)
        self._refilled_at = now
        return max(0.0, (1.0 - self._tokens) / self._per_s)
