"""Interface between an instance and its platform."""

from abc import ABC, abstractmethod
from socket import socket as Socket  # noqa: N812

from magnoliaslip.registry.model import SocketAddress
from magnoliaslip.registry.store_client import StoreClient
from magnoliaslip.steering.link import TaggedLink
from magnoliaslip.steering.packet import TaggedPacket


class PlatformAdapter(ABC):
    """Translates between the project's types and those of one platform.

    Attributes:
        readiness_path: HTTP path that the fabric polls for readiness.
    """

    readiness_path: str

    @abstractmethod
    def store_client(self, store: SocketAddress) -> StoreClient:
        """Return a client of the platform's store."""

    @abstractmethod
    def link(self, sock: Socket) -> TaggedLink:
        """Return a link that sends packets through a UDP socket."""

    @abstractmethod
    def flow_name(self, flow: bytes) -> str:
        """Return the addresses and ports of a flow as text, the caller's first."""

    @abstractmethod
    def flow_key(self, caller: SocketAddress, endpoint: SocketAddress) -> bytes:
        """Return the bytes that identify the flow between two addresses with ports."""

    @abstractmethod
    def decode(self, datagram: bytes) -> TaggedPacket:
        """Decode a packet of a caller.

        Raises:
            PacketError: The datagram is not a packet that callers send.
        """
