"""Changes of a fleet of 198 in virtual time: bounds on seconds, messages and bytes.

Any instance may send half more than the budget of control, and as a seed, or as one
that starts, some digests in addition.
"""

from logging import INFO

import pytest

from tests.gossip.fleet import LargeFleet
from tests.gossip.test_fleet import (
    MAX_BYTES_PER_S,
    MAX_NEWS_S,
    all_have,
    all_know_their_zones,
    publish,
)

SIX_ZONES = (33,) * 6
DIGEST_BYTES = 500
# Digests that each instance that starts may cause at a seed, there and back, until it
# knows its zone.
DIGESTS_AT_SEED = 6


def settled():
    fleet = LargeFleet(*SIX_ZONES, loss=0.02)
    fleet.run(8.0)
    fleet.reset_counts()
    return fleet


def check_bounds(fleet, seconds, *, additional):
    """Check what every instance sent and received in a time.

    Args:
        fleet: The fleet; its counts began with the time.
        seconds: The time.
        additional: Digests that one instance may send or receive besides the usual.
    """
    # In the mean nine digests a second; by chance, some receive twice as many.
    assert max(fleet.sent.values()) < 15 * seconds + additional
    assert max(fleet.received.values()) < 20 * seconds + additional
    budget = 1.5 * MAX_BYTES_PER_S * seconds
    assert max(fleet.sent_bytes.values()) < budget + additional * DIGEST_BYTES
    mean = sum(fleet.sent_bytes.values()) / len(fleet.sent_bytes)
    assert mean < budget + 20 * DIGEST_BYTES


def test_hundreds_join_at_once():
    fleet = LargeFleet(*SIX_ZONES, loss=0.02)
    seconds = fleet.run(4.0, until=lambda: all_know_their_zones(fleet))
    assert seconds is not None
    check_bounds(fleet, seconds, additional=DIGESTS_AT_SEED * len(fleet.nodes))


def test_all_lose_power_at_once():
    fleet = settled()
    fleet.lose_power(1.5)
    seconds = fleet.run(4.0, until=lambda: all_know_their_zones(fleet))
    assert seconds is not None
    check_bounds(fleet, seconds, additional=DIGESTS_AT_SEED * len(fleet.nodes))


def test_zone_is_cut_off_and_returns():
    fleet = settled()
    fleet.cut = {fleet.zones[0]}
    fleet.run(8.0)
    check_bounds(fleet, 8.0, additional=0)
    revision = publish(fleet, zones=fleet.zones[1:])
    fleet.run(1.0)
    fleet.cut = set()
    fleet.reset_counts()
    seconds = fleet.run(MAX_NEWS_S, until=lambda: all_have(fleet, revision))
    assert seconds is not None and seconds < MAX_NEWS_S / 2
    check_bounds(fleet, seconds, additional=20)


def test_a_third_is_added():
    fleet = settled()
    for zone in range(6):
        fleet.add(zone, 11)
    seconds = fleet.run(6.0, until=lambda: all_know_their_zones(fleet))
    assert seconds is not None
    check_bounds(fleet, seconds, additional=DIGESTS_AT_SEED * 66)


@pytest.mark.parametrize("seeds_that_run", [1, 0])
def test_instances_join_while_seeds_are_dead_or_changed(seeds_that_run):
    fleet = settled()
    fleet.off |= set(fleet.seeds[: 3 - seeds_that_run])
    if not seeds_that_run:
        fleet.seeds = ["10.4.0.3", "10.5.0.3"]
    joining = fleet.add(0, 11)
    # That the dead ones are dead takes longer than that the new ones are there.
    seconds = fleet.run(9.0, until=lambda: all_know_their_zones(fleet))
    assert seconds is not None
    check_bounds(fleet, seconds, additional=DIGESTS_AT_SEED * len(joining))


def test_log_of_hundreds_that_join_and_are_lost_is_bounded(caplog):
    # Guards against a line for each member: 41 at each of 195 instances in 5 s.
    caplog.set_level(INFO)
    fleet = LargeFleet(*SIX_ZONES, loss=0.02)
    fleet.run(5.0)
    lines = [record.getMessage() for record in caplog.records]
    assert 198 <= len(lines) <= 6 * 198
    assert max(map(len, lines)) < 250
    caplog.clear()
    fleet.off |= {node.host for node in fleet.running("zone-0")[:16]}
    fleet.run(8.0)
    # Seventeen are left there, each with at most half a line for each of the sixteen:
    # heartbeats stop arriving at different times.
    assert 17 <= len(caplog.records) <= 8 * 17
