"""Status and explanations of an instance that steers by server tags."""

from msgspec import Struct


class SteeringServerStatus(Struct, kw_only=True):
    """State of one backend server as an instance sees it.

    Attributes:
        id: Identifier of the server.
        service: Service that it belongs to.
        zone: Its availability zone.
        state: ``serving``, ``draining``, ``out`` (its zone is out of service),
            ``suspect`` (avoided by new flows; ``serving`` when a probe is due) or
            ``left`` (no longer registered).
        since: Unix time in seconds at which flows of this instance made it suspect, or
            at which its registration was removed; 0 otherwise.
        suspected_by: Source of the evidence: ``own`` flows, other ``instances`` or its
            ``zone``; empty if it is not suspect.
        load: Requests per second and slot, summed over all instances.
        cold_s: Seconds for which it remains cold.
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
    """State of another instance as an instance sees it.

    Attributes:
        host: Its address.
        zone: Its availability zone; empty before its first digest.
        live: Whether a recent digest was received from it and it is not leaving.
        heard_at: Unix time in seconds of the last digest from it; 0 for never.
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
        ready: Whether its readiness polls succeed: it has routes and servers and is
            not stopping.
        era: Era of the store that its directory has.
        revision: Revision of the store that its directory has.
        changed_at: Unix time in seconds of the last change of the directory.
        routes_version: Version of the routes in force; 0 for none.
        zones_out: Zones out of service.
        store_answers: Whether the store answers.
        store_since: Unix time in seconds since which ``store_answers`` is unchanged.
        watches_store: Whether the instance watches the store for its zone.
        flows: Number of entries in the flow table.
        instances: The other instances.
        servers: All tracked backend servers, recently removed ones included.
    """

    id: str
    zone: str
    ready: bool
    era: int
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
    """Where an instance would forward a packet of a flow, and why.

    Attributes:
        id: Identifier of the instance.
        era: Era of the store that its directory has.
        revision: Revision of the store that its directory has.
        routes_version: Version of the routes in force; 0 for none.
        service: Service of a new flow; empty without a route.
        server: Server of a new flow; empty for none.
        remembered: Server to which the flow was last forwarded; empty for none.
        established: Whether the caller has answered the SYN-ACK of that server.
        waiting_s: Seconds for which a request of the flow has been unanswered.
        steps: The reasons, in order.
        servers: The servers of the service.
    """

    id: str
    era: int
    revision: int
    routes_version: int
    service: str = ""
    server: str = ""
    remembered: str = ""
    established: bool = False
    waiting_s: float = 0.0
    steps: list[str] = []
    servers: list[SteeringServerStatus] = []
