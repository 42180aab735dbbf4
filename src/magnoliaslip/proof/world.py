"""A simulated deployment in one process and in virtual time."""

from asyncio import get_running_loop
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from logging import CRITICAL, disable
from random import Random

from anyio import create_task_group, run, sleep_until
from anyio.abc import TaskGroup
from msgspec.json import encode

from magnoliaslip.config.settings import InstanceSettings
from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.core.address import Address
from magnoliaslip.core.group import InstanceEntry
from magnoliaslip.lab.backend import BackendServerModel
from magnoliaslip.lab.caller import CallerModel
from magnoliaslip.lab.deployment import DEPLOYMENTS, ServicePlan, Tables
from magnoliaslip.lab.workload import WorkloadConfig
from magnoliaslip.placement.hashing import name_hash
from magnoliaslip.proof.fabric import FABRIC_DETECTION_DELAY_S, Fabric
from magnoliaslip.proof.history import History, HistoryRecorder, Record
from magnoliaslip.proof.network import CALLERS, PLATFORM, Network
from magnoliaslip.proof.sim_hosts import ModelHost, SimInstance
from magnoliaslip.proof.sim_links import Receivers
from magnoliaslip.proof.sim_platform import SimPlatform
from magnoliaslip.proof.virtual_loop import (
    VirtualClock,
    VirtualEventLoop,
)

DATA_PORT = 7000
CONTROL_PORT = 7100
TUNNEL_PORT = 6080
EGRESS = Address("192.0.2.1", 6080)
PLATFORM_ADDRESS = Address("192.0.2.2", 8500)
INSTANCE_LIST_DELAY_S = 1.0  # until the platform updates its list of instances
CALLER_HOST = "203.0.113.7"
# A second address of the first service, which no route names at the start.
NEW_ROUTE_ADDRESS = Address("198.51.100.30", 443)

# Fewer sessions and shorter feeds than by default: the rules check flows and requests,
# and each segment costs CPU time.
DEFAULT_WORKLOAD = WorkloadConfig(
    sessions_per_s=8.0,
    requests=(1, 3),
    think_s=(0.2, 2.0),
    feed_s=(5.0, 15.0),
    timeout_s=10.0,
)


@dataclass(slots=True, frozen=True)
class WorldConfig:
    """The configuration of a simulated deployment.

    Attributes:
        deployment: ``karaganda`` or ``sicily``.
        seed: Seed of all random sources.
        policy: Placement policy of the instances.
        length_s: Duration of the run in virtual seconds.
        workload: Workload of each caller.
        workload_start_s: Start of the workload, in virtual seconds.
        absent_instances: Instances that do not start with the deployment.
        spare_server: Server of the first service that is neither started nor in a pool
            at the start; empty for none.
        processing_time_factor: Factor for the processing times of the backend servers.
    """

    deployment: str = "karaganda"
    seed: int = 1
    policy: str = "exceptions"
    length_s: float = 30.0
    workload: WorkloadConfig = field(default_factory=lambda: DEFAULT_WORKLOAD)
    workload_start_s: float = 2.0
    absent_instances: frozenset[str] = frozenset()
    spare_server: str = ""
    processing_time_factor: float = 1.0


class World:
    """A running deployment, which steps and faults change.

    Args:
        cfg: Configuration of the deployment.
        tasks: Task group that runs the instances.

    Attributes:
        instances: Latest process of each instance, by identifier.
        servers: Host of each started backend server, by name.
        pool_entries: Pool entry of each backend server, the spare one included, by
            service and name.
        tables: Tables to publish, with the current pool entries.
        control_bytes: Bytes of control messages sent, by instance.
    """

    def __init__(self, cfg: WorldConfig, tasks: TaskGroup) -> None:
        loop = get_running_loop()
        if not isinstance(loop, VirtualEventLoop):
            raise TypeError("World requires a VirtualEventLoop; use run_world()")
        self.cfg = cfg
        self.loop = loop
        self.deployment = DEPLOYMENTS[cfg.deployment]
        self.clock = VirtualClock(loop)
        self.records: list[Record] = []
        self.control_bytes: Counter[str] = Counter()
        self.network = Network(
            loop,
            self.rng("network"),
            zone_delay_s=self.deployment.zone_delay_s,
            caller_delay_s=self.deployment.caller_delay_s,
        )
        self.network.add(CALLERS)
        self.network.add(PLATFORM)
        self.fabric = Fabric(self.network, self.rng("fabric"))
        self.platform = SimPlatform(loop, self.rng("platform"))
        self.receivers = Receivers(self._deliver_to_caller)
        self.instances: dict[str, SimInstance] = {}
        self.servers: dict[str, ModelHost] = {}
        self.callers: list[ModelHost] = []
        self._callers_by_address: dict[bytes, ModelHost] = {}
        self._incarnations: Counter[str] = Counter()
        self._added_routes: list[dict[str, object]] = []
        self._tasks = tasks
        self._recorder = self.recorder("world")
        self._platform_recorder = self.recorder(PLATFORM)
        self._instance_entries = {
            name: InstanceEntry(
                name,
                zone,
                Address(f"127.1.0.{n + 1}", DATA_PORT),
                Address(f"127.1.0.{n + 1}", CONTROL_PORT),
            )
            for n, (name, zone) in enumerate(self.deployment.instances())
        }
        self.pool_entries = self._create_pool_entries()
        self.tables = Tables(
            self.deployment,
            {
                service.name: [
                    pool_entry
                    for pool_entry in self.pool_entries[service.name].values()
                    if pool_entry.name != cfg.spare_server
                ]
                for service in self.deployment.services
            },
        )
        self._listed_instances = {
            name: entry
            for name, entry in self._instance_entries.items()
            if name not in cfg.absent_instances
        }

    def rng(self, use: str) -> Random:
        """Return a random source for one use, derived from the seed of the world."""
        return Random(name_hash(f"{self.cfg.seed}/{use}"))

    def recorder(self, who: str) -> HistoryRecorder:
        """Return a history recorder for a process."""
        return HistoryRecorder(self.loop.time, who, self.records)

    async def run(self) -> None:
        """Start the deployment, run it for the configured time and stop it."""
        self.publish()
        self._publish_instance_list()
        for service in self.deployment.services:
            for pool_entry in self.pool_entries[service.name].values():
                if pool_entry.name != self.cfg.spare_server:
                    self.start_server(service, pool_entry, cold=False)
        for name in self._listed_instances:
            self.start_instance(name)
        self.loop.call_later(
            self.cfg.workload_start_s, self.start_caller, "c", CALLER_HOST
        )
        await sleep_until(self.cfg.length_s)
        for instance in self.instances.values():
            instance.kill()

    def publish(self, *keys: str) -> None:
        """Publish the present tables, or only the values of the given keys."""
        values = self.tables.next_values(*keys)
        if "routes/0" in values:
            values["routes/0"]["routes"] += self._added_routes
        self.platform.publish({key: encode(value) for key, value in values.items()})
        active = {
            server.name
            for servers in self.tables.pools.values()
            for server in servers
            if not server.drain
        }
        self._platform_recorder.record(
            "publish",
            version=self.tables.version,
            values={key: value["version"] for key, value in values.items()},
            zones_out=sorted(self.tables.zones_out),
            draining=sorted(self.servers.keys() - active),
        )

    def add_route(self, address: Address, service: str) -> None:
        """Add a service address, without publishing it."""
        self._added_routes.append(
            {"address": address.host, "port": address.port, "service": service}
        )

    def start_server(
        self, service: ServicePlan, pool_entry: BackendServer, *, cold: bool
    ) -> None:
        """Start a backend server, which is reachable immediately."""
        name = pool_entry.name
        model = BackendServerModel(
            pool_entry,
            service.name,
            addresses=[service.address, NEW_ROUTE_ADDRESS],
            clock=self.clock,
            rng=self.rng(f"server/{name}"),
            send=lambda packet: self.fabric.forward_from_server(name, packet),
            recorder=self.recorder(name),
            cold=cold,
            processing_time_factor=self.cfg.processing_time_factor,
        )
        host = self.servers[name] = ModelHost(self.loop, model)
        self.network.add(name, pool_entry.zone)
        self.receivers.servers[pool_entry.address] = (name, host.receive)

    def start_caller(
        self, name: str, host: str, services: dict[str, Address] | None = None
    ) -> CallerModel:
        """Start a caller at the IPv4 address ``host``.

        It uses the given service addresses by service, or all services by default.
        """
        addresses = services or {s.name: s.address for s in self.deployment.services}
        model = CallerModel(
            name,
            host,
            addresses,
            clock=self.clock,
            rng=self.rng(f"caller/{name}"),
            send=self.fabric.forward_from_caller,
            recorder=self.recorder(f"caller-{name}"),
            cfg=self.cfg.workload,
        )
        model.start()
        caller = ModelHost(self.loop, model)
        self.callers.append(caller)
        self._callers_by_address[bytes(map(int, host.split(".")))] = caller
        return model

    def start_instance(self, name: str) -> SimInstance:
        """Start the process of an instance; platform and fabric add it with a delay."""
        entry = self._instance_entries[name]
        self._incarnations[name] += 1
        incarnation = self._incarnations[name]
        others = tuple(e for e in self._instance_entries.values() if e.id != name)
        instance = SimInstance(
            InstanceSettings(
                id=name,
                zone=entry.zone,
                data=entry.data,
                control=entry.control,
                egress=EGRESS,
                platform=(PLATFORM_ADDRESS,),
                peers=others,
            ),
            incarnation=incarnation,
            network=self.network,
            receivers=self.receivers,
            platform=self.platform,
            recorder=self.recorder(name),
            seed=name_hash(f"{self.cfg.seed}/{name}/{incarnation}"),
            policy=self.cfg.policy,
            control_bytes=self.control_bytes,
        )
        self.instances[name] = instance
        instance.start(self._tasks, self._on_stopped)
        self.loop.call_later(
            INSTANCE_LIST_DELAY_S, self._add_to_list, replace(entry, leaving=False)
        )
        self.loop.call_later(
            FABRIC_DETECTION_DELAY_S, self._add_to_fabric, name, incarnation
        )
        return instance

    def stop_instance(self, name: str) -> None:
        """Start a planned stop; platform and fabric react with a delay."""
        self.instances[name].node.request_stop()
        leaving = replace(self._instance_entries[name], leaving=True)
        self.loop.call_later(INSTANCE_LIST_DELAY_S, self._add_to_list, leaving)
        self.loop.call_later(FABRIC_DETECTION_DELAY_S, self.fabric.remove, name)

    def kill_instance(self, name: str) -> None:
        """Kill an instance; platform and fabric detect it with a delay."""
        self.instances[name].kill()
        self.loop.call_later(INSTANCE_LIST_DELAY_S, self._remove_from_list, name)
        self.loop.call_later(FABRIC_DETECTION_DELAY_S, self.fabric.remove, name)

    def record_fault(self, fault: str, target: str, phase: str) -> None:
        """Record the begin or end of a fault, and the instances without updates now."""
        self._recorder.record(
            "fault",
            fault=fault,
            target=target,
            phase=phase,
            cut_off=self.instances_without_updates(),
        )

    def instances_without_updates(self) -> list[str]:
        """Return the running instances that no update of the platform can reach."""
        running = {
            name: instance
            for name, instance in self.instances.items()
            if not instance.process.ended
        }
        updated: set[str] = set()
        if not self.platform.down and not self.platform.stale:
            frontier = [n for n in running if self.network.is_reachable(n, PLATFORM)]
            while frontier:
                name = frontier.pop()
                updated.add(name)
                if not running[name].process.paused:
                    frontier += [
                        other
                        for other in running
                        if other not in updated
                        and self.network.is_reachable(name, other)
                    ]
        return sorted(running.keys() - updated)

    def _create_pool_entries(self) -> dict[str, dict[str, BackendServer]]:
        pool_entries: dict[str, dict[str, BackendServer]] = {}
        for number, service in enumerate(self.deployment.services):
            pool_entries[service.name] = {
                name: BackendServer(
                    name,
                    Address(f"127.2.{number}.{n + 1}", TUNNEL_PORT),
                    zone,
                    slots=self.deployment.slots,
                    connections=2000,
                )
                for n, (name, zone) in enumerate(self.deployment.servers(service))
            }
        return pool_entries

    def _deliver_to_caller(self, packet: bytes) -> None:
        caller = self._callers_by_address.get(packet[16:20])
        if caller is not None:
            caller.receive(packet)

    def _on_stopped(self, instance: SimInstance) -> None:
        if self.instances[instance.id] is instance:
            self._remove_from_list(instance.id)
            self.fabric.remove(instance.id)

    def _add_to_fabric(self, name: str, incarnation: int) -> None:
        instance = self.instances[name]
        if instance.incarnation == incarnation and not instance.process.ended:
            self.fabric.add(name, self.receivers.datagram_handlers[name])

    def _add_to_list(self, entry: InstanceEntry) -> None:
        if not self.instances[entry.id].process.ended:
            self._listed_instances[entry.id] = entry
            self._publish_instance_list()

    def _remove_from_list(self, name: str) -> None:
        if self._listed_instances.pop(name, None) is not None:
            self._publish_instance_list()

    def _publish_instance_list(self) -> None:
        self.tables.instances = [
            self._listed_instances[name] for name in sorted(self._listed_instances)
        ]
        self.platform.publish({"instances": encode(self.tables.next_instance_list())})


def run_world(
    cfg: WorldConfig, *scenarios: Callable[[World], None]
) -> tuple[World, History]:
    """Run a deployment from start to end, and disable logging in this process.

    Args:
        cfg: Configuration of the deployment.
        scenarios: Called with the world before it starts; each schedules its events.

    Returns:
        The final state of the world, and the history.
    """

    async def main() -> World:
        async with create_task_group() as tasks:
            world = World(cfg, tasks)
            for scenario in scenarios:
                scenario(world)
            await world.run()
        return world

    disable(CRITICAL)
    world = run(main, backend_options={"loop_factory": VirtualEventLoop})
    return world, History(world.records)
