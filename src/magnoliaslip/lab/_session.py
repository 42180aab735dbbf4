"""State of a caller's sessions."""

from collections import deque
from dataclasses import dataclass, field

from magnoliaslip.lab.protocol import MessageReader, Request
from magnoliaslip.lab.tcp import TcpEndpoint
from magnoliaslip.lab.workload import PlannedRequest
from magnoliaslip.packet.flow_key import FlowKey


@dataclass(slots=True, eq=False)
class Call:
    """A request and its attempts.

    Attributes:
        id: Identifier of the request, the same in all attempts.
        plan: What is requested.
        send_at: When it is due to be sent, monotonic seconds.
        deadline: When it must be answered completely, over all attempts, monotonic
            seconds.
        attempt: Number of the current attempt, from 1.
        request: Request sent in the current attempt, or None.
        sent_at: When it was sent, monotonic seconds.
        pushes: Number of pushes received in the current attempt.
    """

    id: str
    plan: PlannedRequest
    send_at: float
    deadline: float
    attempt: int = 1
    request: Request | None = None
    sent_at: float = 0.0
    pushes: int = 0


@dataclass(slots=True, eq=False)
class Session:
    """Consecutive requests of one caller, on one flow at a time."""

    service: str
    plans: deque[PlannedRequest]
    call: Call | None = None
    key: FlowKey = b""
    endpoint: TcpEndpoint | None = None
    established: bool = False
    reader: MessageReader = field(default_factory=MessageReader)


@dataclass(slots=True, frozen=True)
class Timer:
    """Key of a deadline: its purpose and the session that it applies to."""

    kind: str
    session: Session | None = None
