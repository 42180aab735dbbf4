"""State of a caller's sessions."""

from collections import deque
from dataclasses import dataclass, field

from magnoliaslip.lab.protocol import MessageReader, Request
from magnoliaslip.lab.tcp import TcpEndpoint
from magnoliaslip.lab.workload import PlannedRequest
from magnoliaslip.packet.flow_key import FlowKey


@dataclass(slots=True, eq=False)
class Call:
    """A request with its attempts.

    Attributes:
        id: Identifier of the request, the same in all attempts.
        plan: What is asked for.
        send_at: When it is due, monotonic seconds.
        deadline: Until when it must be answered in full, over all attempts.
        attempt: Number of the present attempt, from 1.
        request: What was sent in the present attempt, or None.
        sent_at: When that was.
        pushes: Pushes received in the present attempt.
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
    """Requests of one caller that follow each other, on one flow at a time."""

    service: str
    plans: deque[PlannedRequest]
    call: Call | None = None
    key: FlowKey = b""
    endpoint: TcpEndpoint | None = None
    established: bool = False
    reader: MessageReader = field(default_factory=MessageReader)


@dataclass(slots=True, frozen=True)
class Timer:
    """What a deadline of a caller is for."""

    kind: str
    session: Session | None = None
