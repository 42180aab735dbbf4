"""Flows whose SYN has not been answered yet."""

from collections import OrderedDict

from magnoliaslip.packet.segment import SEQUENCE_MODULUS
from magnoliaslip.placement.flow_packet import FlowPacket
from magnoliaslip.placement.replication import LogOp, PeerLog

MAX_HALF_OPEN_FLOWS = 4_096
REPLICA_ACK_TIMEOUT_S = 0.25
# Callers time out later, but a SYN that is retransmitted after this time is forwarded
# by its flow record.
HALF_OPEN_TIMEOUT_S = 10.0
# A SYN counts as unanswered when this transmission, counted from 1, is sent.
UNANSWERED_SYN_LIMIT = 3
INITIAL_WINDOW_BYTES = 1 << 20
# An answer to an earlier transmission of the SYN may be in transit for this long.
ANSWER_TRANSIT_S = 0.25


class Barrier:
    """The acknowledgements that must arrive before a SYN is forwarded.

    Every member in ``dirty`` must acknowledge, or its lease must expire. One replica
    must acknowledge, or `REPLICA_ACK_TIMEOUT_S` must pass.

    Args:
        mandatory: Logs of the members that may hold a certificate of the bucket or an
            outdated replica of the flow, with the operation that ends it and the
            monotonic time at which the lease expires.
        replicas: Logs of the replicas with the exception operation.
        now: Monotonic time in seconds.
    """

    __slots__ = ("_mandatory", "_replica_deadline", "_replicas")

    def __init__(
        self,
        mandatory: list[tuple[PeerLog | None, LogOp | None, float]],
        replicas: list[tuple[PeerLog, LogOp]],
        now: float,
    ) -> None:
        self._mandatory = mandatory
        self._replicas = replicas
        self._replica_deadline = now + REPLICA_ACK_TIMEOUT_S

    def is_released(self, now: float) -> bool:
        """Check whether the SYN may be forwarded."""
        self._mandatory = [
            (log, op, lease_end)
            for log, op, lease_end in self._mandatory
            if now < lease_end
            and not (log is not None and op is not None and log.is_acked(op))
        ]
        if self._mandatory:
            return False
        return (
            not self._replicas
            or now >= self._replica_deadline
            or any(log.is_acked(op) for log, op in self._replicas)
        )


class HalfOpenFlow:
    """A flow between its first SYN and its SYN-ACK.

    Attributes:
        packet: The latest SYN.
        received_at: Monotonic time at which it arrived.
        service: Index of the service.
        server: Number of the server on which the flow is placed.
        tried: Numbers of all servers on which it was placed.
        sent: Number of SYNs sent to the server.
        last_sent_at: Monotonic time of the last one; 0 before the first.
        since: Monotonic time at which the flow was first placed.
        reason: Reason for the placement, for history records.
        barrier: Acknowledgements that the SYN waits for; None once it was forwarded.
        refusals: Number of refusals by the current server.
    """

    __slots__ = (
        "barrier",
        "last_sent_at",
        "packet",
        "reason",
        "received_at",
        "refusals",
        "sent",
        "server",
        "service",
        "since",
        "tried",
    )

    def __init__(
        self, packet: FlowPacket, service: int, server: int, reason: str, now: float
    ) -> None:
        self.set_packet(packet, now)
        self.service = service
        self.tried: set[int] = set()
        self.since = now
        self.barrier: Barrier | None = None
        self.assign(server, reason)

    def set_packet(self, packet: FlowPacket, now: float) -> None:
        """Set the latest SYN of the caller."""
        self.packet = packet
        self.received_at = now

    def assign(self, server: int, reason: str) -> None:
        """Place the flow on a server and reset the counts."""
        self.server = server
        self.reason = reason
        self.tried.add(server)
        self.sent = 0
        self.refusals = 0
        self.last_sent_at = 0.0

    def record_sent(self, now: float) -> None:
        """Record that the SYN was sent to the server."""
        self.sent += 1
        self.last_sent_at = now

    def may_reassign(self, now: float) -> bool:
        """Check that no other answer of the refusing server can be in transit."""
        return self.refusals >= self.sent or now - self.last_sent_at > ANSWER_TRANSIT_S

    def is_followed_by(self, packet: FlowPacket) -> bool:
        """Check whether a mid-flow packet belongs to the same connection as the SYN.

        Its sequence number then lies within the initial window after that of the SYN.
        """
        distance = (packet.seq - self.packet.seq - 1) % SEQUENCE_MODULUS
        return distance < INITIAL_WINDOW_BYTES


class HalfOpenTable:
    """The half-open flows of an owner, bounded in number.

    Attributes:
        held: The flows whose SYN waits for its barrier.
    """

    __slots__ = ("_flows", "held")

    def __init__(self) -> None:
        # Removing the oldest entry of a plain dict again and again takes linear time.
        self._flows: OrderedDict[bytes, HalfOpenFlow] = OrderedDict()
        self.held: dict[bytes, HalfOpenFlow] = {}

    def __len__(self) -> int:
        return len(self._flows)

    def get(self, key: bytes) -> HalfOpenFlow | None:
        """Return the half-open flow with a key."""
        return self._flows.get(key)

    def add(self, key: bytes, flow: HalfOpenFlow) -> None:
        """Add a flow; at the bound the oldest is evicted and can't be reassigned."""
        self.remove(key)
        if len(self._flows) >= MAX_HALF_OPEN_FLOWS:
            self.held.pop(self._flows.popitem(last=False)[0], None)
        self._flows[key] = flow

    def remove(self, key: bytes) -> None:
        """Remove a flow that was answered or closed."""
        self._flows.pop(key, None)
        self.held.pop(key, None)

    def expire(self, now: float) -> None:
        """Remove the flows that were not answered in time."""
        while self._flows:
            key, flow = next(iter(self._flows.items()))
            if now - flow.since < HALF_OPEN_TIMEOUT_S:
                return
            self.remove(key)
