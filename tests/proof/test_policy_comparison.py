"""Guards against measures that do not differ between the placement policies."""

import pytest

from magnoliaslip.proof import experiments
from magnoliaslip.proof.flow_memory import bytes_per_record
from magnoliaslip.proof.policy_comparison import PolicyMeasures, render


def test_only_stateful_policies_allocate_memory_per_flow():
    assert bytes_per_record("stateless", flows=500) < 2
    assert bytes_per_record("exceptions", flows=500) > 20


@pytest.mark.parametrize("policy", ["exceptions", "stateless"])
def test_measures_differ_between_stateful_and_stateless_policy(policy, monkeypatch):
    monkeypatch.setattr(experiments, "ROLLING_LENGTH_S", 31.0)
    monkeypatch.setattr(experiments, "ZONE_LENGTH_S", 20.0)
    monkeypatch.setattr(experiments, "SESSIONS_PER_S", {"sicily": 4.0})
    rolling = experiments.run_rolling("sicily", policy, 1)
    zone = experiments.run_zone("sicily", policy, 1)
    assert rolling.flows > 80
    assert rolling.max_over_mean > 1
    if policy == "stateless":
        assert rolling.second_hop_share == rolling.records_per_flow == 0
    else:
        assert rolling.second_hop_share > 0.05
        assert rolling.records_per_flow > 0.5
    served = sum(second.served for second in zone.seconds)
    offered = sum(second.offered for second in zone.seconds)
    assert 0 < served <= offered
    assert {second.slots for second in zone.seconds} == {14, 20}
    measures = PolicyMeasures("sicily", policy, 1, 30.0, rolling, zone)
    assert f"{policy:>14}" in next(render([measures]))
