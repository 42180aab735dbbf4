"""What a router holds, for operators to read."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class ServerStatus:
    """A backend server as one owner sees it.

    Attributes:
        service: Name of the service.
        server: Name of the backend server.
        work: Work in flight that this instance placed on the server.
        limit: Work up to which the server admits new flows now; 0 when not stated.
        state: ``warm``, ``cold`` or ``refusing``.
    """

    service: str
    server: str
    work: int = 0
    limit: int = 0
    state: str = "warm"


@dataclass(slots=True, frozen=True)
class RouterStatus:
    """The state of a router.

    Attributes:
        flows: Flow records held.
        exceptions: Exceptions held, replicas for other owners included.
        servers: Backend servers, by service and name.
    """

    flows: int = 0
    exceptions: int = 0
    servers: tuple[ServerStatus, ...] = ()
