"""Slices of a service's buckets, with their owners and replicas."""

from collections.abc import Iterable, Sequence
from typing import NamedTuple

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.core.group import GroupView, Member, MemberState
from magnoliaslip.placement.hashing import rank

SLOTS_PER_SLICE = 32
MAX_SLICES = 256
SLICES_WITHOUT_SLOTS = 64
# Time after an ownership change by which the SYNs that the former owner had received
# have been answered or retransmitted.
SETTLE_S = 3.0


class Holders(NamedTuple):
    """The members that hold the exceptions of a slice."""

    owner: str
    replicas: tuple[str, ...]


def slice_count(servers: Iterable[BackendServer]) -> int:
    """Return the number of slices of a pool, a power of two.

    >>> slice_count([])
    64
    """
    slots = sum(server.slots for server in servers)
    if not slots:
        return SLICES_WITHOUT_SLOTS
    count = 1
    while count < MAX_SLICES and count * SLOTS_PER_SLICE < slots:
        count *= 2
    return count


def owning_members(view: GroupView, zones_out: frozenset[str]) -> list[Member]:
    """Return the members that can own slices, ordered by identifier."""
    return [
        member
        for _, member in sorted(view.members.items())
        if member.state is MemberState.SERVING and member.zone not in zones_out
    ]


def choose_holders(
    service: str, slice_number: int, members: Sequence[Member]
) -> Holders | None:
    """Return the owner and replicas of a slice; None without members.

    The replicas are the first-ranked member in every other availability zone and
    the second-ranked member overall.
    """
    if not members:
        return None
    zones = {member.id: member.zone for member in members}
    order = rank(f"{service}/{slice_number}", zones)
    owner = order[0]
    replicas = order[1:2]
    covered_zones = {zones[owner]}
    for member_id in order[1:]:
        if zones[member_id] not in covered_zones:
            covered_zones.add(zones[member_id])
            if member_id not in replicas:
                replicas.append(member_id)
    return Holders(owner, tuple(replicas))


class SliceMap:
    """Holders of the slices of one service in the view of one instance.

    Args:
        service: Name of the service.
        instance_id: Identifier of this instance.

    Attributes:
        count: Number of slices of the service.
    """

    __slots__ = (
        "_holders",
        "_instance_id",
        "_members",
        "_owned_since",
        "_service",
        "count",
    )

    def __init__(self, service: str, instance_id: str) -> None:
        self._service = service
        self._instance_id = instance_id
        self.count = 1
        self._holders: list[Holders | None] = [None]
        self._members: list[Member] | None = None
        self._owned_since: dict[int, float] = {}

    def update(
        self, servers: Iterable[BackendServer], members: Sequence[Member], now: float
    ) -> tuple[int, list[Holders | None]] | None:
        """Recompute the holders.

        Returns:
            The former number of slices and their holders, or None if nothing changed.
        """
        count = slice_count(servers)
        if count == self.count and members == self._members:
            return None
        self._members = list(members)
        holders = [
            choose_holders(self._service, slice_number, members)
            for slice_number in range(count)
        ]
        if count == self.count and holders == self._holders:
            return None
        former = self.count, self._holders
        if count != self.count:
            self._owned_since.clear()
        self.count, self._holders = count, holders
        owned = {
            slice_number
            for slice_number, slice_holders in enumerate(holders)
            if slice_holders and slice_holders.owner == self._instance_id
        }
        self._owned_since = {
            slice_number: self._owned_since.get(slice_number, now)
            for slice_number in owned
        }
        return former

    def holders(self, bucket: int) -> Holders | None:
        """Return the holders of a bucket's slice."""
        return self._holders[bucket % self.count]

    def owner(self, bucket: int) -> str | None:
        """Return the owner of a bucket's slice."""
        holders = self._holders[bucket % self.count]
        return holders.owner if holders else None

    @property
    def owned(self) -> Iterable[int]:
        """Numbers of the slices that this instance owns."""
        return self._owned_since

    def has_settled(self, bucket: int, now: float) -> bool:
        """Check whether this instance has owned the slice longer than `SETTLE_S`."""
        since = self._owned_since.get(bucket % self.count)
        return since is not None and now - since > SETTLE_S

    def restart_settling(self, now: float) -> None:
        """Restart the ownership time of all slices, as after an ownership change."""
        self._owned_since = dict.fromkeys(self._owned_since, now)

    def gained_ownership(self, now: float, within_s: float) -> bool:
        """Check whether this instance gained a slice within the last ``within_s``."""
        return any(now - since < within_s for since in self._owned_since.values())
