"""Flow keys, read from inner IP packets at fixed offsets.

The key of an IPv4 flow is source address, destination address, source port and
destination port in network order: 12 contiguous bytes of a packet whose IP header
has no options.
"""

from ipaddress import ip_address

from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import PacketError

IPV4_VERSION_AND_IHL = 0x45  # version 4, header of five 32-bit words
PROTOCOL_TCP = 6
PROTOCOL_OFFSET = 9
MIN_PACKET_BYTES = 40  # IPv4 header plus TCP header, both without options
FLAGS_OFFSET = 33  # TCP flags after an IPv4 header without options

FIN = 0x01
SYN = 0x02
RST = 0x04
PSH = 0x08
ACK = 0x10

FlowKey = bytes


def has_fixed_offsets(packet: bytes) -> bool:
    """Check whether the packet can be read at fixed offsets.

    True for an unfragmented IPv4 TCP packet without IP options. Bytes 6 and 7 hold the
    more-fragments flag and the fragment offset.

    >>> has_fixed_offsets(b"")
    False
    """
    return (
        len(packet) >= MIN_PACKET_BYTES
        and packet[0] == IPV4_VERSION_AND_IHL
        and packet[PROTOCOL_OFFSET] == PROTOCOL_TCP
        and not packet[6] & 0x3F
        and not packet[7]
    )


def fixed_offset_key(packet: bytes) -> FlowKey:
    """Return the 12-byte flow key of a packet for which `has_fixed_offsets` holds."""
    return packet[12:24]


def reverse_key(key: FlowKey) -> FlowKey:
    """Swap source and destination.

    >>> reverse_key(bytes(range(12))).hex()
    '04050607000102030a0b0809'
    """
    return key[4:8] + key[0:4] + key[10:12] + key[8:10]


def make_key(caller: Address, service: Address) -> FlowKey:
    """Build the key of the flow from a caller to a service address.

    >>> make_key(Address("10.0.0.1", 1), Address("10.0.0.2", 80)).hex()
    '0a0000010a00000200010050'

    Raises:
        PacketError: An address is not IPv4.
    """
    source, destination = ip_address(caller.host), ip_address(service.host)
    if source.version != 4 or destination.version != 4:
        raise PacketError(
            "flow keys support IPv4 addresses only",
            remedy="use IPv4 addresses for callers and services",
        )
    ports = caller.port.to_bytes(2, "big") + service.port.to_bytes(2, "big")
    return source.packed + destination.packed + ports


def split_key(key: FlowKey) -> tuple[Address, Address]:
    """Return the source and destination of a flow key.

    >>> split_key(bytes.fromhex("0a0000010a00000200010050"))[1]
    Address(host='10.0.0.2', port=80)
    """
    source = Address(str(ip_address(key[0:4])), int.from_bytes(key[8:10], "big"))
    destination = Address(str(ip_address(key[4:8])), int.from_bytes(key[10:12], "big"))
    return source, destination


def service_key(service: Address) -> bytes:
    """Return address and port of a service as encoded in flow keys, 6 bytes.

    >>> service_key(Address("10.0.0.2", 80)).hex()
    '0a0000020050'
    """
    return ip_address(service.host).packed + service.port.to_bytes(2, "big")
