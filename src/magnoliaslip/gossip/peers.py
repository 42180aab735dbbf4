"""The other instances, as far as this one heard of them."""

from collections.abc import Iterable, Iterator

from magnoliaslip.gossip.digest import Digest
from magnoliaslip.placement.hashing import rank

# An instance that was not heard for this time in seconds no longer counts: three
# periods and a half, so that two lost datagrams in a row do not matter.
LIVENESS_TIMEOUT_S = 1.75
# An instance that was not heard for this time in seconds is forgotten; until then it
# is sent a digest now and then, so that both sides of a cut find each other again.
PEER_EXPIRY_S = 60.0
# Least time in seconds between two contradictions to an instance: two that each hear
# what is silent for the other would answer each other at the speed of the network.
MIN_CORRECTION_INTERVAL_S = 0.1
# Instances of a zone that watch the store; the second one covers the moment in which
# the first one is gone and the others have not noticed.
STORE_READERS_PER_ZONE = 2


class Peer:
    """One other instance.

    Attributes:
        host: Its address; all instances use the same port.
        last_correction_at: Monotonic time in seconds at which it was last contradicted.
        digest: The last one that it sent; None when it is only known by name.
        last_received_at: Monotonic time in seconds of that digest.
        discovered_at: Monotonic time in seconds at which it was last named.
    """

    __slots__ = (
        "digest",
        "discovered_at",
        "host",
        "last_correction_at",
        "last_received_at",
    )

    def __init__(self, host: str, now: float) -> None:
        self.host = host
        self.last_correction_at = float("-inf")
        self.digest: Digest | None = None
        self.last_received_at = float("-inf")
        self.discovered_at = now

    def is_live(self, now: float) -> bool:
        """Return whether it was heard a short time ago and does not leave."""
        return (
            self.digest is not None
            and now - self.last_received_at < LIVENESS_TIMEOUT_S
            and not self.digest.leaving
        )


def is_reader(own_host: str, hosts: Iterable[str]) -> bool:
    """Return whether an instance watches the store for its availability zone.

    Rendezvous hashing over the live instances of the zone chooses
    `STORE_READERS_PER_ZONE`; when one falls silent, the next one takes its place.

    Args:
        own_host: The instance.
        hosts: The other live instances of its zone.

    >>> sum(is_reader(h, {"a", "b", "c"} - {h}) for h in ("a", "b", "c"))
    2
    """
    return own_host in rank("reader", [own_host, *hosts])[:STORE_READERS_PER_ZONE]


class PeerTable:
    """All known instances but this one.

    Args:
        own_host: Address of this instance.
    """

    __slots__ = ("_own_host", "_peers")

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._peers: dict[str, Peer] = {}

    def add(self, host: str, now: float) -> bool:
        """Note that an instance exists; returns whether it was unknown."""
        if host == self._own_host:
            return False
        peer = self._peers.get(host)
        if peer is not None:
            return False
        self._peers[host] = Peer(host, now)
        return True

    def record_digest(self, host: str, digest: Digest, now: float) -> Digest | None:
        """Note a digest; returns the one before, None when it is a new start."""
        self.add(host, now)
        peer = self._peers.get(host)
        if peer is None:
            return None
        previous = peer.digest
        if previous is not None and previous.started_ms > digest.started_ms:
            return previous  # a late datagram of an earlier process
        peer.digest = digest
        peer.last_received_at = now
        if previous is None or previous.started_ms != digest.started_ms:
            return None
        return previous

    def get(self, host: str) -> Peer | None:
        """Return an instance by its address."""
        return self._peers.get(host)

    def allow_correction(self, host: str, now: float) -> bool:
        """Return whether an instance may be contradicted now; notes that it is."""
        peer = self._peers.get(host)
        if peer is None or now < peer.last_correction_at + MIN_CORRECTION_INTERVAL_S:
            return False
        peer.last_correction_at = now
        return True

    def live(self, now: float) -> list[Peer]:
        """Return the instances that were heard a short time ago."""
        return [peer for peer in self._peers.values() if peer.is_live(now)]

    def expire(self, now: float) -> None:
        """Forget instances that were not heard for long."""
        for host, peer in list(self._peers.items()):
            if now - max(peer.last_received_at, peer.discovered_at) > PEER_EXPIRY_S:
                del self._peers[host]

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self._peers.values()))

    def __len__(self) -> int:
        return len(self._peers)
