"""Hash functions that give the same result on every instance."""

from collections.abc import Iterable

from xxhash import xxh3_64_intdigest


def flow_hash(key: bytes) -> int:
    """Return the 64-bit hash of a flow key.

    >>> flow_hash(bytes(12)) == flow_hash(bytes(12))
    True
    """
    return xxh3_64_intdigest(key)


def name_hash(name: str) -> int:
    """Return the 64-bit hash of a name."""
    return xxh3_64_intdigest(name.encode())


def rank(item: str, candidates: Iterable[str]) -> list[str]:
    """Order candidates by rendezvous hashing, the winner first.

    Args:
        item: Name of the item to place.
        candidates: Names of the possible holders, in any order.

    >>> rank("slice-1", ["b", "a"]) == rank("slice-1", ["a", "b"])
    True
    """
    prefix = item + "\0"
    return sorted(
        candidates, key=lambda name: (name_hash(prefix + name), name), reverse=True
    )
