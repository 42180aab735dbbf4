from random import Random

from magnoliaslip.placement.evidence import Evidence


def test_backoff_doubles_up_to_its_bound():
    # Guards against a refusing server that is tried continuously, or never again.
    evidence = Evidence(Random(1))
    now, delays = 0.0, []
    for _ in range(7):
        delay = evidence.record_refusal(3, now)
        delays.append(delay)
        assert evidence.blocks(3, now + delay - 0.01)
        now += delay
        assert not evidence.blocks(3, now)
    assert all(0.8 <= delay / 2**n <= 1.2 for n, delay in enumerate(delays[:4]))
    assert max(delays) <= 15.0


def test_refusals_in_flight_count_once():
    # Guards against a backoff of 15 s after one short refusal of many flows.
    evidence = Evidence(Random(1))
    first = evidence.record_refusal(3, 0.0)
    for _ in range(50):
        assert evidence.record_refusal(3, 0.1) < first


def test_one_new_flow_probes_a_refusing_server():
    # Guards against a burst of new flows on a server that may still refuse.
    evidence = Evidence(Random(1))
    now = evidence.record_refusal(3, 0.0)
    evidence.record_placement(3, now)
    assert evidence.blocks(3, now + 0.1)
    assert not evidence.blocks(3, now + 3.1)
    assert evidence.record_acceptance(3, now)
    assert not evidence.blocks(3, now + 0.1)
    assert not evidence.record_acceptance(3, now)


def test_late_answer_is_no_evidence_of_a_restart():
    # Guards against the slow start of a server whose answers were just late.
    evidence = Evidence(Random(1))
    evidence.record_refusal(3, 0.0, unanswered=True)
    assert evidence.blocks(3, 0.1)
    assert not evidence.record_acceptance(3, 0.1)
    evidence.record_refusal(3, 1.0, unanswered=True)
    evidence.record_refusal(3, 1.1)
    assert evidence.record_acceptance(3, 1.2)


def test_reported_refusal_expires():
    # Guards against the slow start of servers that refused long ago, when a slice moves
    # to an instance that received reports of the refusals but not of their end.
    evidence = Evidence(Random(1))
    for number in (3, 4):
        evidence.apply_report(number, 1_000, 0.0)
    assert evidence.record_acceptance(3, 1.5)
    assert not evidence.record_acceptance(4, 30.0)


def test_evidence_is_ignored_when_most_of_a_pool_is_blocked():
    # Guards against a fault on this side that concentrates the load on few servers.
    evidence = Evidence(Random(1))
    for number in range(3):
        evidence.record_refusal(number, 0.0)
    assert not evidence.is_ignored(6, 0.1)
    assert evidence.is_ignored(5, 0.1)
    assert not evidence.is_ignored(5, 20.0)


def test_resets_of_unknown_connections_indicate_a_restart():
    # Guards against a restarted server that gets full load while it is cold.
    evidence = Evidence(Random(1))
    assert not evidence.record_unknown_reset(1, 0.0)
    assert not evidence.record_unknown_reset(1, 5.0)
    assert not evidence.record_unknown_reset(1, 6.5)
    assert evidence.record_unknown_reset(1, 6.9)
