"""Guards against placing a refused caller on the same server again."""

from magnoliaslip.steering import pending_syns
from magnoliaslip.steering.flow_table import FlowTable
from magnoliaslip.steering.packet import PacketFlags
from magnoliaslip.steering.pending_syns import PendingSyns
from tests.steering.harness import START_TIME_S, Harness, server


def test_refused_caller_gets_another_server_with_its_next_flow():
    # A stopped server refuses at once; a caller used up all its attempts on it within
    # the 80 ms after which a SYN counts as unanswered.
    harness = Harness(server("i-1"), server("i-2"), server("i-3"))
    chosen = []
    for number in range(3):
        (name,) = harness.handle(
            flow=bytes([number]), flags=PacketFlags.SYN, caller=b"caller"
        )
        chosen.append(name)
        harness.now += 0.005
    assert sorted(chosen) == ["i-1", "i-2", "i-3"]


def test_answered_syn_does_not_exclude_its_server():
    # Guards against flows of one caller that are kept away from servers of its zone.
    harness = Harness(server("i-1"), server("i-2", zone="b"))
    harness.handle(flow=b"1", flags=PacketFlags.SYN, caller=b"caller")
    assert len(harness.router._pending_syns.tried(b"caller")) == 1
    harness.handle(flow=b"1", tag=harness.tag("i-1"))
    assert harness.router._pending_syns.tried(b"caller") == ()


def test_pending_syns_are_bounded(monkeypatch):
    # Guards against unbounded memory use under a flood of SYNs.
    monkeypatch.setattr(pending_syns, "MAX_PENDING_SYNS", 3)
    harness = Harness(server("i-1"))
    tracked = next(iter(harness.router.servers))
    flows = FlowTable()
    pending = PendingSyns(flows)
    for number in range(5):
        flows.create(bytes([number]), START_TIME_S)
        pending.add(START_TIME_S + number, bytes([number]), b"caller", tracked)
    assert len(pending.tried(b"caller")) == 3
    assert [
        each.flow[0] for each in pending.pop_unanswered(before=START_TIME_S + 9)
    ] == [
        2,
        3,
        4,
    ]
    assert pending.tried(b"caller") == ()
