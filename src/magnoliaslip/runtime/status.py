"""What a running instance tells operators about its beliefs."""

from msgspec import Struct


class SteeringServerStatus(Struct, kw_only=True):
    """What an instance believes of one backend server.

    Attributes:
        id: Identifier of the server.
        service: The service that it belongs to.
        zone: Its availability zone.
        state: ``serving``, ``draining``, ``out`` with its zone, ``suspect`` or
            ``left``.
        since: Unix time in seconds since which the instance has suspected it, or at
            which it left; 0 in other states.
        suspected_by: ``own`` flows, other ``instances``, its ``zone``; empty if none.
        load: Requests per second and slot over all instances.
        cold_s: Seconds for which it stays cold.
    """

    id: str
    service: str
    zone: str
    state: str
    since: float = 0.0
    suspected_by: str = ""
    load: float = 0.0
    cold_s: float = 0.0


class SteeringPeerStatus(Struct, kw_only=True):
    """What an instance believes of another one.

    Attributes:
        host: Its address.
        zone: Its availability zone; empty before it was heard.
        live: Whether it was heard a short time ago.
        heard_at: Unix time in seconds at which it was last heard; 0 for never.
    """

    host: str
    zone: str
    live: bool
    heard_at: float


class SteeringStatus(Struct, kw_only=True):
    """State of an instance that steers by server tags.

    Attributes:
        id: Identifier of the instance.
        zone: Its availability zone.
        ready: Whether it takes packets.
        revision: Revision of the store that its directory has.
        changed_at: Unix time in seconds at which the directory last changed.
        routes_version: Version of the routes in force; 0 for none.
        zones_out: Zones out of service.
        store_answers: Whether the store answers.
        store_since: Unix time in seconds since which it has answered, or has not.
        watches_store: Whether the instance watches the store for its zone.
        flows: Flows of which something is remembered.
        instances: The other instances.
        servers: All backend servers that it knows.
    """

    id: str
    zone: str
    ready: bool
    revision: int
    changed_at: float
    routes_version: int
    zones_out: list[str]
    store_answers: bool
    store_since: float
    watches_store: bool
    flows: int
    instances: list[SteeringPeerStatus]
    servers: list[SteeringServerStatus]


class FlowExplanation(Struct, kw_only=True):
    """Where an instance would send a packet of a flow, and why.

    Attributes:
        id: Identifier of the instance.
        revision: Revision of its directory.
        routes_version: Version of the routes in force; 0 for none.
        service: Service of a new flow; empty without a route.
        server: Where a new flow would go; empty for nowhere.
        remembered: Server that this instance last sent the flow to; empty for none.
        established: Whether the caller took the answer of that server.
        waiting_s: Seconds for which a request of the flow has had no answer.
        steps: The reasons, in order.
        servers: The servers of the service.
    """

    id: str
    revision: int
    routes_version: int
    service: str = ""
    server: str = ""
    remembered: str = ""
    established: bool = False
    waiting_s: float = 0.0
    steps: list[str] = []
    servers: list[SteeringServerStatus] = []
