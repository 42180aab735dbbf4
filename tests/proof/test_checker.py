"""Guards against rules that never fail, or that fail on a correct history."""

import pytest

from magnoliaslip.proof.checker import RULES, Checker
from magnoliaslip.proof.history import History, Record
from magnoliaslip.proof.mutations import MUTATIONS
from magnoliaslip.proof.sample import sample_history

SEEDS = range(6)


def check_modified_sample(*added, without=lambda record: False):
    remaining = [record for record in sample_history(1).records if not without(record)]
    return Checker().check(History([*remaining, *added]))


def test_good_histories_keep_every_rule():
    for seed in SEEDS:
        assert Checker().check(sample_history(seed)).failed == ()


def test_every_rule_has_a_mutation():
    assert {m.rule for m in MUTATIONS} == {rule.name for rule in RULES}


@pytest.mark.parametrize("mutation", MUTATIONS, ids=lambda m: m.rule)
def test_mutation_makes_exactly_its_rule_fail(mutation):
    for seed in SEEDS:
        history = sample_history(seed)
        verdict = Checker().check(mutation.apply(history, seed))
        assert verdict.failed == (mutation.rule,)
        assert Checker().check(history).passed


def test_violation_shows_the_trace_of_the_flow():
    broken = next(m for m in MUTATIONS if m.rule == "R1")
    verdict = Checker().check(broken.apply(sample_history(1), 1))
    (violation,) = verdict.violations["R1"]
    text = str(violation)
    assert "ended by reset" in text
    assert "forward" in text and "phase=reset" in text


def test_partitioned_instance_gets_the_full_deadline_after_the_partition():
    """Guards against deadlines of R4 and R10 that include time without updates."""

    def fault(t, phase, cut_off):
        fields = {"fault": "cut-instance", "target": "i1", "phase": phase}
        return Record(t, "world", "fault", {**fields, "cut_off": cut_off})

    def own_config(record):
        return (record.kind, record.who, record.get("version")) == ("config", "i1", 2)

    late = Record(17.5, "i1", "config", {"version": 2, "zones_out": ["b"]})
    partition = fault(9, "begin", ["i1"]), fault(11, "end", [])
    assert check_modified_sample(late, without=own_config).failed == ("R10",)
    assert check_modified_sample(late, *partition, without=own_config).passed
    later = Record(18.5, "i1", "config", {"version": 2, "zones_out": ["b"]})
    assert check_modified_sample(later, *partition, without=own_config).failed == (
        "R10",
    )


def test_paused_instance_gets_the_full_deadline_after_the_pause():
    """Guards against a deadline of R10 that includes time without a processor."""

    def pause(t, phase):
        fields = {"fault": "pause", "target": "i1", "phase": phase}
        return Record(t, "world", "fault", fields)

    def own_config(record):
        return (record.kind, record.who, record.get("version")) == ("config", "i1", 2)

    def config(t):
        return Record(t, "i1", "config", {"version": 2, "zones_out": ["b"]})

    paused = pause(9, "begin"), pause(11, "end")
    assert check_modified_sample(config(17.5), without=own_config).failed == ("R10",)
    assert check_modified_sample(config(17.5), *paused, without=own_config).passed
    assert check_modified_sample(config(18.5), *paused, without=own_config).failed == (
        "R10",
    )


def test_pause_does_not_extend_the_deadline_for_a_zone_out():
    def pause(t, phase):
        fields = {"fault": "pause", "target": "i1", "phase": phase}
        return Record(t, "world", "fault", fields)

    packet = {"flow": "00", "service": "kit-desk", "server": "kd-2", "zone": "b"}
    packet |= {"segment": "payload", "config": 1, "reason": "default"}
    late = Record(16.1, "i1", "forward", packet)
    assert check_modified_sample(late, pause(9, "begin"), pause(16, "end")).failed == (
        "R4",
    )


def test_cold_server_that_fails_under_load_breaks_rule_3_unless_injected():
    fields = {"server": "sl-1", "service": "spawn-lab", "state": "cold", "bears": 2}
    failure = Record(7.0, "sl-1", "server_state", fields)
    assert check_modified_sample(failure).failed == ("R3",)
    fault = {"fault": "cold-start", "target": "sl-1", "phase": "begin"}
    assert check_modified_sample(Record(7.0, "world", "fault", fault), failure).passed


def test_flows_of_a_zone_out_are_exempt_from_rule_1():
    def call(t, phase):
        fields = {"flow": "aa", "request": "r", "service": "kit-desk"}
        fields |= {"complete": False, "answered_by": "", "phase": phase}
        return Record(t, "caller", "call", fields)

    def flow_to(server, zone):
        packet = {"flow": "aa", "service": "kit-desk", "server": server, "zone": zone}
        packet |= {"segment": "open", "config": 1, "reason": "default"}
        opened = Record(9.0, "i1", "forward", packet)
        return call(8.9, "open"), opened, call(9.1, "established"), call(10.5, "reset")

    assert check_modified_sample(*flow_to("kd-1", "a")).failed == ("R1",)
    assert check_modified_sample(*flow_to("kd-2", "b")).passed


def test_request_aborted_by_a_stopped_server_breaks_rule_9():
    def call(t, phase):
        fields = {"flow": "aa", "request": "r", "service": "kit-desk"}
        fields |= {"complete": False, "answered_by": "", "phase": phase}
        return Record(t, "caller", "call", fields)

    request_fields = {
        "server": "kd-3",
        "service": "kit-desk",
        "flow": "aa",
        "request": "r",
    }
    request_fields |= {"idempotent": True, "phase": "start"}
    phases = (call(20, "open"), call(20.1, "established"), call(29, "sent"))
    start = Record(29.1, "kd-3", "request", request_fields)
    assert check_modified_sample(*phases, start, call(30.5, "reset")).failed == ("R9",)


def test_history_round_trips_through_json_lines():
    history = sample_history(3)
    assert History.read(history.lines()).digest() == history.digest()


def test_server_that_returned_to_its_pool_may_get_new_flows():
    # Guards against violations of rule 8 by flows to a server that serves again; one
    # that was placed while it was leaving still is a violation.
    def publish(t, version, draining):
        fields = {"version": version, "values": {}, "zones_out": []}
        return Record(t, "platform", "publish", {**fields, "draining": draining})

    def syn(t, flow):
        fields = {"flow": flow, "service": "s", "server": "s-1", "zone": "a"}
        more = {"config": 1, "segment": "open", "reason": "default"}
        return Record(t, "i1", "forward", {**fields, **more})

    records = [
        Record(0.0, "i1", "state", {"state": "joining"}),
        publish(1.0, 1, ["s-1"]),
        syn(10.0, "01" * 12),
        publish(20.0, 2, []),
        syn(40.0, "02" * 12),
    ]
    found = Checker().check(History(records)).violations["R8"]
    assert [violation.t for violation in found] == [10.0]
