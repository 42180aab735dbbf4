"""Tags that identify backend servers, in digests and in the packets of flows."""

from struct import Struct

from xxhash import xxh3_64_intdigest, xxh32_intdigest

from magnoliaslip.registry.model import Endpoint, RegisteredServer

_ENDPOINT = Struct(">IH")
_MASK_32_BITS = (1 << 32) - 1


def server_tag(server: RegisteredServer) -> int:
    """Return the 32-bit tag of one incarnation of a server in digests; never 0.

    Every instance computes the same tag; a restart under the same identifier gets a
    different one.
    """
    return xxh32_intdigest(_identity(server)) or 1


def server_key(server: RegisteredServer) -> int:
    """Return the 64-bit key of one incarnation of a server, for `flow_tag`.

    Callers know neither the identifier nor the time of the start.
    """
    return xxh3_64_intdigest(_identity(server))


def flow_tag(key: int, endpoint: Endpoint) -> int:
    """Return the 32-bit tag that packets of flows to one server carry; never 0.

    Flows to another endpoint get another tag, so a packet with a valid tag shows that
    an instance has placed a flow of its endpoint on the server: a caller can't use the
    tag of one endpoint for another.

    Args:
        key: Key of the server.
        endpoint: Address and port that the caller sends to.

    >>> flow_tag(7, (0xC6120001, 443)) == flow_tag(7, (0xC6120002, 443))
    False
    """
    return xxh3_64_intdigest(_ENDPOINT.pack(*endpoint), seed=key) & _MASK_32_BITS or 1


def _identity(server: RegisteredServer) -> bytes:
    return f"{server.id}\0{server.started_ms}".encode()
