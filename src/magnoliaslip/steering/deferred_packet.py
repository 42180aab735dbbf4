"""Packets that wait for what else is in the receive queue."""

from magnoliaslip.steering.packet import TaggedPacket
from magnoliaslip.steering.servers import TrackedServer


class DeferredPacket:
    """A packet that is sent or reset when all received packets have been handled.

    Attributes:
        packet: The packet.
        server: Where it is sent to.
        tag: Tag that it then carries.
        repeated: Whether it repeats data that may have remained unanswered.
        resettable: Whether it may be reset if the server is unreachable.
    """

    __slots__ = ("packet", "repeated", "resettable", "server", "tag")

    def __init__(
        self,
        packet: TaggedPacket,
        server: TrackedServer,
        tag: int,
        *,
        repeated: bool,
        resettable: bool,
    ) -> None:
        self.packet = packet
        self.server = server
        self.tag = tag
        self.repeated = repeated
        self.resettable = resettable
