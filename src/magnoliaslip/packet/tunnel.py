"""Tunnel payloads: direct IP in UDP, and relays with a hop count.

The encapsulation is GUE (generic UDP encapsulation). A payload whose first nibble is
an IP version is GUE variant 1: the inner packet itself. A relay between instances is
GUE variant 0 with one 32-bit extension word.
"""

from struct import Struct
from typing import NamedTuple

from magnoliaslip.core.errors import PacketError
from magnoliaslip.core.links import Direction

GUE_RELAY_FIRST_BYTE = 0x01  # variant 0, data message, one extension word
PROTOCOL_IPV4 = 4
PROTOCOL_IPV6 = 41
# First byte, protocol and flags of GUE; hops, direction and reserved bits as extension.
RELAY_HEADER = Struct("!BBHBBH")
RELAY_HEADER_BYTES = RELAY_HEADER.size
# Indexing a tuple is several times as fast as calling the enumeration class.
_DIRECTIONS = tuple(Direction)


class Relay(NamedTuple):
    """A packet that one instance forwards to another.

    A named tuple, because one is created for each relayed packet and creating a
    frozen data class takes three times as long.

    Attributes:
        direction: Direction of the packet inside its flow.
        hops: Number of relays so far, this one included.
        packet: The inner IP packet.
    """

    direction: Direction
    hops: int
    packet: bytes

    def encode(self) -> bytes:
        """Return the UDP payload.

        >>> Relay(Direction.ANSWER, 1, b"E").encode().hex()
        '010400000101000045'
        """
        protocol = PROTOCOL_IPV6 if self.packet[0] >> 4 == 6 else PROTOCOL_IPV4
        header = RELAY_HEADER.pack(
            GUE_RELAY_FIRST_BYTE, protocol, 0, self.hops, self.direction, 0
        )
        return header + self.packet

    @classmethod
    def decode(cls, payload: bytes) -> "Relay":
        """Decode a UDP payload that starts with a GUE variant 0 header.

        Raises:
            PacketError: The header is truncated or has unknown values.
        """
        if len(payload) <= RELAY_HEADER_BYTES:
            raise PacketError("relay header is truncated")
        first, protocol, flags, hops, direction, reserved = RELAY_HEADER.unpack_from(
            payload
        )
        if first != GUE_RELAY_FIRST_BYTE or flags or reserved or direction > 1:
            raise PacketError("relay header has unknown fields")
        if protocol not in (PROTOCOL_IPV4, PROTOCOL_IPV6):
            raise PacketError(f"relay of protocol {protocol} is not supported")
        return cls(_DIRECTIONS[direction], hops, payload[RELAY_HEADER_BYTES:])
