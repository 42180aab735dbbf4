"""SYNs that a server may still answer in time."""

from collections import deque
from collections.abc import Iterator

from magnoliaslip.steering.flow_table import FlowTable
from magnoliaslip.steering.servers import TrackedServer

# Maximum number of tracked SYNs; an instance that receives more than it can handle
# evaluates the newest ones only.
MAX_PENDING_SYNS = 10_000


class PendingSyn:
    """One SYN that was sent to a server.

    Attributes:
        sent_at: Monotonic time in seconds at which it was sent.
        flow: The flow of the SYN.
        caller: Address of the caller, without its port.
        server: The server that it was sent to.
    """

    __slots__ = ("caller", "flow", "sent_at", "server")

    def __init__(
        self, sent_at: float, flow: bytes, caller: bytes, server: TrackedServer
    ) -> None:
        self.sent_at = sent_at
        self.flow = flow
        self.caller = caller
        self.server = server

    def is_answered(self, flows: FlowTable) -> bool:
        """Check whether the caller got the answer, or the flow's entry was removed."""
        entry = flows.get(self.flow)
        return entry is None or (entry.established and entry.server is self.server)


class PendingSyns:
    """Pending SYNs in the order in which they were sent, bounded in number.

    Args:
        flows: Table that shows which SYNs were answered.
    """

    __slots__ = ("_by_caller", "_flows", "_syns")

    def __init__(self, flows: FlowTable) -> None:
        self._flows = flows
        self._syns: deque[PendingSyn] = deque()
        self._by_caller: dict[bytes, list[PendingSyn]] = {}

    def add(
        self, now: float, flow: bytes, caller: bytes, server: TrackedServer
    ) -> None:
        """Add a SYN that was sent."""
        if len(self._syns) >= MAX_PENDING_SYNS:
            self._pop_oldest()
        pending = PendingSyn(now, flow, caller, server)
        self._syns.append(pending)
        self._by_caller.setdefault(caller, []).append(pending)

    def tried(self, caller: bytes) -> tuple[TrackedServer, ...]:
        """Return the servers that have not answered a SYN of a caller yet.

        Servers answer callers directly, so a refusal is not seen here. A refused caller
        retries at once with a new flow, before its first SYN has timed out.
        """
        return tuple(
            pending.server
            for pending in self._by_caller.get(caller, ())
            if not pending.is_answered(self._flows)
        )

    def pop_unanswered(self, *, before: float) -> Iterator[PendingSyn]:
        """Remove the SYNs that were sent before a time; yield the unanswered ones.

        Args:
            before: Monotonic time in seconds.
        """
        while self._syns and self._syns[0].sent_at < before:
            pending = self._pop_oldest()
            if not pending.is_answered(self._flows):
                yield pending

    def _pop_oldest(self) -> PendingSyn:
        pending = self._syns.popleft()
        others = self._by_caller[pending.caller]
        others.remove(pending)
        if not others:
            del self._by_caller[pending.caller]
        return pending
