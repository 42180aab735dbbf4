"""Opens that a server may still answer in time."""

from collections import deque
from collections.abc import Iterator

from magnoliaslip.steering.flow_table import FlowTable
from magnoliaslip.steering.servers import TrackedServer

# Opens that are judged later at most; an instance under more load than it can read
# judges the newest ones only.
MAX_PENDING_SYNS = 10_000


class PendingSyn:
    """One opening packet that was sent to a server.

    Attributes:
        sent_at: Monotonic time in seconds.
        flow: The flow that it opens.
        caller: Address of the caller, without its port.
        server: The server.
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
        """Return whether the caller took the answer, or the flow was forgotten."""
        entry = flows.get(self.flow)
        return entry is None or (entry.established and entry.server is self.server)


class PendingSyns:
    """Opens in the order in which they were sent, bounded in number.

    Args:
        flows: Notes that tell which opens were answered.
    """

    __slots__ = ("_by_caller", "_flows", "_syns")

    def __init__(self, flows: FlowTable) -> None:
        self._flows = flows
        self._syns: deque[PendingSyn] = deque()
        self._by_caller: dict[bytes, list[PendingSyn]] = {}

    def add(
        self, now: float, flow: bytes, caller: bytes, server: TrackedServer
    ) -> None:
        """Note an opening packet that was sent."""
        if len(self._syns) >= MAX_PENDING_SYNS:
            self._pop()
        pending = PendingSyn(now, flow, caller, server)
        self._syns.append(pending)
        self._by_caller.setdefault(caller, []).append(pending)

    def tried(self, caller: bytes) -> tuple[TrackedServer, ...]:
        """Return the servers that have not answered other opens of a caller.

        Servers answer callers directly. A caller that was refused tries again at once
        with a new flow, before the silence of the server can be noticed.
        """
        return tuple(
            pending.server
            for pending in self._by_caller.get(caller, ())
            if not pending.is_answered(self._flows)
        )

    def unanswered(self, *, before: float) -> Iterator[PendingSyn]:
        """Drop the opens that were sent before a time, and yield the unanswered."""
        while self._syns and self._syns[0].sent_at < before:
            pending = self._pop()
            if not pending.is_answered(self._flows):
                yield pending

    def _pop(self) -> PendingSyn:
        pending = self._syns.popleft()
        others = self._by_caller[pending.caller]
        others.remove(pending)
        if not others:
            del self._by_caller[pending.caller]
        return pending
