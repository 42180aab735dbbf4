"""Table of the other instances of the fleet."""

from collections.abc import Iterable, Iterator

from magnoliaslip.gossip.digest import Digest
from magnoliaslip.placement.hashing import rank

# An instance without a digest for this time in seconds is no longer live: three and a
# half gossip periods, so that two consecutive lost datagrams are tolerated.
DIGEST_TIMEOUT_S = 1.75
# An instance without a digest for this time in seconds is removed. Until then it is
# still sent occasional digests, so that both sides of a partition reconnect.
PEER_EXPIRY_S = 60.0
# Minimum time in seconds between two corrections to an instance: digests sent at once,
# because it reports unresponsive flows of a server that answers this instance. Without
# it, two instances that each receive answers from a server that is unresponsive for the
# other would send each other corrections as fast as the network carries them.
MIN_CORRECTION_INTERVAL_S = 0.1
# Instances per zone that watch the store. The second one covers the time from the
# failure of the first one until the others detect it.
STORE_WATCHERS_PER_ZONE = 2


class Peer:
    """One other instance.

    Attributes:
        host: Its IP address; all instances use the same port.
        last_correction_at: Monotonic time in seconds of the last correction sent to it.
        digest: The last digest received from it; None if there was none yet.
        last_received_at: Monotonic time in seconds at which that digest was received.
        discovered_at: Monotonic time in seconds at which it was added to the table.
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
        """Check whether a recent digest was received and it is not leaving."""
        return (
            self.digest is not None
            and now - self.last_received_at < DIGEST_TIMEOUT_S
            and not self.digest.leaving
        )


def is_watcher(own_host: str, hosts: Iterable[str]) -> bool:
    """Check whether an instance watches the store for its availability zone.

    Rendezvous hashing over the live instances of the zone chooses
    `STORE_WATCHERS_PER_ZONE`; when one is no longer live, the next one replaces it.

    Args:
        own_host: Host of the instance.
        hosts: Hosts of the other live instances of its zone.

    >>> sum(is_watcher(h, {"a", "b", "c"} - {h}) for h in ("a", "b", "c"))
    2
    """
    return own_host in rank("reader", [own_host, *hosts])[:STORE_WATCHERS_PER_ZONE]


class PeerTable:
    """All tracked instances except this one.

    Args:
        own_host: IP address of this instance.
    """

    __slots__ = ("_own_host", "_peers")

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._peers: dict[str, Peer] = {}

    def add(self, host: str, now: float) -> bool:
        """Add an instance; returns whether it is new."""
        if host == self._own_host:
            return False
        peer = self._peers.get(host)
        if peer is not None:
            return False
        self._peers[host] = Peer(host, now)
        return True

    def record_digest(self, host: str, digest: Digest, now: float) -> Digest | None:
        """Record a digest.

        Returns:
            The previous digest; None if this is the first one of its process, or if
            the host is this instance.
        """
        self.add(host, now)
        peer = self._peers.get(host)
        if peer is None:
            return None
        previous = peer.digest
        if previous is not None and previous.started_ms > digest.started_ms:
            return previous  # delayed datagram of an earlier process
        peer.digest = digest
        peer.last_received_at = now
        if previous is None or previous.started_ms != digest.started_ms:
            return None
        return previous

    def get(self, host: str) -> Peer | None:
        """Return an instance by its host; None if it is not tracked."""
        return self._peers.get(host)

    def allow_correction(self, host: str, now: float) -> bool:
        """Check whether a correction may be sent to an instance now, and record it."""
        peer = self._peers.get(host)
        if peer is None or now < peer.last_correction_at + MIN_CORRECTION_INTERVAL_S:
            return False
        peer.last_correction_at = now
        return True

    def live(self, now: float) -> list[Peer]:
        """Return the instances that are live, see `Peer.is_live`."""
        return [peer for peer in self._peers.values() if peer.is_live(now)]

    def expire(self, now: float) -> None:
        """Remove instances that have sent no digest for `PEER_EXPIRY_S`."""
        for host, peer in list(self._peers.items()):
            if now - max(peer.last_received_at, peer.discovered_at) > PEER_EXPIRY_S:
                del self._peers[host]

    def __iter__(self) -> Iterator[Peer]:
        return iter(list(self._peers.values()))

    def __len__(self) -> int:
        return len(self._peers)
