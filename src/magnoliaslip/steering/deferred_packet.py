"""Packets that wait for what else is in the receive queue."""

from magnoliaslip.steering.packet import TaggedPacket
from magnoliaslip.steering.servers import TrackedServer


class DeferredPacket:
    """A packet that is sent or reset when all received packets have been handled.

    It is sent before that if another full batch of packets waits, or if its flow ends.

    Attributes:
        packet: The packet.
        server: Where it is sent to.
        tag: Tag that it then carries.
        is_evidence: Whether it is still to be recorded as evidence against the server,
            as it repeats data.
        resettable: Whether it may be reset if the server is unreachable.
    """

    __slots__ = ("is_evidence", "packet", "resettable", "server", "tag")

    def __init__(
        self,
        packet: TaggedPacket,
        server: TrackedServer,
        tag: int,
        *,
        is_evidence: bool,
        resettable: bool,
    ) -> None:
        self.packet = packet
        self.server = server
        self.tag = tag
        self.is_evidence = is_evidence
        self.resettable = resettable
