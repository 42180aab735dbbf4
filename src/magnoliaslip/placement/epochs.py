"""Epochs of one service, with its current and base default servers."""

from array import array
from collections.abc import Iterable

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.placement.bucket_table import (
    NO_SERVER,
    NOT_COMPUTED,
    BucketTable,
    uncomputed_winners,
)
from magnoliaslip.placement.servers import ServerTable
from magnoliaslip.placement.slices import slice_count

# If a pool changes more often within the window, its oldest epochs leave it early; the
# owner turns their recorded flows into exceptions, as at the end of the window.
MAX_EPOCHS = 64
NOT_DIRECT = 0xFFFD


class Epoch:
    """One pool version, together with the availability zones that are out.

    Attributes:
        version: Configuration version that started the epoch.
        since: Monotonic time in seconds at which it came into force here.
        zones_out: Availability zones of the service that are out.
        slices: Number of slices of the pool.
        table: Default servers of the epoch.
    """

    __slots__ = ("since", "slices", "table", "version", "zones_out")

    def __init__(
        self,
        version: int,
        since: float,
        zones_out: frozenset[str],
        slices: int,
        table: BucketTable,
    ) -> None:
        self.version = version
        self.since = since
        self.zones_out = zones_out
        self.slices = slices
        self.table = table


class EpochHistory:
    """Epochs of one service, oldest first.

    The base is the epoch whose default servers apply to flows without a record.
    Owners use the epoch that was in force one window ago as the base. Direct
    forwarding changes to a new base later, after owners have turned the recorded
    flows of the old base into exceptions.

    Args:
        servers: Table of the service's backend servers.
        window_s: Length of the history in seconds.
        grace_s: Seconds between the change of an owner's base and that of a
            direct forwarder's base.

    Attributes:
        epochs: The epochs, oldest first.
        owner_base: Index of the epoch that is the base of owners.
        direct_base: Index of the epoch that is the base of direct forwarding.
    """

    __slots__ = (
        "_base_defaults",
        "_direct_defaults",
        "_member_epoch_ranges",
        "_servers",
        "direct_base",
        "epochs",
        "grace_s",
        "owner_base",
        "window_s",
    )

    def __init__(
        self,
        servers: ServerTable,
        *,
        window_s: float = 3600.0,
        grace_s: float = 60.0,
    ) -> None:
        self._servers = servers
        self.window_s = window_s
        self.grace_s = grace_s
        self.epochs: list[Epoch] = []
        self.owner_base = 0
        self.direct_base = 0
        self._base_defaults: array | None = None
        self._direct_defaults: array | None = None
        # Indexes of the base and the newest epoch, for each member and for direct
        # forwarding here; None while a member uses an epoch that is missing here.
        self._member_epoch_ranges: tuple[tuple[int, int], ...] | None = ()

    def append(
        self,
        version: int,
        since: float,
        servers: Iterable[BackendServer],
        zones_out: frozenset[str],
    ) -> bool:
        """Append an epoch for a newer version, unless it would equal the last one.

        Returns:
            Whether an epoch was appended.
        """
        pool = list(servers)
        seeds = {}
        for server in pool:
            number = self._servers.register(server)
            if not server.drain and server.zone not in zones_out:
                seeds[number] = self._servers.seed(number)
        zones = {self._servers[number].zone for number in range(len(self._servers))}
        service_zones_out = zones_out & zones
        last = self.epochs[-1] if self.epochs else None
        slices = slice_count(pool)
        if (
            last
            and last.table.candidates == seeds
            and last.zones_out == service_zones_out
            and last.slices == slices
        ):
            return False
        table = BucketTable(seeds, parent=last.table if last else None)
        self.epochs.append(Epoch(version, since, service_zones_out, slices, table))
        if len(self.epochs) > 2:
            # The winners of intermediate epochs are needed only if a zone is out.
            self.epochs[-2].table.detach_parent()
            if len(self.epochs) - 3 not in (self.direct_base, self.owner_base):
                self.epochs[-3].table.free_winners()
        self._invalidate()
        return True

    @property
    def current(self) -> Epoch:
        """The newest epoch."""
        return self.epochs[-1]

    def current_default(self, bucket: int) -> int:
        """Return the server number of the current default, or `NO_SERVER`."""
        return self.epochs[-1].table.winner(bucket)

    def base_default(self, bucket: int) -> int:
        """Return the server number of the owner's base default, or `NO_SERVER`."""
        last = len(self.epochs) - 1
        if self.owner_base == last:
            return self.epochs[last].table.winner(bucket)
        if self._base_defaults is None:
            self._base_defaults = uncomputed_winners()
        number = self._base_defaults[bucket]
        if number == NOT_COMPUTED:
            number = self._base_defaults[bucket] = self.base_default_between(
                bucket, self.owner_base, last
            )
        return number

    def direct_default(self, bucket: int) -> int:
        """Return the default server number if all bases agree, else `NOT_DIRECT`.

        The current default must be the base default of both the owner and direct
        forwarding.

        Also returns `NOT_DIRECT` while a member uses a base that this instance does
        not have.
        """
        if self._member_epoch_ranges is None:
            return NOT_DIRECT
        last = len(self.epochs) - 1
        if self.direct_base == last:
            number = self.epochs[last].table.winner(bucket)
            return NOT_DIRECT if number == NO_SERVER else number
        if self._direct_defaults is None:
            self._direct_defaults = uncomputed_winners()
        number = self._direct_defaults[bucket]
        if number == NOT_COMPUTED:
            number = self.current_default(bucket)
            if (
                number == NO_SERVER
                or number != self.base_default(bucket)
                or number != self.base_default_between(bucket, self.direct_base, last)
            ):
                number = NOT_DIRECT
            self._direct_defaults[bucket] = number
        return number

    def base_default_between(self, bucket: int, first: int, last: int) -> int:
        """Return the base default with ``first`` as base and ``last`` as newest epoch.

        The default of the first epoch applies until its availability zone is out. The
        flows of that zone are abandoned, so the default of that later epoch replaces
        it.
        """
        number = self.epochs[first].table.winner(bucket)
        for epoch in self.epochs[first + 1 : last + 1]:
            if number == NO_SERVER or self._servers[number].zone in epoch.zones_out:
                number = epoch.table.winner(bucket)
        return number

    def is_default(self, bucket: int, number: int) -> bool:
        """Check whether every member sends a flow without a record to this server.

        True if the server is the base default of this instance, as owner and as
        direct forwarder, and with the versions that each other member reported.
        """
        if self._member_epoch_ranges is None or not self.epochs:
            return False
        if self.base_default(bucket) != number:
            return False
        return all(
            self.base_default_between(bucket, first, last) == number
            for first, last in self._member_epoch_ranges
        )

    def set_member_versions(self, versions: Iterable[tuple[int, int]]) -> bool:
        """Set the versions that the members of the view have reported.

        Args:
            versions: For each member the configuration version in force and the
                version that is the base of its direct forwarding.

        Returns:
            Whether results of `is_default` or `direct_default` may have changed.
        """
        last = len(self.epochs) - 1
        epoch_ranges: set[tuple[int, int]] | None = {(self.direct_base, last)}
        for config_version, base_version in versions:
            newest = self.index_at(config_version)
            oldest = self.index_at(base_version)
            if newest is None or oldest is None:
                # This member uses epochs that are not available here.
                epoch_ranges = None
                break
            epoch_ranges.add((min(oldest, newest), newest))
        sorted_ranges = None
        if epoch_ranges is not None:
            epoch_ranges.discard((self.owner_base, last))
            sorted_ranges = tuple(sorted(epoch_ranges))
        changed = sorted_ranges != self._member_epoch_ranges
        self._member_epoch_ranges = sorted_ranges
        return changed

    def has_same_slice_count(self, config_version: int) -> bool:
        """Check whether a version has as many slices as the current one."""
        index = self.index_at(config_version)
        return index is not None and self.epochs[index].slices == self.current.slices

    def zones_out_at(self, config_version: int) -> frozenset[str]:
        """Return the zones that were out at a version; empty if it is not available."""
        index = self.index_at(config_version)
        return frozenset() if index is None else self.epochs[index].zones_out

    def index_at(self, version: int) -> int | None:
        """Return the index of the epoch of a version; None if it is not available."""
        for index in range(len(self.epochs) - 1, -1, -1):
            if self.epochs[index].version <= version:
                return index
        return None

    def append_empty_epoch(self, version: int, since: float) -> None:
        """Append an epoch without servers for the time before the service existed."""
        epoch = Epoch(version, since, frozenset(), slice_count(()), BucketTable({}))
        self.epochs.append(epoch)

    def due_base(self, now: float) -> int:
        """Return the index of the epoch that should be the base of owners now.

        It was in force one window ago; if there are more than `MAX_EPOCHS` epochs, it
        may be a later one.
        """
        index = self._index_in_force(now - self.window_s)
        return max(index, self.owner_base, len(self.epochs) - MAX_EPOCHS)

    def advance_owner(self, index: int) -> None:
        """Use a new base for flows without a record that arrive at the owner."""
        if index != self.owner_base:
            self.owner_base = index
            self._invalidate()

    def advance_direct(self, now: float) -> bool:
        """Use a new base for direct forwarding once its grace period is over.

        Returns:
            Whether the base changed.
        """
        index = min(
            self.owner_base,
            self._index_in_force(now - self.window_s - self.grace_s),
        )
        index = max(index, self.direct_base, self.owner_base - MAX_EPOCHS)
        if index == self.direct_base:
            return False
        self.direct_base = index
        self._drop_former_epochs()
        self._invalidate()
        return True

    def _index_in_force(self, moment: float) -> int:
        index = 0
        for position, epoch in enumerate(self.epochs):
            if epoch.since <= moment:
                index = position
        return index

    def _drop_former_epochs(self) -> None:
        drop = self.direct_base
        del self.epochs[:drop]
        self.owner_base -= drop
        self.direct_base = 0
        self.epochs[0].table.detach_parent()

    def _invalidate(self) -> None:
        """Discard the cached defaults, and what members reported."""
        self._base_defaults = None
        self._direct_defaults = None
        self._member_epoch_ranges = ((self.direct_base, len(self.epochs) - 1),)
