"""Formulas of docs/CAPACITY.md.

They scale measured costs to the fleet size that is expected in two years.
"""

from dataclasses import dataclass

from magnoliaslip.peering.node import HEARTBEAT_INTERVAL_S
from magnoliaslip.peering.platform_feed import POLL_INTERVAL_S, WATCH_WAIT_S
from magnoliaslip.peering.platform_read_limiter import WATCHERS_PER_ZONE

WATCHED_KEYS = 2  # ``index`` and ``instances``
DAY_S = 86_400.0
CONTROL_LIMIT_BYTES_S = 4_000.0  # per instance


@dataclass(slots=True, frozen=True)
class HeartbeatCost:
    """Size of a heartbeat, including its frame.

    Attributes:
        base_bytes: Bytes without the list of members that the sender receives from.
        name_bytes: Bytes of each member's identifier on that list.
    """

    base_bytes: float
    name_bytes: float

    @classmethod
    def fit(
        cls, first: tuple[int, float], second: tuple[int, float]
    ) -> "HeartbeatCost":
        """Solve for both sizes from the traffic of an instance in two groups.

        Args:
            first: Members of a group, and bytes per second that an instance sends.
            second: The same for a larger group.

        >>> cost = HeartbeatCost(base_bytes=50.0, name_bytes=8.0)
        >>> rates = [(n, cost.bytes_per_s(n)) for n in (7, 100)]
        >>> HeartbeatCost.fit(*rates)
        HeartbeatCost(base_bytes=50.0, name_bytes=8.0)
        """
        (small, small_rate), (large, large_rate) = first, second
        small_bytes = small_rate * HEARTBEAT_INTERVAL_S / (small - 1)
        large_bytes = large_rate * HEARTBEAT_INTERVAL_S / (large - 1)
        name_bytes = (large_bytes - small_bytes) / (large - small)
        return cls(small_bytes - name_bytes * (small - 1), name_bytes)

    def bytes_per_s(self, members: int) -> float:
        """Return bytes per second that one instance sends to all other members.

        >>> HeartbeatCost(base_bytes=40.0, name_bytes=10.0).bytes_per_s(3)
        240.0
        """
        peers = members - 1
        return (
            peers / HEARTBEAT_INTERVAL_S * (self.base_bytes + self.name_bytes * peers)
        )

    def largest_group(self, limit_bytes_s: float = CONTROL_LIMIT_BYTES_S) -> int:
        """Return the largest number of members within a limit of bytes per second.

        >>> HeartbeatCost(base_bytes=40.0, name_bytes=10.0).largest_group(240.0)
        3
        """
        members = 1
        while self.bytes_per_s(members + 1) <= limit_bytes_s:
            members += 1
        return members


def platform_reads_per_s(instances: int, zones: int) -> float:
    """Return the reads per second of a fleet while nothing changes.

    Each watcher has two watches, and each watch is one read until it times out. Every
    instance also polls both keys.

    >>> round(platform_reads_per_s(12_000, 31))
    862
    """
    watchers = min(instances, WATCHERS_PER_ZONE * zones)
    watch_reads_per_s = watchers * WATCHED_KEYS / WATCH_WAIT_S
    return watch_reads_per_s + instances * WATCHED_KEYS / POLL_INTERVAL_S


def versions_in_window(changes_per_day: float, window_s: float) -> float:
    """Return the number of versions in a history window.

    >>> versions_in_window(37_000, 3_600.0) > 1_500
    True
    """
    return changes_per_day / DAY_S * window_s


def burst_seconds(
    exceptions: float,
    bytes_per_exception: float,
    limit_bytes_s: float = CONTROL_LIMIT_BYTES_S,
) -> float:
    """Return the seconds to send exceptions at the rate limit.

    >>> burst_seconds(1_000, 40.0)
    10.0
    """
    return exceptions * bytes_per_exception / limit_bytes_s
