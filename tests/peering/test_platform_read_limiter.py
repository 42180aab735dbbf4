from collections import Counter
from random import Random

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.group import InstanceEntry
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.platform_read_limiter import PlatformReadLimiter

FLEET = 12_000
ZONES = 31


def entry(number):
    address = Address("10.0.0.1", 7000)
    return InstanceEntry(f"i{number}", f"z{number % ZONES}", address, address)


def build(membership, clock, seed, **options):
    return PlatformReadLimiter(
        membership, clock=clock, rng=Random(seed), metrics=Metrics(), **options
    )


def test_fleet_of_12000_stays_below_2000_reads_a_second():
    # Guards against an overload of the platform when all instances read at their
    # maximum rate, as after an outage.
    clock = ManualClock(start=1000.0)
    membership = Membership("i0", "z0", 1, clock=clock)
    membership.apply_list([entry(number) for number in range(FLEET)], 1)
    reads = Counter()
    for number in range(FLEET):
        read_limiter = build(membership, clock, number)
        watcher = number < 2 * ZONES
        while (start := read_limiter.reserve(watcher=watcher)) < 1060:
            reads[int(start)] += 1
    assert max(reads.values()) < 2000
    assert min(reads.values()) > 1500  # the limit is used


def test_expected_fleet_size_counts_before_the_first_list():
    # Guards against a burst of reads when the whole fleet starts without a list.
    clock = ManualClock()
    membership = Membership("i0", "z0", 1, clock=clock)
    read_limiter = build(membership, clock, 1, fleet_size=FLEET)
    assert read_limiter.interval(watcher=False) == FLEET / 800
    assert build(membership, clock, 1).interval(watcher=False) < 0.002
