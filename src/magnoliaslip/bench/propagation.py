"""Time to propagate changes and to start instances, and platform reads."""

from concurrent.futures import ThreadPoolExecutor
from logging import CRITICAL, disable

from anyio import sleep

from magnoliaslip.bench.child import call_in_child
from magnoliaslip.bench.report import Figure
from magnoliaslip.bench.sim_fleet import SimFleet, run_fleet
from magnoliaslip.bench.tables import PublishedTables
from magnoliaslip.proof.network import LinkQuality

# Members, zones, repetitions. All members exchange heartbeats with all others, which
# limits the size of a fleet that can be simulated.
FLEETS = ((7, 4, 5), (20, 4, 3), (32, 4, 2))
LOSSY_LINK = LinkQuality(
    jitter_s=0.02, loss=0.03, duplicate=0.01, control_fault_rate=0.02
)
WARM_UP_S = 5.0
CHANGE_COUNT = 8
PARTITION_S = 5.0
WAIT_LIMIT_S = 40.0
# Starts are measured for one instance, a rack of 2 and a zone of 4 (16 in 4 zones).
START_FLEET = 16
START_ZONES = 4
RACK_SIZE = 2
START_SERVERS = 1_000
READS_FLEET = (20, 4)  # instances, zones
READS_WINDOW_S = 60.0
REPETITIONS = 3
PARALLEL_CHILDREN = 4


def measure_change_propagation(instances: int, zones: int, seed: int) -> list[float]:
    """Publish changes to a fleet with lossy links.

    Returns:
        The longest time in seconds for a change to reach all instances; the time to
        reach all instances outside a partitioned zone; and the time to reach that
        zone's instances after the partition heals.
    """
    disable(CRITICAL)
    tables = PublishedTables(110, zones=zones)

    async def scenario(fleet: SimFleet) -> list[float]:
        instance_ids = list(fleet.entries)
        fleet.network.set_quality(LOSSY_LINK)
        fleet.start(instance_ids)
        await sleep(WARM_UP_S)
        longest_s = 0.0
        for _ in range(CHANGE_COUNT):
            await sleep(fleet.rng.uniform(0, 1))
            fleet.publish("pools/0")
            longest_s = max(
                longest_s,
                await fleet.wait_until(
                    lambda: fleet.has_newest_version(instance_ids), WAIT_LIMIT_S
                ),
            )
        inside = [n for n in instance_ids if fleet.entries[n].zone == tables.zones[0]]
        outside = [n for n in instance_ids if n not in inside]
        fleet.network.partition_zone(tables.zones[0])
        await sleep(fleet.rng.uniform(0, 1))
        fleet.publish("pools/0")
        outside_s = await fleet.wait_until(
            lambda: fleet.has_newest_version(outside), WAIT_LIMIT_S
        )
        await sleep(PARTITION_S)
        fleet.network.heal_zone(tables.zones[0])
        return [
            longest_s,
            outside_s,
            await fleet.wait_until(
                lambda: fleet.has_newest_version(inside), WAIT_LIMIT_S
            ),
        ]

    return run_fleet(scenario, instances=instances, tables=tables, seed=seed)


def measure_instance_start(count: int, platform_up: bool, seed: int) -> list[float]:
    """Start instances simultaneously in a running fleet.

    Args:
        count: Instances to start; the size of a zone starts the whole zone.
        platform_up: Whether the platform answers.
        seed: Seed of all random choices.

    Returns:
        Seconds until all are serving; control bytes of the whole fleet in that time,
        less those of an equally long time in steady state, per started instance;
        platform reads of the whole fleet in that time, per started instance.
    """
    disable(CRITICAL)
    tables = PublishedTables(START_SERVERS, zones=START_ZONES)

    async def scenario(fleet: SimFleet) -> list[float]:
        instance_ids = list(fleet.entries)
        in_zone = [n for n in instance_ids if fleet.entries[n].zone == tables.zones[1]]
        starting = in_zone[:count]
        running = [n for n in instance_ids if n not in starting]
        fleet.start(running)
        await sleep(WARM_UP_S)
        fleet.platform.down = not platform_up
        sent_before, reads_before = (
            fleet.control_bytes.copy(),
            fleet.platform.reads.total(),
        )
        fleet.start(starting)
        seconds = await fleet.wait_until(
            lambda: fleet.all_serving(starting), WAIT_LIMIT_S
        )
        start_bytes = fleet.control_bytes.total() - sent_before.total()
        reads = fleet.platform.reads.total() - reads_before
        before = fleet.control_bytes.total()
        await sleep(seconds)
        steady_bytes = fleet.control_bytes.total() - before
        return [seconds, (start_bytes - steady_bytes) / count, reads / count]

    return run_fleet(scenario, instances=START_FLEET, tables=tables, seed=seed)


def measure_cold_fleet(instances: int, seed: int) -> list[float]:
    """Start a whole fleet; return seconds until serving and reads per instance."""
    disable(CRITICAL)
    tables = PublishedTables(START_SERVERS, zones=START_ZONES)

    async def scenario(fleet: SimFleet) -> list[float]:
        instance_ids = list(fleet.entries)
        fleet.start(instance_ids)
        seconds = await fleet.wait_until(
            lambda: fleet.all_serving(instance_ids), WAIT_LIMIT_S
        )
        return [seconds, fleet.platform.reads.total() / instances]

    return run_fleet(scenario, instances=instances, tables=tables, seed=seed)


def measure_reads(instances: int, zones: int, seed: int) -> float:
    """Return platform reads per second while nothing changes."""
    disable(CRITICAL)
    tables = PublishedTables(110, zones=zones)

    async def scenario(fleet: SimFleet) -> float:
        fleet.start(list(fleet.entries))
        await sleep(WARM_UP_S)
        before = fleet.platform.reads.total()
        await sleep(READS_WINDOW_S)
        return (fleet.platform.reads.total() - before) / READS_WINDOW_S

    return run_fleet(scenario, instances=instances, tables=tables, seed=seed)


def measure_propagation() -> list[Figure]:
    """Measure propagation of changes, starts and platform reads."""
    with ThreadPoolExecutor(PARALLEL_CHILDREN) as pool:

        def submit_runs(
            name: str, *args: float, repetitions: int = REPETITIONS
        ) -> list:
            return [
                pool.submit(call_in_child, __name__, name, *args, seed)
                for seed in range(repetitions)
            ]

        reads = {
            case: submit_runs("measure_reads", *case, repetitions=2)
            for case in (READS_FLEET, (7, 4))
        }
        propagation = {
            size: submit_runs(
                "measure_change_propagation", size, zones, repetitions=repetitions
            )
            for size, zones, repetitions in reversed(FLEETS)
        }
        starts = {
            (name, up): submit_runs("measure_instance_start", count, up)
            for name, count in (
                ("one", 1),
                ("rack", RACK_SIZE),
                ("zone", START_FLEET // START_ZONES),
            )
            for up in (True, False)
        }
        cold_fleets = submit_runs("measure_cold_fleet", START_FLEET)
        figures = []

        def add(name: str, runs: list, *columns: tuple[str, str]) -> None:
            rows = [run.result() for run in runs]
            for n, (column, unit) in enumerate(columns):
                values = [row[n] for row in rows]
                figures.append(Figure.of(f"{name}/{column}", values, unit))

        for size, runs in sorted(propagation.items()):
            add(
                f"news/{size}",
                runs,
                ("all", "s, worst of 8 changes"),
                ("outside_cut_zone", "s"),
                ("cut_zone_after_heal", "s"),
            )
        for (name, up), runs in starts.items():
            add(
                f"start/{name}/platform_{'up' if up else 'down'}",
                runs,
                ("ready", "s"),
                ("bytes", "B/instance"),
                ("reads", "reads/instance"),
            )
        add(
            f"start/fleet_of_{START_FLEET}",
            cold_fleets,
            ("ready", "s"),
            ("reads", "reads/instance"),
        )
        for (size, zones), runs in reads.items():
            values = [run.result() for run in runs]
            figures.append(
                Figure.of(f"reads/{size}_in_{zones}_zones", values, "reads/s")
            )
        return figures
