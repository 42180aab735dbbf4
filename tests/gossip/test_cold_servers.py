"""Guards against cold servers that get more new flows than they can handle.

Each instance takes its share of the rate that a service states; the shares of all have
to stay below the whole, whatever the instances know of each other.
"""

import pytest

from magnoliaslip.steering.warmup import WarmUpBudget
from tests.gossip.fleet import LargeFleet

RATE_PER_S = 40.0  # new flows per second that a cold server can handle


def placements(fleet, seconds):
    """Return how many flows all instances place on one cold server.

    Each instance has flows waiting all the time.
    """
    budgets = {node: WarmUpBudget(fleet.clock.monotonic()) for node in fleet.running()}
    count = 0
    end = fleet.clock.monotonic() + seconds
    while fleet.clock.monotonic() < end:
        fleet.step()
        now = fleet.clock.monotonic()
        for node in fleet.running():
            budget = budgets.setdefault(node, WarmUpBudget(now))
            if budget.available(now, RATE_PER_S * node.exchange.cold_share()):
                budget.consume()
                count += 1
    return count


@pytest.mark.parametrize("zones", [(5,) * 6, (33,) * 6, (4, 3)])
def test_hundreds_that_start_at_once_keep_the_rate_of_a_cold_server(zones):
    fleet = LargeFleet(*zones, loss=0.02)
    assert placements(fleet, 4.0) <= RATE_PER_S * 4.0
    placed = placements(fleet, 6.0)
    # Tokens of many instances become whole at different times.
    assert 0.5 * RATE_PER_S * 6.0 < placed <= 1.1 * RATE_PER_S * 6.0


def test_instances_that_join_keep_the_rate_of_a_cold_server():
    fleet = LargeFleet(*(33,) * 6, loss=0.02)
    fleet.run(8.0)
    for zone in range(6):
        fleet.add(zone, 11)
    assert placements(fleet, 8.0) <= 1.1 * RATE_PER_S * 8.0


def test_shares_of_all_are_at_most_the_whole_while_a_third_is_added():
    # Guards against summaries of zones by instances that have just started, which
    # make the fleet look smaller to those that know it.
    fleet = LargeFleet(*(33,) * 6, loss=0.02)
    fleet.run(8.0)
    for zone in range(6):
        fleet.add(zone, 11)
    for _ in range(120):
        fleet.step()
        assert sum(node.exchange.cold_share() for node in fleet.running()) < 1.1


def test_cut_off_zone_keeps_the_rate_of_a_cold_server():
    fleet = LargeFleet(*(16,) * 6, loss=0.02)
    fleet.run(8.0)
    fleet.cut = {fleet.zones[0]}
    assert placements(fleet, 8.0) <= 1.1 * RATE_PER_S * 8.0
    fleet.cut = set()
    assert placements(fleet, 4.0) <= 1.1 * RATE_PER_S * 4.0
