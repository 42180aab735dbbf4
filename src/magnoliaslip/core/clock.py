"""Sources of time."""

from abc import ABC, abstractmethod
from time import CLOCK_BOOTTIME, clock_gettime, monotonic, time


class Clock(ABC):
    """A source of time; real, or virtual in tests and simulations."""

    __slots__ = ()

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds since an arbitrary origin; never steps backwards."""

    @abstractmethod
    def wall(self) -> float:
        """Return seconds since the Unix epoch; may step."""

    def boottime(self) -> float:
        """Return monotonic seconds that include times of suspension."""
        return self.monotonic()


class SystemClock(Clock):
    """The clocks of the operating system.

    >>> clock = SystemClock()
    >>> clock.monotonic() <= clock.monotonic()
    True
    """

    __slots__ = ()

    def monotonic(self) -> float:
        """Return seconds of ``CLOCK_MONOTONIC``."""
        return monotonic()

    def wall(self) -> float:
        """Return seconds since the Unix epoch."""
        return time()

    def boottime(self) -> float:
        """Return seconds of ``CLOCK_BOOTTIME``."""
        return clock_gettime(CLOCK_BOOTTIME)


class ManualClock(Clock):
    """A clock that advances only on request, for tests and virtual time.

    Args:
        start: Initial monotonic time in seconds.
        wall_offset: Unix time in seconds at the monotonic time 0.

    >>> clock = ManualClock(start=5.0)
    >>> clock.advance(0.5)
    >>> clock.monotonic()
    5.5
    """

    __slots__ = ("_now", "wall_offset")

    def __init__(self, *, start: float = 0.0, wall_offset: float = 1.7e9) -> None:
        self._now = start
        self.wall_offset = wall_offset

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._now

    def wall(self) -> float:
        """Return the virtual time plus ``wall_offset``."""
        return self._now + self.wall_offset

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self._now += seconds
