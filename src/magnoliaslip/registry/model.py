"""Data types for routes, services and registered backend servers."""

from typing import NamedTuple

from magnoliaslip.core.value_object import ValueObject

Endpoint = tuple[int, int]  # IPv4 address as a number, port
SocketAddress = tuple[str, int]  # host, port


class StorePosition(NamedTuple):
    """A point in the history of the store; a later one compares greater.

    Attributes:
        era: Rises when the store is restored from an older copy; the store then gives
            out revisions again that it had given out before. 0 if the store states
            none.
        revision: The store's revision within the era; rises with each change.

    >>> StorePosition(2, 25) > StorePosition(1, 47)
    True
    """

    era: int
    revision: int


class WeightedService(ValueObject):
    """A service that receives a share of the flows of a route.

    Attributes:
        service: Name of the service.
        weight: Share relative to the other services of the route; above 0.
    """

    __slots__ = ("service", "weight")

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class ServiceRoute(ValueObject):
    """Assigns the traffic to one endpoint to one or more services.

    Attributes:
        endpoint: Address and port that callers send to.
        targets: Services that new flows are split over; at least one.
        idempotent: Whether callers may retry every request of the route.
    """

    __slots__ = ("endpoint", "idempotent", "targets")

    def __init__(
        self,
        endpoint: Endpoint,
        targets: tuple[WeightedService, ...],
        *,
        idempotent: bool = False,
    ) -> None:
        self.endpoint = endpoint
        self.targets = targets
        self.idempotent = idempotent


class ServiceLimits(ValueObject):
    """Limits that a service states for its backend servers.

    Attributes:
        name: Name of the service.
        cold_opens_per_s: New flows per second that a cold server can handle, over all
            instances; 0 when not stated.
        max_connections: Flows that one server can hold; 0 when not stated.
    """

    __slots__ = ("cold_opens_per_s", "max_connections", "name")

    def __init__(
        self, name: str, *, cold_opens_per_s: float = 0.0, max_connections: int = 0
    ) -> None:
        self.name = name
        self.cold_opens_per_s = cold_opens_per_s
        self.max_connections = max_connections


class RouteTable(ValueObject):
    """One published version of routes and services.

    Attributes:
        version: Increases with each publication.
        routes: Routes by endpoint.
        services: Stated limits by service name.
        idle_timeout_s: Seconds after which the state of an idle flow may be discarded.
    """

    __slots__ = ("idle_timeout_s", "routes", "services", "version")

    def __init__(
        self,
        version: int,
        routes: dict[Endpoint, ServiceRoute],
        services: dict[str, ServiceLimits],
        *,
        idle_timeout_s: float = 60.0,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.idle_timeout_s = idle_timeout_s


class RegisteredServer(ValueObject):
    """One incarnation of a backend server, as it registered itself.

    Attributes:
        id: Identifier of the server; a restart may reuse it.
        started_ms: Unix milliseconds of this start; distinguishes restarts.
        service: The service that it belongs to.
        address: Host and port at which it receives packets.
        zone: Its availability zone.
        slots: Requests that it processes concurrently; at least 1.
        draining: Whether it gets no new flows.
        cold_ms: Milliseconds for which it was still cold when it registered.
    """

    __slots__ = (
        "address",
        "cold_ms",
        "draining",
        "id",
        "service",
        "slots",
        "started_ms",
        "zone",
    )

    def __init__(
        self,
        id: str,
        started_ms: int,
        service: str,
        address: SocketAddress,
        zone: str,
        slots: int,
        *,
        draining: bool = False,
        cold_ms: int = 0,
    ) -> None:
        self.id = id
        self.started_ms = started_ms
        self.service = service
        self.address = address
        self.zone = zone
        self.slots = slots
        self.draining = draining
        self.cold_ms = cold_ms

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identifier and start time; distinguishes restarts of the server."""
        return self.id, self.started_ms
