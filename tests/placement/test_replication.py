from random import Random

import pytest

from magnoliaslip.peering.proto.peer_pb2 import PeerMessage
from magnoliaslip.placement.replication import (
    MAX_BACKLOG_OPERATIONS,
    MAX_BATCH_OPERATIONS,
    MAX_MESSAGES_IN_FLIGHT,
    LogReceiver,
    PeerLog,
)


class _LogPeer:
    """Applies a log to a dict, as the receiving router does to its state."""

    def __init__(self):
        self.receiver = LogReceiver(1)
        self.state = {}

    def receive(self, entries):
        skip = self.receiver.accept(entries)
        if skip is None:
            return
        if entries.reset and skip == 0:
            self.state.clear()
        ops = [(op.bucket, op.dirty) for op in entries.buckets]
        ops += [(op.key, op.server) for op in entries.exceptions]
        for name, value in ops[skip:]:
            self.state[name] = value


@pytest.mark.parametrize("seed", range(20))
def test_log_is_applied_in_order_over_a_lossy_link(seed):
    # Guards against operations that are lost, applied twice or reordered.
    rng = Random(seed)
    sent_messages, peer, now = [], _LogPeer(), 0.0
    log = PeerLog(
        "i2",
        1,
        lambda to, msg: sent_messages.append(
            PeerMessage.FromString(msg.SerializeToString())
        ),
    )
    model = {}
    for step in range(600):
        now += 0.1
        if step < 400:
            for _ in range(rng.randrange(20)):
                bucket = rng.randrange(50)
                model[bucket] = rng.random() < 0.5
                log.add_bucket("rota", bucket, model[bucket])
                key = bytes([rng.randrange(50)]) * 12
                model[key] = rng.choice(["", "s1", "s2"])
                log.add_exception("rota", key, model[key])
        log.tick(now)
        rng.shuffle(sent_messages)
        for msg in sent_messages:
            for _ in range(rng.choice([0, 1, 1, 2]) if step < 500 else 1):
                peer.receive(msg.log)
        sent_messages.clear()
        if rng.random() < 0.7 and peer.receiver.applied is not None:
            log.on_ack(peer.receiver.applied, now)
    assert peer.state == model
    assert log.backlog == 0


def test_restart_clears_the_state_of_the_peer():
    # Guards against a restarted peer that keeps the state from a former log.
    sent_messages, peer = [], _LogPeer()
    log = PeerLog("i2", 1, lambda to, msg: sent_messages.append(msg))
    log.add_bucket("rota", 1, True)
    log.flush(0.0)
    peer.receive(sent_messages[-1].log)
    log.on_ack(peer.receiver.applied, 0.0)
    log.restart(2)
    log.add_bucket("rota", 2, True)
    log.flush(1.0)
    peer.receive(sent_messages[0].log)
    peer.receive(sent_messages[-1].log)
    peer.receive(sent_messages[0].log)
    assert peer.state == {2: True}
    fresh = _LogPeer()
    fresh.receive(sent_messages[-1].log)
    assert fresh.state == {2: True}


def test_messages_and_backlog_are_bounded():
    # Guards against messages of several megabytes, and against memory that grows while
    # a peer does not acknowledge.
    sent_messages = []
    log = PeerLog("i2", 1, lambda to, msg: sent_messages.append(msg))
    for number in range(MAX_BACKLOG_OPERATIONS + 10):
        log.add_exception("rota", number.to_bytes(12, "big"), "s1")
    reported_sequence = log.last_sequence
    log.flush(0.0)
    assert len(sent_messages) == MAX_MESSAGES_IN_FLIGHT
    assert all(len(msg.log.exceptions) <= MAX_BATCH_OPERATIONS for msg in sent_messages)
    assert all(msg.ByteSize() < 8000 for msg in sent_messages)
    assert log.overflowed and reported_sequence == MAX_BACKLOG_OPERATIONS + 10
    log.restart(1)
    assert log.last_sequence >= reported_sequence


def test_unsent_operation_counts_in_the_last_sequence():
    # Guards against a certificate that is renewed before an operation has been sent.
    log = PeerLog("i2", 1, lambda to, msg: None)
    op = log.add_bucket("rota", 1, True)
    assert log.last_sequence == 1
    assert not log.is_acked(op)
    log.flush(0.0)
    assert log.on_ack(1, 0.1)
    assert log.is_acked(op)
