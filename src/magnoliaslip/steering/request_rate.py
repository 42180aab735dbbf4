"""Rate of the requests that an instance forwards to a server."""

from math import exp

# Time constant of the request rate in seconds: about one feed request per user.
RATE_TIME_CONSTANT_S = 1.0


class RequestRate:
    """Exponentially decaying rate of requests."""

    __slots__ = ("_updated_at", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._updated_at = 0.0

    def add(self, now: float) -> None:
        """Count one request."""
        self._value = self.per_s(now) + 1.0 / RATE_TIME_CONSTANT_S
        self._updated_at = now

    def per_s(self, now: float) -> float:
        """Return requests per second."""
        return self._value * exp((self._updated_at - now) / RATE_TIME_CONSTANT_S)
