"""Guards against suspicions that outlast the evidence for them."""

import pytest

from magnoliaslip.gossip.evidence_table import Observation
from tests.gossip.fleet import LargeFleet
from tests.steering.harness import server

TRANSIT_S = 0.15  # time in transit over a few hops, which ages leave out


def test_observations_that_return_by_turns_are_no_younger():
    observation = Observation()
    observation.update(1, 100.0)
    observation.update(2, 100.2)
    for hop in range(20):
        observation.update(1 + hop % 2, 100.2 + hop * TRANSIT_S)
    assert (observation.id, observation.at) == (2, 100.2)


def test_newer_observation_replaces_an_older_one():
    observation = Observation()
    assert observation.update(1, 100.0)
    assert observation.update(2, 101.0)
    assert not observation.update(1, 102.0)
    assert (observation.id, observation.at) == (2, 101.0)


@pytest.mark.parametrize("seed", range(1, 9))
def test_suspicion_ends_after_an_answer_whatever_the_order_of_digests(seed):
    servers = (server("i-1", zone="zone-0"),)
    fleet = LargeFleet(*(16,) * 6, seed=seed, servers=servers)
    fleet.run(6.0)
    zone = fleet.running("zone-0")
    answered = zone[9].tracked("i-1")
    now = fleet.clock.monotonic()
    for node, flows in ((zone[1], (b"1", b"2")), (zone[5], (b"3", b"4"))):
        for flow in flows:
            node.tracked("i-1").record_retransmission(flow, now, arrived_after=now)
        node.exchange.announce()
    for _ in range(20):
        now = fleet.clock.monotonic()
        answered.record_request(now)
        answered.record_answer(now)
        fleet.step()
    fleet.run(1.5)
    assert not any(node.tracked("i-1").suspected_by_peers for node in zone)
