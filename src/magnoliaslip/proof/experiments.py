"""The two experiments that compare the placement policies."""

from collections import Counter, defaultdict
from math import floor

from msgspec import Struct

from magnoliaslip.lab.workload import WorkloadConfig
from magnoliaslip.placement.hashing import name_hash
from magnoliaslip.proof.change_rules import SlowStart
from magnoliaslip.proof.checker import Checker
from magnoliaslip.proof.facts import Facts
from magnoliaslip.proof.faults import ColdStart
from magnoliaslip.proof.history import History
from magnoliaslip.proof.steps import (
    InstanceStop,
    PoolChange,
    ServerDrain,
    ServerStart,
)
from magnoliaslip.proof.world import World, WorldConfig, run_world

# Long processing times, about 0.45 s per request, give a high load from few requests.
PROCESSING_TIME_FACTOR = 20.0
SESSIONS_PER_S = {"karaganda": 26.0, "sicily": 12.0}  # uses about 0.6 of all slots
ROLLING_LENGTH_S = 70.0
ZONE_OUT_AT_S = 15.0
ZONE_IN_AT_S = 30.0
ZONE_LENGTH_S = 70.0
ZONE = "b"


class RollingMeasures(Struct, frozen=True):
    """Results of planned changes and one killed instance under load.

    Attributes:
        flows: Established flows.
        broken_per_million: Flows broken in violation of rule 1, per million.
        second_hop_share: Share of packets that one instance relayed to another.
        control_bytes_s: Mean control bytes per second and instance.
        records_per_flow: Flow records in the whole fleet per open flow.
        max_over_mean: Highest ratio, over all services, of the requests that one server
            ran to the mean over the servers of its service.
        failed_rules: Names of the violated rules.
    """

    flows: int
    broken_per_million: float
    second_hop_share: float
    control_bytes_s: float
    records_per_flow: float
    max_over_mean: float
    failed_rules: tuple[str, ...]


class ZoneSecond(Struct, frozen=True):
    """One second of the experiment in which a zone is taken out and put back.

    Attributes:
        t: Seconds since the publication that took the zone out.
        offered: Requests that callers sent or tried to send.
        served: Requests that were answered completely.
        slots: Total capacity, in slots, of the servers in the zones in service.
    """

    t: int
    offered: int
    served: int
    slots: int


class ZoneMeasures(Struct, frozen=True):
    """Results of taking a zone out and putting it back with cold servers.

    Attributes:
        last_packet_s: Seconds from the publication to the last packet to the zone.
        broken_outside: Flows broken in violation of rule 1, which exempts flows of the
            zone.
        overloads: Violations of rule 3 after the zone was put back.
        shed: Requests that servers shed, in the whole experiment.
        failed_rules: Names of the violated rules.
        seconds: Measures of each second.
    """

    last_packet_s: float
    broken_outside: int
    overloads: int
    shed: int
    failed_rules: tuple[str, ...]
    seconds: tuple[ZoneSecond, ...]


def base_config(
    deployment: str, policy: str, seed: int, length_s: float
) -> WorldConfig:
    """Return the world's configuration; all policies share workload and seed."""
    sizes = {"karaganda": (7, 4), "sicily": (7, 3)}[deployment]
    names = {"karaganda": ("kit-desk", "spawn-lab"), "sicily": ("rota", "archivio")}
    return WorldConfig(
        deployment=deployment,
        seed=name_hash(f"{seed}/{deployment}"),
        policy=policy,
        length_s=length_s,
        processing_time_factor=PROCESSING_TIME_FACTOR,
        workload=WorkloadConfig(
            sessions_per_s=SESSIONS_PER_S[deployment],
            requests=(1, 3),
            think_s=(0.2, 2.0),
            feed_s=(5.0, 25.0),
            timeout_s=10.0,
            weights=dict(zip(names[deployment], map(float, sizes), strict=True)),
        ),
    )


def run_rolling(deployment: str, policy: str, seed: int) -> RollingMeasures:
    """Add and drain servers, and stop, kill and restart instances, under load."""
    cfg = ServerStart.prepare(base_config(deployment, policy, seed, ROLLING_LENGTH_S))
    flow_record_counts: list[int] = []

    def schedule(world: World) -> None:
        rng = world.rng("experiment")
        at = world.loop.call_later
        at(12.0, PoolChange(world, rng).run)
        at(24.0, InstanceStop(world, rng).run)
        at(32.0, ServerDrain(world, rng).run)
        at(40.0, world.kill_instance, "i4")
        at(46.0, world.start_instance, "i4")
        at(54.0, InstanceStop(world, rng).run)
        for second in range(20, int(ROLLING_LENGTH_S), 10):
            at(second, _append_flow_record_count, world, flow_record_counts)

    world, history = run_world(cfg, schedule)
    verdict = Checker().check(history)
    phases = Counter(record["phase"] for record in history.of("call"))
    packets = len(history.of("forward")) + len(history.of("answer"))
    relayed_packets = sum(record["hops"] == 1 for record in history.of("relay"))
    open_flows = sum(
        _count_open_flows(history, t) for t in range(20, int(ROLLING_LENGTH_S), 10)
    )
    instances = len(world.deployment.instances())
    return RollingMeasures(
        flows=phases["established"],
        broken_per_million=1e6
        * len(verdict.violations["R1"])
        / max(1, phases["established"]),
        second_hop_share=relayed_packets / max(1, packets),
        control_bytes_s=sum(world.control_bytes.values())
        / instances
        / ROLLING_LENGTH_S,
        records_per_flow=sum(flow_record_counts) / max(1, open_flows),
        max_over_mean=_max_over_mean(history),
        failed_rules=verdict.failed,
    )


def run_zone(deployment: str, policy: str, seed: int) -> ZoneMeasures:
    """Take a zone out, and put it back with cold servers."""
    cfg = base_config(deployment, policy, seed, ZONE_LENGTH_S)

    def schedule(world: World) -> None:
        at = world.loop.call_later
        at(ZONE_OUT_AT_S, _publish_zone, world, True)
        at(ZONE_IN_AT_S, _return_zone_cold, world)

    world, history = run_world(cfg, schedule)
    verdict = Checker().check(history)
    zone_packets = [
        record.t
        for record in history.of("forward")
        if record["zone"] == ZONE and ZONE_OUT_AT_S <= record.t < ZONE_IN_AT_S
    ]
    overloads = [
        found for found in SlowStart().check(Facts(history)) if found.t >= ZONE_IN_AT_S
    ]
    return ZoneMeasures(
        last_packet_s=max(zone_packets, default=ZONE_OUT_AT_S) - ZONE_OUT_AT_S,
        broken_outside=len(verdict.violations["R1"]),
        overloads=len(overloads),
        shed=sum(record["phase"] == "shed" for record in history.of("request")),
        failed_rules=verdict.failed,
        seconds=_zone_seconds(history, world),
    )


def _publish_zone(world: World, out: bool) -> None:
    if out:
        world.tables.zones_out.add(ZONE)
    else:
        world.tables.zones_out.discard(ZONE)
    world.publish("zones")


def _return_zone_cold(world: World) -> None:
    """Restart the servers of the zone, as after a power-off, and put the zone back."""
    for name in world.servers:
        if world.network.zone_of(name) == ZONE:
            restart = ColdStart(world, world.rng("experiment"))
            restart.target = name
            restart.inject()
            world.record_fault(restart.name, name, "begin")
    _publish_zone(world, False)


def _append_flow_record_count(world: World, flow_record_counts: list[int]) -> None:
    flow_record_counts.append(
        sum(
            instance.node.router.flow_records_held
            for instance in world.instances.values()
            if not instance.process.ended
        )
    )


def _count_open_flows(history: History, t: float) -> int:
    """Return the number of established flows that are open at a time."""
    state: dict[str, bool] = {}
    for record in history.of("call"):
        if record.t > t:
            break
        if record["phase"] == "established":
            state[record["flow"]] = True
        elif record["phase"] in ("closed", "reset", "timeout"):
            state[record["flow"]] = False
    return sum(state.values())


def _max_over_mean(history: History) -> float:
    """Return the highest ratio of a server's requests to the mean of its service.

    Servers that start, restart, drain or stop during the run are left out.
    """
    changed_servers = {r["server"] for r in history.of("server_state") if r.t > 1.0}
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for record in history.of("server_state"):
        if record["server"] not in changed_servers:
            counts[record["service"]][record["server"]] += 0
    for record in history.of("request"):
        if record["phase"] == "start" and record["server"] not in changed_servers:
            counts[record["service"]][record["server"]] += 1
    ratios = [max(c.values()) * len(c) / max(1, c.total()) for c in counts.values()]
    return max(ratios, default=0.0)


def _zone_seconds(history: History, world: World) -> tuple[ZoneSecond, ...]:
    offered: Counter[int] = Counter()
    served: Counter[int] = Counter()
    requested: set[str] = set()
    for record in history.of("call"):
        second = floor(record.t - ZONE_OUT_AT_S)
        request = record["request"]
        if record["phase"] in ("open", "sent") and request and request not in requested:
            requested.add(request)
            offered[second] += 1
        elif record["phase"] == "answered" and record["complete"]:
            served[second] += 1
    times = range(-3, int(ZONE_LENGTH_S - ZONE_OUT_AT_S))
    return tuple(
        ZoneSecond(t, offered[t], served[t], _available_slots(history, world, t))
        for t in times
    )


def _available_slots(history: History, world: World, second: int) -> int:
    t = ZONE_OUT_AT_S + second + 0.5
    slots_by_server: dict[str, int] = {}
    for record in history.of("server_state"):
        if record.t <= t:
            slots_by_server[record["server"]] = record["bears"]
    out = ZONE_OUT_AT_S <= t < ZONE_IN_AT_S
    return sum(
        slots
        for server, slots in slots_by_server.items()
        if not (out and world.network.zone_of(server) == ZONE)
    )
