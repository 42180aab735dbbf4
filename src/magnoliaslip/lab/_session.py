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
        send_at: When the first attempt is due to be sent, monotonic seconds.
        deadline: When it must be answered completely, over all attempts, monotonic
            seconds.
        attempt: Number of the current attempt, from 1.
        request: Request of the current attempt; None until it is sent.
        sent_at: When the last attempt was sent, monotonic seconds.
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
    """Consecutive requests of one caller, on one flow at a time.

    Attributes:
        service: Name of the requested service.
        plans: Requests that follow the current call.
        call: The current call; None when no request is planned or outstanding.
        key: Flow key of the current or last flow.
        endpoint: Endpoint of that flow.
        established: Whether the flow is established.
        reader: Splits the bytes received on the flow into messages.
    """

    service: str
    plans: deque[PlannedRequest]
    call: Call | None = None
    key: FlowKey = b""
    endpoint: TcpEndpoint | None = None
    established: bool = False
    reader: MessageReader = field(default_factory=MessageReader)


@dataclass(slots=True, frozen=True)
class Timer:
    """Key of a deadline: its purpose and the session that it applies to.

    Attributes:
        kind: ``arrival`` (next session), ``deadline`` of a call, ``think`` (end of the
            pause before a request or a retry), ``hold`` (end of a feed) or ``connect``
            (retry on a new flow).
        session: The session; None for ``arrival``.
    """

    kind: str
    session: Session | None = None
