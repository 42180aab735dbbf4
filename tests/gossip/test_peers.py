"""Guards against counting instances that are gone, and losing those that return."""

from magnoliaslip.gossip.digest import FORMAT, Digest
from magnoliaslip.gossip.peers import FORGET_S, LIVE_S, PeerTable


def digest(*, started_ms=1, leaving=False, revision=0):
    return Digest(FORMAT, "a", started_ms, revision, 0, leaving)


def table():
    return PeerTable("10.0.0.1")


def test_silent_instance_no_longer_counts_and_is_kept_for_a_while():
    peers = table()
    peers.hear("10.0.0.2", digest(), 100.0)
    assert [peer.host for peer in peers.live(100.0 + LIVE_S - 0.1)] == ["10.0.0.2"]
    assert not peers.live(100.0 + LIVE_S)
    peers.expire(100.0 + FORGET_S - 1)
    assert len(peers) == 1
    peers.expire(100.0 + FORGET_S + 1)
    assert len(peers) == 0


def test_leaving_instance_no_longer_counts():
    peers = table()
    peers.hear("10.0.0.2", digest(leaving=True), 100.0)
    assert not peers.live(100.0)


def test_own_host_is_no_peer():
    peers = table()
    assert not peers.name("10.0.0.1", 1.0)
    peers.hear("10.0.0.1", digest(), 1.0)
    assert len(peers) == 0


def test_late_digest_of_an_earlier_process_changes_nothing():
    peers = table()
    peers.hear("10.0.0.2", digest(started_ms=5, revision=9), 100.0)
    peers.hear("10.0.0.2", digest(started_ms=4, revision=3), 101.0)
    [peer] = peers.live(101.0)
    assert peer.digest.revision == 9
    assert peer.heard_at == 100.0


def test_new_start_is_told_from_the_next_digest():
    peers = table()
    assert peers.hear("10.0.0.2", digest(started_ms=1), 1.0) is None
    assert peers.hear("10.0.0.2", digest(started_ms=1), 2.0) is not None
    assert peers.hear("10.0.0.2", digest(started_ms=2), 3.0) is None
