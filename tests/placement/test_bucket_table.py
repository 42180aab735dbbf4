from collections import Counter

from magnoliaslip.placement.bucket_table import NO_SERVER, BucketTable, server_seed


def seeds(names):
    return {number: server_seed("rota", name) for number, name in enumerate(names)}


def winners(table, names, count=3000):
    return [names[table.winner(bucket)] for bucket in range(count)]


def test_winners_do_not_depend_on_server_numbers():
    # Guards against different defaults on instances that registered the servers in
    # another order.
    names = [f"s{n}" for n in range(9)]
    backwards = names[::-1]
    one = winners(BucketTable(seeds(names)), names)
    assert one == winners(BucketTable(seeds(backwards)), backwards)


def test_table_with_parent_equals_table_built_from_scratch():
    # Guards against defaults that depend on the pool versions applied before.
    names = [f"s{n}" for n in range(12)]
    all_seeds = seeds(names)
    old = {number: seed for number, seed in all_seeds.items() if number < 9}
    new = {number: seed for number, seed in all_seeds.items() if number not in (2, 5)}
    parent = BucketTable(old)
    for bucket in range(0, 3000, 2):
        parent.winner(bucket)
    child = BucketTable(new, parent=parent)
    assert winners(child, names) == winners(BucketTable(new), names)


def test_added_server_moves_only_its_share():
    # Guards against a pool change that moves flows between the remaining servers.
    names = [f"s{n}" for n in range(8)]
    before = winners(BucketTable(seeds(names[:7])), names)
    after = winners(BucketTable(seeds(names)), names)
    moved = [new for old, new in zip(before, after, strict=True) if old != new]
    assert set(moved) == {"s7"}
    assert 0.8 / 8 < len(moved) / 3000 < 1.2 / 8
    assert max(Counter(after).values()) < 1.3 * 3000 / 8


def test_empty_pool_has_no_winner():
    # Guards against an index error when every server of a pool is draining.
    parent = BucketTable(seeds(["s1"]))
    assert parent.winner(5) == 0
    assert BucketTable({}, parent=parent).winner(5) == NO_SERVER
