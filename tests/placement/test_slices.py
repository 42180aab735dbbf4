from magnoliaslip.core.group import GroupView, Member, MemberState
from magnoliaslip.placement.slices import (
    SliceMap,
    choose_holders,
    owning_members,
    slice_count,
)
from tests.placement.fleet import make_pool

MEMBERS = [Member(f"i{n}", "abcd"[n % 4]) for n in range(1, 8)]


def test_slice_count_follows_the_configured_slots():
    # Guards against so many owners of a small pool that together they place more
    # requests than the pool has slots.
    assert slice_count(make_pool(7, slots=4).servers) == 1
    assert slice_count(make_pool(9, slots=4).servers) == 2
    assert slice_count(make_pool(3500, slots=4).servers) == 256
    assert slice_count(make_pool(7, slots=0).servers) == 64


def test_each_zone_has_a_holder_and_the_next_owner_is_a_replica():
    # Guards against exceptions that are missing on one side of a zone partition, or at
    # the member that becomes the next owner.
    for number in range(64):
        holders = choose_holders("rota", number, MEMBERS)
        rest = [member for member in MEMBERS if member.id != holders.owner]
        next_owner = choose_holders("rota", number, rest).owner
        assert next_owner == holders.replicas[0]
        zones = {m.zone for m in MEMBERS if m.id in (holders.owner, *holders.replicas)}
        assert zones == set("abcd")
        assert len(holders.replicas) <= 4


def test_joining_leaving_and_excluded_members_own_no_slices():
    # Guards against new flows placed by a member that is not ready, or that is in a
    # zone that is out.
    members = {
        "i1": Member("i1", "a", MemberState.JOINING),
        "i2": Member("i2", "a", MemberState.LEAVING),
        "i3": Member("i3", "b"),
        "i4": Member("i4", "c"),
    }
    view = GroupView(1, members)
    assert [m.id for m in owning_members(view, frozenset("b"))] == ["i4"]


def test_ownership_time_starts_when_a_slice_is_gained():
    # Guards against a refusal by a new owner that lacks the flows of its slice.
    slices = SliceMap("rota", "i1")
    servers = make_pool(64).servers
    assert slices.update(servers, MEMBERS, 0.0) is not None
    assert slices.update(servers, MEMBERS, 1.0) is None
    owned = set(slices.owned)
    slices.update(servers, MEMBERS[:3], 10.0)
    for number in slices.owned:
        assert slices.has_settled(number, 3.5) == (number in owned)
        assert slices.has_settled(number, 13.5)
    assert set(slices.owned) > owned
    slices.restart_settling(20.0)
    assert not any(slices.has_settled(number, 22.0) for number in slices.owned)
