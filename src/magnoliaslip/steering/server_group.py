"""The backend servers of one service in one availability zone."""

from xxhash import xxh32_intdigest


class ServerGroup:
    """What is known of the servers of a service in a zone together.

    Attributes:
        number: Number that names the group in digests.
        registered: Number of registered servers.
        peer_requests_per_s: Requests per second that other zones forward to each of
            them, on average.
    """

    __slots__ = ("number", "peer_requests_per_s", "registered")

    def __init__(self, service: str, zone: str) -> None:
        self.number = xxh32_intdigest(f"{service}\0{zone}".encode())
        self.registered = 0
        self.peer_requests_per_s = 0.0
