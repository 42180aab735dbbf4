"""Guards against resets by an instance that has not read what waits for it."""

from random import Random

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.gossip.digest import (
    DIGEST_FORMAT,
    Digest,
    ServerEvidence,
    ServerLoad,
    encode_digest,
)
from magnoliaslip.gossip.exchange import JOINING_DURATION_S, GossipExchange
from tests.gossip.fleet import PORT, FakeSocket
from tests.steering.harness import Harness, server
from tests.steering.test_reachability import establish, request

PEER = Address("10.0.0.9", PORT)


class LateInstance:
    """A router with the digests of one other instance of its zone."""

    def __init__(self):
        self.harness = Harness(server("i-1"), server("i-2"))
        self.clock = ManualClock(start=self.harness.now)
        self.sock = FakeSocket("10.0.0.1")
        self.exchange = GossipExchange(
            self.sock,
            zone="a",
            seeds=[],
            started_ms=1,
            directory=self.harness.directory,
            servers=self.harness.router.servers,
            clock=self.clock,
            rng=Random(1),
            reads_store=lambda: True,
            on_newer_directory=lambda host, position: None,
            on_directory_change=lambda: None,
        )
        self.harness.router.before_judgement = self.exchange.update_evidence
        self.tracked = self.exchange._servers.candidates("desk")[0]

    def advance(self, seconds):
        self.clock.advance(seconds)
        self.harness.now += seconds

    def digest(self, heartbeat, **fields):
        digest = Digest(DIGEST_FORMAT, "a", heartbeat, 1, **fields)
        return encode_digest(digest), (PEER.host, PEER.port)

    def evidence(self, *flows, age_ms):
        """Return a digest with unanswered flows of the server."""
        item = ServerEvidence(self.tracked.tag, True, 7 << 16, age_ms, flows=flows)
        return self.digest(1, evidence=(item,))

    def answered(self):
        """Return a digest with an answer of the server, 10 ms ago."""
        return self.digest(2, loads=(ServerLoad(self.tracked.tag, 10, 10),))

    def leave_one_flow_unanswered(self):
        request(self.harness, b"first", "i-1")
        self.advance(0.2)
        request(self.harness, b"first", "i-1")


def late_instance():
    instance = LateInstance()
    for flow in (b"first", b"idle"):
        establish(instance.harness, flow, "i-1")
    return instance


def test_correction_that_waits_in_the_control_socket_prevents_a_reset():
    instance = late_instance()
    instance.leave_one_flow_unanswered()
    instance.exchange.receive_datagram(instance.evidence(1, 2, age_ms=10)[0], PEER)
    instance.advance(0.4)
    instance.sock.waiting.append(instance.answered())
    assert request(instance.harness, b"idle", "i-1") == ["i-1"]
    assert not instance.harness.link.resets


def test_evidence_of_others_from_before_a_pause_resets_nothing():
    instance = late_instance()
    instance.exchange.receive_datagram(instance.evidence(1, 2, age_ms=900)[0], PEER)
    instance.advance(0.6)
    instance.leave_one_flow_unanswered()
    assert request(instance.harness, b"idle", "i-1") == ["i-1"]
    assert not instance.harness.link.resets


def test_instance_that_does_not_know_the_fleet_yet_waits_for_corrections():
    # It has not heard from the instances whose answers correct its evidence.
    instance = late_instance()
    assert not instance.exchange.is_small_fleet()
    instance.advance(JOINING_DURATION_S)
    assert instance.exchange.is_small_fleet()


def test_unexpected_error_with_a_digest_does_not_hold_back_packets(monkeypatch):
    def fail(self, data, source):
        raise OverflowError("int too big to convert")

    monkeypatch.setattr(GossipExchange, "receive_datagram", fail)
    instance = late_instance()
    instance.sock.waiting.append(instance.answered())
    request(instance.harness, b"first", "i-1")
    instance.advance(0.2)
    assert request(instance.harness, b"first", "i-1") == ["i-1"]


def test_evidence_of_others_without_a_correction_resets():
    instance = late_instance()
    instance.leave_one_flow_unanswered()
    instance.exchange.receive_datagram(instance.evidence(1, 2, age_ms=10)[0], PEER)
    instance.advance(0.4)
    assert request(instance.harness, b"idle", "i-1") == []
    assert len(instance.harness.link.resets) == 1
