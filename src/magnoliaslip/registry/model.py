"""Types of the registry: routes, services and registered backend servers."""

from dataclasses import dataclass, field

from magnoliaslip.core.address import Address

Endpoint = tuple[int, int]  # IPv4 address as a number, port


@dataclass(slots=True, frozen=True)
class WeightedService:
    """A service that takes part of the flows of a route.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other services of the route; above 0.
    """

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class ServiceRoute:
    """Traffic to one endpoint belongs to one or more services.

    Attributes:
        endpoint: Address and port that callers send to.
        targets: The services that new flows are split over; at least one.
        idempotent: Whether callers may repeat every request of the route.
    """

    endpoint: Endpoint
    targets: tuple[WeightedService, ...]
    idempotent: bool = False


@dataclass(slots=True, frozen=True)
class ServiceLimits:
    """What a service states about its backend servers.

    Attributes:
        name: Name of the service.
        cold_opens_per_s: New flows per second that a cold server bears, over all
            instances.
        max_connections: Flows that one server holds; 0 when not stated.
    """

    name: str
    cold_opens_per_s: float = 0.0
    max_connections: int = 0


@dataclass(slots=True, frozen=True)
class RouteTable:
    """One published version of routes and services.

    Attributes:
        version: Rises with each publication.
        routes: Routes by endpoint.
        services: Stated limits by service name.
        idle_timeout_s: Seconds after which an idle flow may be forgotten.
    """

    version: int
    routes: dict[Endpoint, ServiceRoute] = field(default_factory=dict)
    services: dict[str, ServiceLimits] = field(default_factory=dict)
    idle_timeout_s: float = 60.0


@dataclass(slots=True, frozen=True)
class RegisteredServer:
    """One start of a backend server, as it registered itself.

    Attributes:
        id: Identifier of the server; a restart may use it again.
        started_ms: Unix milliseconds of this start; tells restarts apart.
        service: The service that it belongs to.
        address: Where it receives packets.
        zone: Its availability zone.
        slots: Requests that it works on at a time; at least 1.
        draining: Whether it gets no new flows.
        cold_ms: Milliseconds for which it was still cold when it registered.
    """

    id: str
    started_ms: int
    service: str
    address: Address
    zone: str
    slots: int
    draining: bool = False
    cold_ms: int = 0

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identifies this start of the server."""
        return self.id, self.started_ms
