"""The status that an instance reports."""

from dataclasses import dataclass, field
from typing import Any

from magnoliaslip.placement.status import RouterStatus


@dataclass(slots=True, frozen=True)
class HistoryStatus:
    """A version in the history, and the seconds since it came into force."""

    version: int
    age_s: float


@dataclass(slots=True, frozen=True)
class MemberStatus:
    """A live member; `config_version` is 0 if no heartbeat was received from it."""

    id: str
    zone: str
    state: str
    config_version: int = 0


@dataclass(slots=True, frozen=True)
class InstanceStatus:
    """The state of one instance.

    Attributes:
        id: Identifier of the instance.
        zone: Its availability zone.
        state: ``joining``, ``serving`` or ``leaving``.
        config_version: Version of the tables in force; 0 before the first.
        instances_version: Version of its list of instances.
        zones_out: Availability zones that are out of service.
        history: Versions in the history, oldest first; the last one is in force.
        members: Live members, this instance included.
        unheard: Listed members that are not live.
        router: Flows, exceptions and backend servers.
        metrics: Counters, and histograms in microseconds.
    """

    id: str
    zone: str
    state: str
    config_version: int = 0
    instances_version: int = 0
    zones_out: tuple[str, ...] = ()
    history: tuple[HistoryStatus, ...] = ()
    members: tuple[MemberStatus, ...] = ()
    unheard: tuple[str, ...] = ()
    router: RouterStatus = field(default_factory=RouterStatus)
    metrics: dict[str, dict[str, Any]] = field(default_factory=dict)
