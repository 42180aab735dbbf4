"""Packed forms of the IP addresses of instances."""

from socket import AF_INET, AF_INET6, inet_ntop, inet_pton


def pack_host(host: str) -> bytes:
    """Return the 4 or 16 bytes of an IP address.

    >>> pack_host("10.0.0.1").hex()
    '0a000001'
    """
    return inet_pton(AF_INET6 if ":" in host else AF_INET, host)


def unpack_host(data: bytes) -> str:
    """Return the text of a packed IP address.

    >>> unpack_host(bytes([10, 0, 0, 1]))
    '10.0.0.1'
    """
    return inet_ntop(AF_INET6 if len(data) == 16 else AF_INET, data)
