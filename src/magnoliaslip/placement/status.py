"""The status of a router as reported to operators."""

from collections.abc import Iterator
from dataclasses import dataclass

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.state import PlacementState


@dataclass(slots=True, frozen=True)
class ServerStatus:
    """The status of a backend server in the view of one owner.

    Attributes:
        service: Name of the service.
        server: Name of the backend server.
        work: In-flight load that this instance placed on the server.
        limit: In-flight load of all owners together below which the server admits new
            flows now; 0 also for a warm server without configured slots, which has no
            limit.
        state: ``out`` (its availability zone is taken out), ``draining``,
            ``refusing``, ``cold`` or ``warm``.
    """

    service: str
    server: str
    work: int = 0
    limit: int = 0
    state: str = "warm"


@dataclass(slots=True, frozen=True)
class RouterStatus:
    """The status of a router.

    Attributes:
        flows: Number of flow records held.
        exceptions: Number of exceptions held, replicas for other owners included.
        servers: Backend servers, by service and name.
    """

    flows: int = 0
    exceptions: int = 0
    servers: tuple[ServerStatus, ...] = ()


def server_statuses(state: PlacementState) -> Iterator[ServerStatus]:
    """Yield the status of the backend servers of all pools in force, by service name.

    The load does not include the reports of other owners, so that a sum over instances
    counts each flow once.
    """
    now = state.now()
    for name in sorted(state.services_by_name):
        service = state.services_by_name[name]
        for server in service.pool.servers if service.pool else ():
            number = service.servers.find(server.name)
            if number is None:
                continue
            load = service.load
            in_flight = load.in_flight(server, number, now) - load.reported(number, now)
            limit = server.slots
            if load.is_cold(number, now):
                limit = load.budget(server, number, state.view, now)
            server_state = _state_of(state, service, server, number)
            yield ServerStatus(name, server.name, in_flight, limit, server_state)


def _state_of(
    state: PlacementState, service: Service, server: BackendServer, number: int
) -> str:
    if server.zone in state.snapshot.zones_out:
        return "out"
    if server.drain:
        return "draining"
    if service.evidence.refusing_ms(number, state.now()):
        return "refusing"
    return "cold" if service.load.is_cold(number, state.now()) else "warm"
