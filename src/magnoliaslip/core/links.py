"""Interfaces that send packets and control messages."""

from abc import ABC, abstractmethod
from enum import IntEnum
from typing import TYPE_CHECKING

from magnoliaslip.core.address import Address

if TYPE_CHECKING:
    from magnoliaslip.peering.proto.peer_pb2 import PeerMessage


class Direction(IntEnum):
    """The direction of a packet inside its flow."""

    REQUEST = 0
    ANSWER = 1


class PacketLink(ABC):
    """Sends inner IP packets; never blocks and never raises on loss."""

    __slots__ = ()

    @abstractmethod
    def send_to_server(self, server: Address, packet: bytes) -> None:
        """Send an inner packet to the tunnel address of a backend server."""

    @abstractmethod
    def send_to_caller(self, packet: bytes) -> None:
        """Send an inner packet to the caller that it is addressed to."""

    @abstractmethod
    def relay(
        self, instance_id: str, packet: bytes, *, direction: Direction, hops: int
    ) -> None:
        """Forward an inner packet to another instance.

        Args:
            instance_id: The instance that receives the packet.
            packet: The inner IP packet, unchanged.
            direction: The direction of the packet inside its flow.
            hops: Number of relays including this one.
        """


class PeerLink(ABC):
    """Sends control messages to other instances."""

    __slots__ = ()

    @abstractmethod
    def send(self, instance_id: str, msg: "PeerMessage") -> None:
        """Queue a message; best effort, never blocks.

        The message may be lost, repeated or reordered.
        """
