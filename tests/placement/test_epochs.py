from magnoliaslip.placement.epochs import MAX_EPOCHS, NOT_DIRECT, EpochHistory
from magnoliaslip.placement.servers import ServerTable
from tests.placement.fleet import make_pool

BUCKETS = range(400)


def make_history(*epochs, window_s=100.0, grace_s=10.0):
    history = EpochHistory(
        ServerTable("rota"),
        window_s=window_s,
        grace_s=grace_s,
    )
    for version, (since, pool, out) in enumerate(epochs, start=1):
        history.append(version, since, pool.servers, frozenset(out))
    return history


def zone(history, number):
    return history._servers[number].zone


def test_returning_zone_keeps_the_base_defaults():
    # Guards against an exception for every flow when a zone goes out, and against a
    # returning zone whose former defaults attract flows placed while it was out.
    pool = make_pool(7)
    history = make_history((0, pool, ""), (10, pool, "b"))
    for bucket in BUCKETS:
        assert history.base_default(bucket) == history.current_default(bucket)
        assert zone(history, history.base_default(bucket)) != "b"
    history.append(3, 20, pool.servers, frozenset())
    returned = 0
    for bucket in BUCKETS:
        assert zone(history, history.base_default(bucket)) != "b"
        if history.base_default(bucket) != history.current_default(bucket):
            assert zone(history, history.current_default(bucket)) == "b"
            assert history.direct_default(bucket) == NOT_DIRECT
            returned += 1
    assert returned


def test_base_advances_for_owners_first():
    # Guards against direct forwarding on a new base before owners have turned the
    # flows of the old base into exceptions.
    history = make_history((0, make_pool(7), ""), (50, make_pool(8), ""))
    assert history.due_base(149) == 0
    assert history.due_base(150) == 1
    history.advance_owner(1)
    assert not history.advance_direct(159.9)
    changed = [b for b in BUCKETS if history.direct_default(b) == NOT_DIRECT]
    assert changed
    assert history.advance_direct(160)
    assert all(history.direct_default(b) != NOT_DIRECT for b in changed)
    assert len(history.epochs) == 1


def test_is_default_requires_the_base_of_every_member():
    # Guards against a placement without an exception when a member with an older
    # configuration, or with another base, would choose another server.
    pool = make_pool(7)
    history = make_history((0, pool, ""), (10, pool, "b"))
    moved = next(
        bucket
        for bucket in BUCKETS
        if history.epochs[0].table.winner(bucket) != history.base_default(bucket)
    )
    server = history.base_default(moved)
    assert history.is_default(moved, server)
    history.set_member_versions({(1, 1)})
    assert not history.is_default(moved, server)
    history.set_member_versions({(2, 1)})
    assert history.is_default(moved, server)


def test_unknown_base_of_a_member_disables_direct_forwarding():
    # Guards against direct forwarding by an instance whose history is too short to
    # contain the base that its peers use.
    history = EpochHistory(ServerTable("rota"))
    history.append(5, 0.0, make_pool(7).servers, frozenset())
    assert history.direct_default(1) != NOT_DIRECT
    assert history.set_member_versions({(6, 3)})
    assert history.direct_default(1) == NOT_DIRECT
    assert not history.is_default(1, history.base_default(1))


def test_memory_stays_bounded_over_many_changes():
    # Guards against memory use that grows with each pool change.
    history = make_history((0, make_pool(7), ""), window_s=1e6)
    for number in range(200):
        history.append(
            number + 2, number, make_pool(7 + number % 2).servers, frozenset()
        )
        history.advance_owner(history.due_base(number))
        history.advance_direct(number)
    assert len(history.epochs) <= 2 * MAX_EPOCHS + 1
    tables = sum(epoch.table._winners is not None for epoch in history.epochs)
    assert tables <= 4
