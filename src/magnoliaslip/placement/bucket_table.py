"""Default backend servers of the buckets of one service in one epoch."""

from array import array
from collections.abc import Iterable, Mapping

from xxhash import xxh3_64_intdigest

BUCKETS = 65_536
BUCKET_MASK = BUCKETS - 1
# Server numbers have 16 bits; those from MAX_SERVERS up are reserved for these marks
# and for `NOT_DIRECT`.
NOT_COMPUTED = 0xFFFF
NO_SERVER = 0xFFFE
MAX_SERVERS = 65_000

_UNCOMPUTED_WINNERS = array("H", [NOT_COMPUTED]) * BUCKETS


def uncomputed_winners() -> array:
    """Return an array of `NOT_COMPUTED` for each bucket (128 KiB)."""
    return _UNCOMPUTED_WINNERS[:]


def server_seed(service: str, name: str) -> bytes:
    """Return the 8 bytes that identify a server in rendezvous hashing."""
    return xxh3_64_intdigest(f"{service}\0{name}".encode()).to_bytes(8, "big")


class BucketTable:
    """Winners of rendezvous hashing, computed on first use.

    A table can be derived from the table of the previous epoch. A bucket then takes
    one hash for the former winner and one for each added server, if the former
    winner has been computed and is still a candidate.

    Args:
        seeds: Seeds of all candidates by server number.
        parent: Table of the previous epoch of the same service.

    Attributes:
        numbers: Numbers of the candidates, in the order of their seeds.

    >>> table = BucketTable({4: server_seed("rota", "r-1")})
    >>> table.winner(7)
    4
    >>> BucketTable({}).winner(7) == NO_SERVER
    True
    """

    __slots__ = (
        "_added_numbers",
        "_ordered_seeds",
        "_parent",
        "_seeds",
        "_winners",
        "numbers",
    )

    def __init__(
        self, seeds: Mapping[int, bytes], *, parent: "BucketTable | None" = None
    ) -> None:
        self._seeds = dict(seeds)
        # The lowest seed wins among equal scores, so that the server numbers, which
        # differ between instances, do not affect the result.
        self.numbers = sorted(self._seeds, key=self._seeds.__getitem__)
        self._ordered_seeds = [self._seeds[number] for number in self.numbers]
        self._winners: array | None = None
        self._parent = parent
        self._added_numbers: list[int] = []
        if parent is not None:
            parent_numbers = parent._seeds.keys()
            self._added_numbers = [
                number for number in self.numbers if number not in parent_numbers
            ]

    @property
    def candidates(self) -> Mapping[int, bytes]:
        """Seed by server number."""
        return self._seeds

    def winner(self, bucket: int) -> int:
        """Return the server number of the bucket's winner, or `NO_SERVER`."""
        winners = self._winners
        if winners is None:
            winners = self._winners = uncomputed_winners()
        number = winners[bucket]
        if number == NOT_COMPUTED:
            number = winners[bucket] = self._compute_winner(bucket)
        return number

    def free_winners(self) -> None:
        """Free the cached winners; they are computed again when needed."""
        self._winners = None

    def detach_parent(self) -> None:
        """Release the table of the previous epoch."""
        self._parent = None
        self._added_numbers = []

    def _compute_winner(self, bucket: int) -> int:
        if not self.numbers:
            return NO_SERVER
        prefix = bucket.to_bytes(2, "big")
        parent = self._parent
        if parent is not None and parent._winners is not None:
            former = parent._winners[bucket]
            if former in self._seeds:
                return self._best_of(prefix, [former, *self._added_numbers])
        scores = list(map(xxh3_64_intdigest, map(prefix.__add__, self._ordered_seeds)))
        return self.numbers[scores.index(max(scores))]

    def _best_of(self, prefix: bytes, numbers: Iterable[int]) -> int:
        seeds = self._seeds
        return max(
            sorted(numbers, key=seeds.__getitem__),
            key=lambda number: xxh3_64_intdigest(prefix + seeds[number]),
        )
