"""CPU time to choose the default server of a bucket, and the share of moved buckets."""

from random import Random
from time import process_time

from magnoliaslip.bench.report import Figure
from magnoliaslip.bench.routers import SEED
from magnoliaslip.placement.bucket_table import BUCKETS, BucketTable, server_seed

POOL_SIZES = (3, 110, 3500)
REPETITIONS = 3
# Number of buckets to measure by pool size; all buckets of the largest pool would take
# about a minute.
SAMPLE_SIZES = {3: BUCKETS, 110: 16_384, 3500: 2_048}


def pool_seeds(servers: int) -> dict[int, bytes]:
    """Return the seeds of the servers of a pool, by server number."""
    return {n: server_seed("service", f"server-{n}") for n in range(servers)}


def moved_share(before: BucketTable, after: BucketTable, buckets: list[int]) -> float:
    """Return the share of buckets whose server differs.

    >>> table = BucketTable(pool_seeds(3))
    >>> moved_share(table, BucketTable(pool_seeds(3)), [1, 2, 3])
    0.0
    """
    moved = sum(before.winner(b) != after.winner(b) for b in buckets)
    return moved / len(buckets)


def min_moved_share(servers: int, changed: int, *, added: bool) -> float:
    """Return the smallest share of buckets that a change of servers must move.

    Args:
        servers: Number of servers before the change.
        changed: Number of servers that are added or removed.
        added: Whether they are added.

    >>> min_moved_share(3, 1, added=True), min_moved_share(4, 1, added=False)
    (0.25, 0.25)
    """
    return changed / (servers + changed) if added else changed / servers


def changed_servers(servers: int) -> int:
    """Return how many servers a measured change adds or removes.

    It is one percent of a large pool, because a single server's share of the sampled
    buckets would be too small to measure.

    >>> changed_servers(3), changed_servers(3500)
    (1, 35)
    """
    return max(1, servers // 100)


def measure_default_choice() -> list[Figure]:
    """Measure choices, new tables and shares of moved buckets for each pool size.

    The shares are divided by the smallest possible ones.
    """
    figures = []
    rng = Random(SEED)
    for servers in POOL_SIZES:
        buckets = sorted(rng.sample(range(BUCKETS), SAMPLE_SIZES[servers]))
        figures += _measure_pool(servers, buckets)
    return figures


def _measure_pool(servers: int, buckets: list[int]) -> list[Figure]:
    first, repeated, build, after_add, after_remove = [], [], [], [], []
    share_added, share_removed = [], []
    changed = changed_servers(servers)
    for repetition in range(REPETITIONS):
        seeds = pool_seeds(servers)
        started = process_time()
        table = BucketTable(seeds)
        build.append((process_time() - started) * 1e3)
        first.append(_choice_us(table, buckets))
        repeated.append(_choice_us(table, buckets))
        more = dict(seeds)
        for n in range(changed):
            more[servers + n] = server_seed("service", f"added-{repetition}-{n}")
        grown = BucketTable(more, parent=table)
        after_add.append(_choice_us(grown, buckets))
        minimum = min_moved_share(servers, changed, added=True)
        share_added.append(moved_share(table, grown, buckets) / minimum)
        fewer = dict(seeds)
        for n in range(changed):
            del fewer[(repetition * changed + n) % servers]
        shrunk = BucketTable(fewer, parent=table)
        after_remove.append(_choice_us(shrunk, buckets))
        minimum = min_moved_share(servers, changed, added=False)
        share_removed.append(moved_share(table, shrunk, buckets) / minimum)
    all_buckets_s_per_choice_us = BUCKETS / 1e6
    all_buckets_s = [us * all_buckets_s_per_choice_us for us in first]
    return [
        Figure.of(f"default_cold/{servers}", first, "us/choice"),
        Figure.of(f"default_known/{servers}", repeated, "us/choice"),
        Figure.of(f"default_table/{servers}", build, "ms/epoch"),
        Figure.of(f"default_all_cold/{servers}", all_buckets_s, "s/65536 buckets"),
        Figure.of(f"default_after_add/{servers}", after_add, "us/choice"),
        Figure.of(f"default_after_remove/{servers}", after_remove, "us/choice"),
        Figure.of(f"default_moved_add/{servers}", share_added, "of least"),
        Figure.of(f"default_moved_remove/{servers}", share_removed, "of least"),
    ]


def _choice_us(table: BucketTable, buckets: list[int]) -> float:
    winner = table.winner
    started = process_time()
    for bucket in buckets:
        winner(bucket)
    return (process_time() - started) / len(buckets) * 1e6
