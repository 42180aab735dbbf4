"""Default backend servers of the buckets of one service in one epoch."""

from array import array
from collections.abc import Iterable, Mapping

from xxhash import xxh3_64_intdigest

BUCKETS = 65_536
BUCKET_MASK = BUCKETS - 1
UNKNOWN = 0xFFFF
NO_SERVER = 0xFFFE
MAX_SERVERS = 65_000

_BLANK = array("H", [UNKNOWN]) * BUCKETS


def blank_numbers() -> array:
    """Return an array of one unknown server number per bucket (128 KiB)."""
    return _BLANK[:]


def server_seed(service: str, name: str) -> bytes:
    """Return the 8 bytes that stand for a server in rendezvous hashing."""
    return xxh3_64_intdigest(f"{service}\0{name}".encode()).to_bytes(8, "big")


class BucketTable:
    """Rendezvous-hashing winners, computed on first use.

    A table can start from the table of the previous epoch: a bucket then costs one
    hash for the former winner and one for each added server, as long as the former
    winner is still a candidate.

    Args:
        seeds: Seed by server number, of all candidates.
        parent: Table of the previous epoch of the same service.

    >>> table = BucketTable({4: server_seed("rota", "r-1")})
    >>> table.winner(7)
    4
    >>> BucketTable({}).winner(7) == NO_SERVER
    True
    """

    __slots__ = ("_added", "_numbers", "_parent", "_seeds", "_tails", "_winners")

    def __init__(
        self, seeds: Mapping[int, bytes], *, parent: "BucketTable | None" = None
    ) -> None:
        self._seeds = dict(seeds)
        # Equal scores go to the lowest seed, so that the order of numbers, which
        # differs between instances, has no influence.
        self._numbers = sorted(self._seeds, key=self._seeds.__getitem__)
        self._tails = [self._seeds[number] for number in self._numbers]
        self._winners: array | None = None
        self._parent = parent
        self._added: list[int] = []
        if parent is not None:
            known = parent._seeds.keys()
            self._added = [number for number in self._numbers if number not in known]

    @property
    def candidates(self) -> Mapping[int, bytes]:
        """Seed by server number."""
        return self._seeds

    def winner(self, bucket: int) -> int:
        """Return the number of the bucket's server, or `NO_SERVER`."""
        winners = self._winners
        if winners is None:
            winners = self._winners = blank_numbers()
        number = winners[bucket]
        if number == UNKNOWN:
            number = winners[bucket] = self._compute(bucket)
        return number

    def release(self) -> None:
        """Free the stored winners; they are computed again when needed."""
        self._winners = None

    def detach(self) -> None:
        """Forget the table of the previous epoch."""
        self._parent = None
        self._added = []

    def _compute(self, bucket: int) -> int:
        if not self._numbers:
            return NO_SERVER
        prefix = bucket.to_bytes(2, "big")
        parent = self._parent
        if parent is not None and parent._winners is not None:
            former = parent._winners[bucket]
            if former in self._seeds:
                return self._best(prefix, [former, *self._added])
        scores = list(map(xxh3_64_intdigest, map(prefix.__add__, self._tails)))
        return self._numbers[scores.index(max(scores))]

    def _best(self, prefix: bytes, numbers: Iterable[int]) -> int:
        seeds = self._seeds
        return max(
            sorted(numbers, key=seeds.__getitem__),
            key=lambda number: xxh3_64_intdigest(prefix + seeds[number]),
        )
