"""The placement state of one service."""

from collections.abc import Collection, Sequence
from random import Random

from magnoliaslip.config.snapshot import Pool
from magnoliaslip.core.group import Member
from magnoliaslip.placement.bucket_table import BUCKET_MASK
from magnoliaslip.placement.epochs import EpochHistory
from magnoliaslip.placement.evidence import Evidence
from magnoliaslip.placement.load import InFlightObserver, LoadTracker
from magnoliaslip.placement.restart_detector import RestartDetector
from magnoliaslip.placement.servers import ServerTable
from magnoliaslip.placement.settings import PlacementConfig
from magnoliaslip.placement.slices import Holders, SliceMap

BUCKET_CODE_SHIFT = 16


class Service:
    """One service with its epochs, slices, load and evidence.

    Attributes:
        index: Number of the service on this instance; never reused.
        name: Name by which routes refer to the service.
        pool: The pool in force; None when the service is not configured here.
        same_slices: Whether the members have the same slices by the versions that they
            reported; False also while a member has a newer version.
        avoided_zones: Zones that are still out for a member with an older version,
            which would close the flows there.
    """

    __slots__ = (
        "avoided_zones",
        "epochs",
        "evidence",
        "index",
        "load",
        "name",
        "pool",
        "restart_detector",
        "same_slices",
        "servers",
        "slices",
    )

    def __init__(
        self,
        index: int,
        name: str,
        instance_id: str,
        *,
        cfg: PlacementConfig,
        rng: Random,
        observer: InFlightObserver | None = None,
    ) -> None:
        self.index = index
        self.name = name
        self.pool: Pool | None = None
        self.same_slices = True
        self.avoided_zones: frozenset[str] = frozenset()
        self.servers = ServerTable(name)
        self.epochs = EpochHistory(
            self.servers,
            window_s=cfg.history_window_s,
            grace_s=cfg.direct_grace_s,
        )
        self.slices = SliceMap(name, instance_id)
        self.load = LoadTracker(name, slow_start_s=cfg.slow_start_s, observer=observer)
        self.evidence = Evidence(rng)
        self.restart_detector = RestartDetector(slow_start_s=cfg.slow_start_s)

    def apply(
        self, version: int, since: float, pool: Pool | None, zones_out: frozenset[str]
    ) -> list[int]:
        """Apply a configuration version.

        Returns:
            Numbers of the servers that it adds or whose zone it puts back in; none for
            the first version.
        """
        former = self._numbers_not_out() if self.epochs.epochs else None
        self.pool = pool
        servers = pool.servers if pool else ()
        self.epochs.append(version, since, servers, zones_out)
        if former is None:
            return []
        not_out = {
            self.servers.register(server)
            for server in servers
            if server.zone not in zones_out
        }
        for number in former - not_out:
            self.load.remove_server(number)
            self.evidence.remove_server(number)
            self.restart_detector.remove_server(number)
        return sorted(not_out - former)

    def apply_members(
        self, members: Sequence[Member], now: float
    ) -> tuple[int, list[Holders | None]] | None:
        """Recompute the slices; return the former ones if they changed."""
        servers = self.pool.servers if self.pool else ()
        return self.slices.update(servers, members, now)

    def apply_versions(self, versions: Collection[tuple[int, int]], own: int) -> bool:
        """Apply the versions that members of the view reported.

        Args:
            versions: For each member the configuration version in force and the
                version that is the base of its direct forwarding.
            own: The configuration version in force on this instance.

        Returns:
            Whether results of `EpochHistory.is_default` or of its `direct_default`
            may have changed.
        """
        self.same_slices = all(
            version <= own and self.epochs.has_same_slice_count(version)
            for version, _ in versions
        )
        outs = [self.epochs.zones_out_at(version) for version, _ in versions]
        self.avoided_zones = frozenset().union(*outs) - self.epochs.current.zones_out
        return self.epochs.set_member_versions(versions)

    def is_settled(self, bucket: int, now: float) -> bool:
        """Check that no other instance can own the bucket.

        False shortly after a takeover, and while members have different slices.
        """
        return self.same_slices and self.slices.has_settled(bucket, now)

    def code(self, bucket: int) -> int:
        """Return the code of a bucket, which is unique among all services."""
        return self.index << BUCKET_CODE_SHIFT | bucket

    def _numbers_not_out(self) -> set[int]:
        """Return the servers whose zone is not out, draining ones included."""
        if self.pool is None:
            return set()
        out = self.epochs.current.zones_out
        return {
            self.servers.register(server)
            for server in self.pool.servers
            if server.zone not in out
        }


def code_bucket(code: int) -> int:
    """Return the bucket of a code.

    >>> code_bucket(3 << BUCKET_CODE_SHIFT | 7)
    7
    """
    return code & BUCKET_MASK
