"""The members of a group as one instance sees them."""

from dataclasses import dataclass, field
from enum import IntEnum

from magnoliaslip.core.address import Address


class MemberState(IntEnum):
    """The life cycle of an instance; values match ``peer.proto``."""

    JOINING = 0
    SERVING = 1
    LEAVING = 2


@dataclass(slots=True, frozen=True)
class InstanceEntry:
    """One entry of the platform's list of instances, or of the peers in the settings.

    Attributes:
        id: Identifier of the instance.
        zone: Its availability zone.
        data: Address that receives tunnelled packets.
        control: Address that accepts streams of peers and of operators' tools.
        leaving: Whether the platform marks the instance as leaving, for the fabric;
            instances use the state in heartbeats instead.
    """

    id: str
    zone: str
    data: Address
    control: Address
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class Member:
    """A live member of the group.

    Attributes:
        id: Identifier of the instance.
        zone: Its availability zone.
        state: Its last announced state.
        incarnation: Number that increases with every start of the process.
    """

    id: str
    zone: str
    state: MemberState = MemberState.SERVING
    incarnation: int = 0


@dataclass(slots=True, frozen=True)
class GroupView:
    """The live members of the group, as one instance sees them.

    Attributes:
        version: Number that increases whenever this instance's view changes.
        members: All live members in any state, this instance included, by id.
        unreachable: Listed members that are not live and did not announce a stop.
        unreachable_zones: Availability zones whose listed members are all unreachable;
            the zone is probably partitioned from this instance, its backend servers
            included.
    """

    version: int
    members: dict[str, Member] = field(default_factory=dict)
    unreachable: frozenset[str] = frozenset()
    unreachable_zones: frozenset[str] = frozenset()

    @property
    def complete(self) -> bool:
        """Whether every listed member is live or announced its stop."""
        return not self.unreachable

    @property
    def reachable_share(self) -> float:
        """The share of listed members that are live, from 0 to 1."""
        return len(self.members) / max(1, len(self.members) + len(self.unreachable))
