"""CPU time and control traffic per instance of a fleet simulated in virtual time."""

from concurrent.futures import ThreadPoolExecutor
from logging import CRITICAL, disable
from time import process_time

from anyio import sleep

from magnoliaslip.bench.child import call_in_child
from magnoliaslip.bench.echo_peers import EchoPeer
from magnoliaslip.bench.flow_workload import FlowWorkload
from magnoliaslip.bench.report import Figure
from magnoliaslip.bench.sim_fleet import SimFleet, run_fleet
from magnoliaslip.bench.tables import PublishedTables

# Until all have started or applied a change, and their views are stable.
WARM_UP_S = 4.0
# Members and repetitions. All members exchange heartbeats with all others, so the cost
# of a whole fleet grows with the fourth power of its members. Larger groups are
# therefore measured as echo groups: one instance, whose peers are all echo peers.
WHOLE_FLEETS = ((7, 3), (16, 2), (30, 2))
ECHO_GROUPS = ((7, 3), (50, 3), (100, 2), (200, 2))
STEADY_WINDOW_S = 4.0
# Changes per second and number of backend servers.
CHANGE_CASES = ((0.5, 110), (2.0, 110), (0.5, 1_000), (0.5, 10_000))
SMALL_FLEET = 7
# New flows per second and instance, and servers to add for each share of exceptions.
# Adding `a` servers to `b` servers moves a / (a + b) of the buckets, and new flows in
# the moved buckets are exceptions.
FLOW_RATES = (50.0, 200.0)
ADDED_SERVERS = {0.0: 0, 0.125: 1, 0.5: 7}
FLOW_SERVERS = 7
FLOW_WARM_UP_S = 3.0
FLOW_WINDOW_S = 5.0
REPETITIONS = 2
PARALLEL_CHILDREN = 3


def measure_fleet(members: int, seed: int) -> list[float]:
    """Measure a fleet without flows.

    Returns:
        CPU seconds per second and control bytes sent per second, each per instance.
    """
    disable(CRITICAL)

    async def scenario(fleet: SimFleet) -> list[float]:
        fleet.start(list(fleet.entries))
        await sleep(WARM_UP_S)
        return await _measure_window(fleet, STEADY_WINDOW_S)

    tables = PublishedTables(110, zones=4)
    return run_fleet(scenario, instances=members, tables=tables, seed=seed)


def measure_echo_group(members: int, seed: int) -> list[float]:
    """Measure as `measure_fleet` does, for one instance among echo peers.

    The CPU time of the echo peers is included.
    """
    disable(CRITICAL)

    async def scenario(fleet: SimFleet) -> list[float]:
        real, *others = fleet.entries
        fleet.start([real])
        for peer_id in others:
            EchoPeer(peer_id, fleet, real)
        await sleep(WARM_UP_S)
        return await _measure_window(fleet, STEADY_WINDOW_S)

    tables = PublishedTables(110, zones=4)
    return run_fleet(scenario, instances=members, tables=tables, seed=seed)


def measure_changes(rate: float, servers: int, seed: int) -> list[float]:
    """Measure as `measure_fleet` does, while the configuration changes.

    Args:
        rate: Changes of one backend server each, per second.
        servers: Total number of backend servers.
        seed: Seed of all random choices.
    """
    disable(CRITICAL)

    async def scenario(fleet: SimFleet) -> list[float]:
        fleet.start(list(fleet.entries))
        await sleep(WARM_UP_S)
        count = int(10 * rate)
        for n in range(count):
            fleet.loop.call_later(n / rate, fleet.publish, "pools/0")
        return await _measure_window(fleet, count / rate)

    tables = PublishedTables(servers, zones=4)
    return run_fleet(scenario, instances=SMALL_FLEET, tables=tables, seed=seed)


def measure_flows(rate: float, added: int, seed: int) -> list[float]:
    """Measure a fleet with new flows.

    Args:
        rate: New flows per second and instance.
        added: Backend servers to add before the first flow.
        seed: Seed of all random choices.

    Returns:
        Control bytes sent per second and instance, and the share of accepted flows.
    """
    disable(CRITICAL)
    tables = PublishedTables(FLOW_SERVERS, zones=4)

    async def scenario(fleet: SimFleet) -> list[float]:
        instance_ids = list(fleet.entries)
        fleet.start(instance_ids)
        await fleet.wait_until(lambda: fleet.all_serving(instance_ids), 10.0)
        if added:
            tables.add_servers(added)
            fleet.publish("pools/0")
        await sleep(WARM_UP_S)
        workload = FlowWorkload(fleet, rate * len(instance_ids))
        workload.start(FLOW_WARM_UP_S + FLOW_WINDOW_S)
        await sleep(FLOW_WARM_UP_S)
        _, bytes_per_s = await _measure_window(fleet, FLOW_WINDOW_S)
        return [bytes_per_s, workload.established / max(1, workload.syns_sent)]

    return run_fleet(scenario, instances=SMALL_FLEET, tables=tables, seed=seed)


async def _measure_window(fleet: SimFleet, window_s: float) -> list[float]:
    before = fleet.control_bytes.total()
    started = process_time()
    await sleep(window_s)
    instance_seconds = len(fleet.instances) * window_s
    cpu_s = process_time() - started
    return [
        cpu_s / instance_seconds,
        (fleet.control_bytes.total() - before) / instance_seconds,
    ]


def measure_control() -> list[Figure]:
    """Measure CPU time and control traffic by members, change rate and flow rate."""
    with ThreadPoolExecutor(PARALLEL_CHILDREN) as pool:

        def submit_runs(name: str, repetitions: int, *args: float) -> list:
            return [
                pool.submit(call_in_child, __name__, name, *args, seed)
                for seed in range(repetitions)
            ]

        # The longest runs start first.
        groups = {
            members: submit_runs("measure_echo_group", repetitions, members)
            for members, repetitions in reversed(ECHO_GROUPS)
        }
        fleets = {
            members: submit_runs("measure_fleet", repetitions, members)
            for members, repetitions in reversed(WHOLE_FLEETS)
        }
        changes = {
            case: submit_runs("measure_changes", REPETITIONS, *case)
            for case in CHANGE_CASES
        }
        flows = {
            (rate, share): submit_runs("measure_flows", REPETITIONS, rate, added)
            for rate in FLOW_RATES
            for share, added in ADDED_SERVERS.items()
        }
        figures = []
        for members, runs in sorted(groups.items()):
            figures += _cpu_and_bytes(f"control/members/{members}", runs)
        for members, runs in sorted(fleets.items()):
            figures += _cpu_and_bytes(f"control/whole_fleet/{members}", runs)
        for (rate, servers), runs in changes.items():
            figures += _cpu_and_bytes(
                f"control/changes/{rate:g}/s/{servers}_servers", runs
            )
        for (rate, share), runs in flows.items():
            name = f"control/flows/{rate:g}/s/{share:.1%}_exceptions"
            results = [run.result() for run in runs]
            figures.append(Figure.of(name, [r[0] for r in results], "B/s"))
            done = Figure.of(f"{name}/done", [r[1] for r in results], "of opened")
            figures.append(done)
        return figures


def _cpu_and_bytes(name: str, runs: list) -> list[Figure]:
    results = [run.result() for run in runs]
    return [
        Figure.of(f"{name}/cpu", [r[0] * 1e3 for r in results], "ms/s"),
        Figure.of(f"{name}/bytes", [r[1] for r in results], "B/s"),
    ]
