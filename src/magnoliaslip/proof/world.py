"""A whole deployment in one process and in virtual time."""

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
from magnoliaslip.lab.load import LoadConfig
from magnoliaslip.placement.hashing import name_hash
from magnoliaslip.proof.fabric import FABRIC_LAG_S, Fabric
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
LIST_LAG_S = 1.0  # the platform's list of instances lags
CALLER_HOST = "203.0.113.7"
# A second address of the first service, which no route names at the start.
NEW_ROUTE = Address("198.51.100.30", 443)

# Small bodies: the rules look at flows and requests, and segments cost CPU time.
WORLD_LOAD = LoadConfig(
    sessions_per_s=8.0,
    requests=(1, 3),
    think_s=(0.2, 2.0),
    feed_s=(5.0, 15.0),
    timeout_s=10.0,
)


@dataclass(slots=True, frozen=True)
class WorldConfig:
    """What to simulate.

    Attributes:
        deployment: ``karaganda`` or ``sicily``.
        seed: Seed of everything random.
        policy: Placement policy of the routers.
        length_s: Virtual time to run, in seconds.
        load: Load of the caller.
        load_from_s: When the load starts, in seconds.
        absent: Instances that do not start by themselves.
        spare: Server of the first service that is in no pool at the start.
        work_factor: Multiplies the working times of the backend servers.
    """

    deployment: str = "karaganda"
    seed: int = 1
    policy: str = "exceptions"
    length_s: float = 30.0
    load: LoadConfig = field(default_factory=lambda: WORLD_LOAD)
    load_from_s: float = 2.0
    absent: frozenset[str] = frozenset()
    spare: str = ""
    work_factor: float = 1.0


class World:
    """A running deployment; steps and faults act on it.

    Args:
        cfg: What to simulate.
        tasks: Task group that runs the instances.
    """

    def __init__(self, cfg: WorldConfig, tasks: TaskGroup) -> None:
        loop = get_running_loop()
        if not isinstance(loop, VirtualEventLoop):
            raise TypeError("a world needs the virtual event loop")
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
        self.receivers = Receivers(self._to_caller)
        self.instances: dict[str, SimInstance] = {}
        self.servers: dict[str, ModelHost] = {}
        self.callers: list[ModelHost] = []
        self._caller_of: dict[bytes, ModelHost] = {}
        self._incarnations: Counter[str] = Counter()
        self._added_routes: list[dict[str, object]] = []
        self._tasks = tasks
        self._recorder = self.recorder("world")
        self._recorder_of_platform = self.recorder(PLATFORM)
        self._entries = {
            name: InstanceEntry(
                name,
                zone,
                Address(f"127.1.0.{n + 1}", DATA_PORT),
                Address(f"127.1.0.{n + 1}", CONTROL_PORT),
            )
            for n, (name, zone) in enumerate(self.deployment.instances())
        }
        self.specs = self._server_specs()
        self.tables = Tables(
            self.deployment,
            {
                service.name: [
                    spec
                    for spec in self.specs[service.name].values()
                    if spec.name != cfg.spare
                ]
                for service in self.deployment.services
            },
        )
        self._listed = {
            name: entry
            for name, entry in self._entries.items()
            if name not in cfg.absent
        }

    def rng(self, use: str) -> Random:
        """Return a random source for one use, seeded by the seed of the world."""
        return Random(name_hash(f"{self.cfg.seed}/{use}"))

    def recorder(self, who: str) -> HistoryRecorder:
        """Return a recorder for a process."""
        return HistoryRecorder(self.loop.time, who, self.records)

    async def run(self) -> None:
        """Start everything, wait for the configured time and stop everything."""
        self.publish()
        self._publish_list()
        for service in self.deployment.services:
            for spec in self.specs[service.name].values():
                if spec.name != self.cfg.spare:
                    self.start_server(service, spec, cold=False)
        for name in self._listed:
            self.start_instance(name)
        self.loop.call_later(self.cfg.load_from_s, self.start_caller, "c", CALLER_HOST)
        await sleep_until(self.cfg.length_s)
        for instance in self.instances.values():
            instance.kill()

    def publish(self, *keys: str) -> None:
        """Publish the tables as they are now."""
        values = self.tables.change(*keys)
        if "routes/0" in values:
            values["routes/0"]["routes"] += self._added_routes
        self.platform.publish({key: encode(value) for key, value in values.items()})
        kept = {
            server.name
            for servers in self.tables.servers.values()
            for server in servers
            if not server.drain
        }
        self._recorder_of_platform.record(
            "publish",
            version=self.tables.version,
            values={key: value["version"] for key, value in values.items()},
            zones_out=sorted(self.tables.zones_out),
            draining=sorted(self.servers.keys() - kept),
        )

    def add_route(self, address: Address, service: str) -> None:
        """Add a service address, without publication."""
        self._added_routes.append(
            {"address": address.host, "port": address.port, "service": service}
        )

    def start_server(
        self, service: ServicePlan, spec: BackendServer, *, cold: bool
    ) -> None:
        """Start a backend server; it becomes reachable at once."""
        name = spec.name
        model = BackendServerModel(
            spec,
            service.name,
            addresses=[service.address, NEW_ROUTE],
            clock=self.clock,
            rng=self.rng(f"server/{name}"),
            send=lambda packet: self.fabric.from_server(name, packet),
            recorder=self.recorder(name),
            cold=cold,
            work_factor=self.cfg.work_factor,
        )
        host = self.servers[name] = ModelHost(self.loop, model)
        self.network.add(name, spec.zone)
        self.receivers.servers[spec.address] = (name, host.receive)

    def start_caller(
        self, name: str, host: str, services: dict[str, Address] | None = None
    ) -> CallerModel:
        """Start a caller of all services, or of the given addresses."""
        addresses = services or {s.name: s.address for s in self.deployment.services}
        model = CallerModel(
            name,
            host,
            addresses,
            clock=self.clock,
            rng=self.rng(f"caller/{name}"),
            send=self.fabric.from_caller,
            recorder=self.recorder(f"caller-{name}"),
            cfg=self.cfg.load,
        )
        model.start()
        caller = ModelHost(self.loop, model)
        self.callers.append(caller)
        self._caller_of[bytes(map(int, host.split(".")))] = caller
        return model

    def start_instance(self, name: str) -> SimInstance:
        """Start the process of an instance; the platform lists it later."""
        entry = self._entries[name]
        self._incarnations[name] += 1
        incarnation = self._incarnations[name]
        others = tuple(e for e in self._entries.values() if e.id != name)
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
        self.loop.call_later(LIST_LAG_S, self._list, replace(entry, leaving=False))
        self.loop.call_later(FABRIC_LAG_S, self._spray_to, name, incarnation)
        return instance

    def stop_instance(self, name: str) -> None:
        """Begin a planned stop; platform and fabric notice it later."""
        self.instances[name].node.request_stop()
        leaving = replace(self._entries[name], leaving=True)
        self.loop.call_later(LIST_LAG_S, self._list, leaving)
        self.loop.call_later(FABRIC_LAG_S, self.fabric.remove, name)

    def kill_instance(self, name: str) -> None:
        """End an instance without warning; platform and fabric notice it later."""
        self.instances[name].kill()
        self.loop.call_later(LIST_LAG_S, self._unlist, name)
        self.loop.call_later(FABRIC_LAG_S, self.fabric.remove, name)

    def note_fault(self, fault: str, target: str, phase: str) -> None:
        """Record the begin or end of a fault, and who has no path to news now."""
        self._recorder.record(
            "fault", fault=fault, target=target, phase=phase, cut_off=self.cut_off()
        )

    def cut_off(self) -> list[str]:
        """Return the running instances that no news of the platform can reach."""
        running = {
            name: instance
            for name, instance in self.instances.items()
            if not instance.process.ended
        }
        informed: set[str] = set()
        if not self.platform.down and not self.platform.stale:
            reach = [n for n in running if self.network.reachable(n, PLATFORM)]
            while reach:
                name = reach.pop()
                informed.add(name)
                if not running[name].process.paused:
                    reach += [
                        other
                        for other in running
                        if other not in informed and self.network.reachable(name, other)
                    ]
        return sorted(running.keys() - informed)

    def _server_specs(self) -> dict[str, dict[str, BackendServer]]:
        specs: dict[str, dict[str, BackendServer]] = {}
        for number, service in enumerate(self.deployment.services):
            specs[service.name] = {
                name: BackendServer(
                    name,
                    Address(f"127.2.{number}.{n + 1}", TUNNEL_PORT),
                    zone,
                    slots=self.deployment.slots,
                    connections=2000,
                )
                for n, (name, zone) in enumerate(self.deployment.servers(service))
            }
        return specs

    def _to_caller(self, packet: bytes) -> None:
        caller = self._caller_of.get(packet[16:20])
        if caller is not None:
            caller.receive(packet)

    def _on_stopped(self, instance: SimInstance) -> None:
        if self.instances[instance.id] is instance:
            self._unlist(instance.id)
            self.fabric.remove(instance.id)

    def _spray_to(self, name: str, incarnation: int) -> None:
        instance = self.instances[name]
        if instance.incarnation == incarnation and not instance.process.ended:
            self.fabric.add(name, self.receivers.datagrams[name])

    def _list(self, entry: InstanceEntry) -> None:
        if not self.instances[entry.id].process.ended:
            self._listed[entry.id] = entry
            self._publish_list()

    def _unlist(self, name: str) -> None:
        if self._listed.pop(name, None) is not None:
            self._publish_list()

    def _publish_list(self) -> None:
        self.tables.instances = [self._listed[name] for name in sorted(self._listed)]
        self.platform.publish({"instances": encode(self.tables.instance_list())})


def run_world(
    cfg: WorldConfig, *actors: Callable[[World], None]
) -> tuple[World, History]:
    """Run a deployment from start to end.

    Args:
        cfg: What to simulate.
        actors: Called with the world before it starts; each schedules what it does.

    Returns:
        The world in its last state, and the history.
    """

    async def main() -> World:
        async with create_task_group() as tasks:
            world = World(cfg, tasks)
            for actor in actors:
                actor(world)
            await world.run()
        return world

    disable(CRITICAL)
    world = run(main, backend_options={"loop_factory": VirtualEventLoop})
    return world, History(world.records)
