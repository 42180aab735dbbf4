from hypothesis import given
from hypothesis import strategies as st

from magnoliaslip.core.group import GroupView, Member
from magnoliaslip.placement.load import LoadTracker, scaled_budget
from tests.placement.fleet import make_pool

SERVER = make_pool(1, slots=4).servers[0]


def make_view(reachable, unreachable):
    return GroupView(1, {n: Member(n, "a") for n in reachable}, frozenset(unreachable))


@given(st.integers(0, 40), st.integers(1, 12), st.data())
def test_sides_of_a_partition_stay_within_the_budget(budget, size, data):
    # Guards against two sides that each use the whole budget of a cold server.
    names = [f"i{n}" for n in range(size)]
    side = [name for name in names if data.draw(st.booleans())]
    other = [name for name in names if name not in side]
    both = scaled_budget(budget, make_view(side, other))
    both += scaled_budget(budget, make_view(other, side))
    assert both <= budget


@given(st.integers(0, 100), st.integers(0, 2**64), st.sampled_from([1, 2, 8, 256]))
def test_slice_shares_add_up_to_the_budget(budget, seed, slices):
    # Guards against owners whose shares exceed the budget, or leave some of it unused.
    tracker = LoadTracker("rota", slow_start_s=30.0)
    parts = [tracker.budget_share(budget, seed, slices, [n]) for n in range(slices)]
    assert sum(parts) == budget
    assert max(parts) - min(parts) <= 1


def test_cold_server_ramps_up_and_old_flows_stop_counting():
    # Guards against a cold server that gets its full load at once, and against flows
    # that are counted forever.
    tracker = LoadTracker("rota", slow_start_s=30.0)
    view = make_view(["i1"], [])
    assert tracker.begin_slow_start(0, 100.0)
    assert not tracker.begin_slow_start(0, 100.5)
    assert [tracker.budget(SERVER, 0, view, 100.0 + t) for t in (0, 15, 29)] == [
        1,
        2,
        4,
    ]
    tracker.add_flow(0, b"k1", 100.0)
    assert tracker.own_in_flight(0, 104.9) == 1
    assert tracker.own_in_flight(0, 105.1) == 0
    assert not tracker.is_cold(0, 130.0)
    tracker.add_flow(0, b"k2", 130.0)
    assert tracker.own_in_flight(0, 130.9) == 1
    assert tracker.own_in_flight(0, 131.1) == 0
    tracker.add_flow(0, b"k3", 132.0)
    tracker.remove_flow(0, b"k3")
    assert tracker.own_in_flight(0, 132.0) == 0


def test_reports_expire():
    # Guards against a server that stays full because of the report of a failed owner.
    tracker = LoadTracker("rota", slow_start_s=30.0)
    tracker.apply_report("i2", 0, 3, 10.0)
    assert tracker.in_flight(SERVER, 0, 12.9) == 3
    assert tracker.in_flight(SERVER, 0, 13.1) == 0
    assert tracker.reported(0, 14.0, max_age_s=5.0) == 3
    assert tracker.reported(0, 15.1, max_age_s=5.0) == 0
