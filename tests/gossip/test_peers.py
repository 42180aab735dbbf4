"""Guards against live peers that are dropped and failed peers that count as live."""

from magnoliaslip.gossip.digest import DIGEST_FORMAT, Digest
from magnoliaslip.gossip.peers import DIGEST_TIMEOUT_S, PEER_EXPIRY_S, PeerTable


def digest(*, started_ms=1, leaving=False, revision=0):
    return Digest(DIGEST_FORMAT, "a", started_ms, revision, 0, leaving)


def table():
    return PeerTable("10.0.0.1")


def test_unresponsive_instance_is_not_live_and_expires_later():
    peers = table()
    peers.record_digest("10.0.0.2", digest(), 100.0)
    assert [peer.host for peer in peers.live(100.0 + DIGEST_TIMEOUT_S - 0.1)] == [
        "10.0.0.2"
    ]
    assert not peers.live(100.0 + DIGEST_TIMEOUT_S)
    peers.expire(100.0 + PEER_EXPIRY_S - 1)
    assert len(peers) == 1
    peers.expire(100.0 + PEER_EXPIRY_S + 1)
    assert len(peers) == 0


def test_leaving_instance_is_not_live():
    peers = table()
    peers.record_digest("10.0.0.2", digest(leaving=True), 100.0)
    assert not peers.live(100.0)


def test_own_host_is_not_a_peer():
    peers = table()
    assert not peers.add("10.0.0.1", 1.0)
    peers.record_digest("10.0.0.1", digest(), 1.0)
    assert len(peers) == 0


def test_late_digest_of_an_earlier_process_is_ignored():
    peers = table()
    peers.record_digest("10.0.0.2", digest(started_ms=5, revision=9), 100.0)
    peers.record_digest("10.0.0.2", digest(started_ms=4, revision=3), 101.0)
    [peer] = peers.live(101.0)
    assert peer.digest.revision == 9
    assert peer.last_received_at == 100.0


def test_restart_is_distinguished_from_the_next_digest():
    peers = table()
    assert peers.record_digest("10.0.0.2", digest(started_ms=1), 1.0) is None
    assert peers.record_digest("10.0.0.2", digest(started_ms=1), 2.0) is not None
    assert peers.record_digest("10.0.0.2", digest(started_ms=2), 3.0) is None
