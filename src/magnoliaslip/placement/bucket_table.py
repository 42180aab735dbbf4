"""Default backend servers of the buckets of one service in one epoch."""

from array import array
from collections.abc import Iterable, Sequence

from xxhash import xxh3_64_intdigest

from magnoliaslip.config.snapshot import BackendServer

BUCKETS = 65_536
BUCKET_MASK = BUCKETS - 1
UNKNOWN = 0xFFFF
NO_SERVER = 0xFFFE


class BucketTable:
    """Rendezvous-hashing winners, computed on first use.

    Args:
        service: Name of the service.
        servers: Servers that take new flows, in any order.

    >>> table = BucketTable("rota", [])
    >>> table.winner(7) is None
    True
    """

    __slots__ = ("_service", "_winners", "names")

    def __init__(self, service: str, servers: Iterable[BackendServer]) -> None:
        self._service = service
        self.names: Sequence[str] = sorted(server.name for server in servers)
        self._winners = array("H", [UNKNOWN]) * BUCKETS

    def winner(self, bucket: int) -> str | None:
        """Return the name of the bucket's server; None when no server is in."""
        number = self._winners[bucket]
        if number == UNKNOWN:
            number = self._compute(bucket)
            self._winners[bucket] = number
        return None if number == NO_SERVER else self.names[number]

    def _compute(self, bucket: int) -> int:
        best, best_score = NO_SERVER, -1
        prefix = f"{self._service}\0{bucket}\0"
        for number, name in enumerate(self.names):
            score = xxh3_64_intdigest((prefix + name).encode())
            if score > best_score:
                best, best_score = number, score
        return best
