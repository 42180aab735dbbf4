"""Interface for sending tagged packets."""

from abc import ABC, abstractmethod

from magnoliaslip.registry.model import RegisteredServer
from magnoliaslip.steering.packet import TaggedPacket


class TaggedLink(ABC):
    """Sends tagged packets; never blocks, and never raises when a packet is lost."""

    __slots__ = ()

    @abstractmethod
    def send_to_server(
        self, server: RegisteredServer, packet: TaggedPacket, tag: int
    ) -> None:
        """Send a packet to a backend server with a tag written into it."""

    @abstractmethod
    def send_reset(self, packet: TaggedPacket) -> None:
        """Reset the flow of a packet towards its caller."""
