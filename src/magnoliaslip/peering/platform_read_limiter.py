"""Rate limit for the reads of an instance from the platform."""

from random import Random

import anyio

from magnoliaslip.core.clock import Clock
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.peering.membership import Membership

WATCHERS_PER_ZONE = 2
# Their sum is below the 2,000 reads/s that the platform serves to all readers. The rest
# covers moments in which the random offsets of many instances coincide.
WATCHER_READS_PER_S = 1000.0
NON_WATCHER_READS_PER_S = 800.0


class PlatformReadLimiter:
    """Spaces the reads of one instance so that the fleet stays below a limit.

    A fleet of F listed instances in Z availability zones has at most W = min(F, 2 Z)
    watchers. A watcher starts its reads at least W/1000 s apart and any other instance
    F/800 s apart, each from a random offset. Unused reads are not saved up. However
    many reads the instances request, the watchers together make on average at most
    1,000 reads/s and the others at most 800 reads/s. When many offsets coincide, a
    second has more reads; the limit of the platform leaves the others 1,000 reads/s.
    A waiting watch counts as one read.

    A fleet of 12,000 in 31 zones has 62 watchers with two watches of 2 s each,
    62 reads/s in all, and 12,000 slow polls of two keys per 30 s, 800 reads/s.

    Args:
        membership: Provides the listed instances and zones.
        clock: Source of monotonic time.
        rng: Source of the offset.
        metrics: Counts the reads as ``platform_reads``.
        fleet_size: Expected number of instances; used while it exceeds the number of
            listed instances, in particular before the first list.
    """

    __slots__ = (
        "_clock",
        "_fleet_size",
        "_last_start",
        "_membership",
        "_metrics",
        "_rng",
    )

    def __init__(
        self,
        membership: Membership,
        *,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
        fleet_size: int = 1,
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._fleet_size = fleet_size
        self._last_start: float | None = None

    def interval(self, *, watcher: bool) -> float:
        """Return the minimum time in seconds between two reads of this instance."""
        fleet = max(self._fleet_size, self._membership.listed_count, 1)
        if not watcher:
            return fleet / NON_WATCHER_READS_PER_S
        watchers = WATCHERS_PER_ZONE * max(1, self._membership.listed_zone_count)
        return min(fleet, watchers) / WATCHER_READS_PER_S

    def reserve(self, *, watcher: bool) -> float:
        """Reserve the next read and return the monotonic time of its start."""
        now = self._clock.monotonic()
        interval = self.interval(watcher=watcher)
        if self._last_start is None:
            self._last_start = now - self._rng.uniform(0, interval)
        self._last_start = max(now, self._last_start + interval)
        return self._last_start

    async def acquire(self, *, watcher: bool) -> None:
        """Wait until the next read may start, and count it."""
        start = self.reserve(watcher=watcher)
        await anyio.sleep(max(0.0, start - self._clock.monotonic()))
        self._metrics.counters["platform_reads"] += 1
