"""Runs a deployment as processes on loopback."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace
from pathlib import Path
from random import SystemRandom
from sys import executable
from tempfile import TemporaryDirectory
from typing import Any

from anyio import create_task_group, move_on_after, sleep
from msgspec.json import encode

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.core.address import Address
from magnoliaslip.core.group import InstanceEntry
from magnoliaslip.lab.child_processes import (
    ChildProcess,
    ChildProcesses,
    open_child_processes,
)
from magnoliaslip.lab.control_proxy import ControlEndpoint
from magnoliaslip.lab.deployment import MAX_CONNECTIONS_PER_SERVER, Deployment, Tables
from magnoliaslip.lab.fabric import FABRIC_DETECTION_DELAY_S, PathRule
from magnoliaslip.lab.fabric_process import (
    CallerEndpoint,
    FabricSettings,
    InstanceEndpoint,
    PathRuleEntry,
    ServerEndpoint,
)
from magnoliaslip.lab.http_client import fetch_json
from magnoliaslip.lab.instances import (
    CommandFactory,
    InstanceSupervisor,
    instance_command,
)
from magnoliaslip.lab.platform_server import ADMIN_GROUP
from magnoliaslip.lab.platform_store import PlatformMode
from magnoliaslip.lab.ports import PortPicker, reserve_ports
from magnoliaslip.lab.workload import WorkloadConfig

# Time until the fabric learns that an instance is leaving, and until a killed instance
# is removed from the lists of the platform and the fabric.
FABRIC_UPDATE_DELAY_S = 0.3
CALLER_POLL_INTERVAL_S = 0.1
# Each instance has its own host address, by which the control proxy identifies the
# sender of control traffic.
INSTANCE_HOST = "127.0.1.{}"
PROXY_HOST = "127.0.2.{}"
# Allowed as a whole: instances accept a new peer before it is in the instance list.
PROXY_NETWORK = "127.0.2.0/24"
LAB_COMMAND = (executable, "-m", "magnoliaslip.lab")


@dataclass(slots=True, frozen=True)
class SiteOptions:
    """Options of a site.

    Attributes:
        callers: Number of caller processes.
        workload: Workload of each caller.
        seed: Seed of the simulators; ports are picked at random.
        record_dir: Directory for history records, or None.
        log_dir: Directory for the output of all processes, or None.
        command: Builds the command line of an instance from its settings file.
        seed_peers: Whether the settings of each instance list all other instances,
            which it queries while the platform does not answer.
    """

    callers: int = 2
    workload: WorkloadConfig = field(default_factory=WorkloadConfig)
    seed: int = 1
    record_dir: Path | None = None
    log_dir: Path | None = None
    command: CommandFactory = instance_command
    seed_peers: bool = False


class Site:
    """Runs and controls the instances and the simulators around them.

    The simulators are the platform, the fabric, the backend servers and the callers.

    Attributes:
        deployment: The deployment that the site runs.
        tables: The tables to publish; changes take effect with `publish`.
        instances: Supervisor of each instance by identifier.
        server_addresses: Address on which each backend server listens, by name. The
            pool tables contain the address at which the fabric accepts its packets.
    """

    def __init__(
        self,
        deployment: Deployment,
        options: SiteOptions,
        *,
        children: ChildProcesses,
        ports: PortPicker,
        work_dir: Path,
    ) -> None:
        self.deployment = deployment
        self.instances: dict[str, InstanceSupervisor] = {}
        self.server_addresses: dict[str, Address] = {}
        self._options = options
        self._children = children
        self._work_dir = work_dir
        self._ports = ports
        self._platform_addresses = {
            group: self._ports.pick() for group in (ADMIN_GROUP, *deployment.zones)
        }
        self._fabric_addresses: dict[str, Address] = {
            name: self._ports.pick()
            for name in ("callers", "returns", "egress", "admin")
        }
        self._caller_addresses = [self._ports.pick() for _ in range(options.callers)]
        self._paused_ids: set[str] = set()
        self._path_rules: dict[tuple[str, str], PathRule] = {}
        self.tables = Tables(
            deployment,
            {
                service.name: [
                    self._create_server(name, zone)
                    for name, zone in deployment.servers(service)
                ]
                for service in deployment.services
            },
        )
        self._create_instances()

    async def start(self) -> None:
        """Start all processes and wait until they are ready.

        Raises:
            ChildError: A process did not become ready.
        """
        platform = await self._start_platform()
        simulators = [await self._start_fabric(), *await self._start_backend_servers()]
        simulators += await self._start_callers()
        await platform.wait_ready()
        self.tables.instances = [instance.entry for instance in self.instances.values()]
        await self.publish()
        await self.publish_instance_list()
        for instance in self.instances.values():
            await instance.start()
        for child in simulators:
            await child.wait_ready()
        for instance in self.instances.values():
            await instance.wait_serving()
        await self.update_fabric()

    async def publish(self, *keys: str) -> None:
        """Publish the tables with the given keys, or all tables without a key."""
        for key, value in self.tables.next_values(*keys).items():
            await self._put_to_platform(f"/lab/values/{key}", value)

    async def publish_instance_list(self) -> None:
        """Publish the list of instances."""
        value = self.tables.next_instance_list()
        await self._put_to_platform("/lab/values/instances", value)

    async def set_platform_mode(self, mode: PlatformMode, zone: str = "") -> None:
        """Set the mode in which the platform answers one zone, or all zones."""
        body = {"mode": mode} | ({"group": zone} if zone else {})
        await self._put_to_platform("/lab/mode", body)

    async def set_path_rule(self, src: str, dst: str, rule: PathRule | None) -> None:
        """Set or remove the impairment of the path from one place to another."""
        if rule is None:
            self._path_rules.pop((src, dst), None)
        else:
            self._path_rules[src, dst] = rule
        entries = [
            PathRuleEntry(*path, rule) for path, rule in self._path_rules.items()
        ]
        await fetch_json(self._fabric_addresses["admin"], "PUT", "/lab/rules", entries)

    async def update_fabric(self) -> None:
        """Send the fabric all leaving instances and the ready, unpaused ones."""
        entries = [
            InstanceEndpoint(entry.id, entry.zone, str(entry.data), entry.leaving)
            for entry in self.tables.instances
            if self._is_listed_at_fabric(entry)
        ]
        await fetch_json(
            self._fabric_addresses["admin"], "PUT", "/lab/instances", entries
        )

    async def set_backend_fault(self, server: str, **fault: str) -> None:
        """Apply a fault to a backend server.

        Args:
            server: Name of the backend server.
            fault: Body of ``PUT /lab/fault``; see ``magnoliaslip-lab backend --help``.
        """
        await fetch_json(self.server_addresses[server], "PUT", "/lab/fault", fault)

    async def restart_instance(self, instance_id: str) -> None:
        """Stop an instance gracefully and start it again.

        Raises:
            ChildError: It did not stop or did not serve again in time.
        """
        await self.stop_instance(instance_id)
        await self.start_instance(instance_id)

    async def stop_instance(self, instance_id: str) -> None:
        """Mark an instance as leaving in the list and stop it gracefully.

        Raises:
            ChildError: It did not stop in time.
        """
        await self._publish_instance_entry(instance_id, leaving=True)
        async with create_task_group() as tasks:
            tasks.start_soon(self._update_fabric_after_delay)
            await self.instances[instance_id].stop()
        await self._publish_instance_entry(instance_id, present=False)
        await self.update_fabric()

    async def start_instance(self, instance_id: str) -> None:
        """Start a stopped or killed instance and wait until it serves.

        Raises:
            ChildError: It ended or did not serve in time.
        """
        await self.instances[instance_id].start()
        await self._publish_instance_entry(instance_id)
        await self.instances[instance_id].wait_serving()
        await self.update_fabric()

    async def kill_instance(self, instance_id: str) -> None:
        """Kill an instance and remove it from the lists of platform and fabric.

        It is removed after `FABRIC_UPDATE_DELAY_S`.
        """
        self.instances[instance_id].child.kill()
        await sleep(FABRIC_UPDATE_DELAY_S)
        await self._publish_instance_entry(instance_id, present=False)
        await self.update_fabric()

    async def pause_instance(self, instance_id: str) -> None:
        """Suspend the process of an instance; the fabric detects it after 1 s."""
        self.instances[instance_id].child.pause()
        self._paused_ids.add(instance_id)
        await sleep(FABRIC_DETECTION_DELAY_S)
        await self.update_fabric()

    async def resume_instance(self, instance_id: str) -> None:
        """Resume the process of a paused instance."""
        self._paused_ids.discard(instance_id)
        self.instances[instance_id].child.resume()
        await self.update_fabric()

    async def start_workload(self) -> None:
        """Start the workload of all callers."""
        for caller in self._caller_addresses:
            await fetch_json(caller, "PUT", "/lab/start")

    async def stop_workload(self, *, timeout_s: float) -> bool:
        """Stop the workload and wait for outstanding requests.

        Returns:
            False when a caller still has outstanding requests after the time-out.
        """
        for caller in self._caller_addresses:
            await fetch_json(caller, "PUT", "/lab/stop")
        with move_on_after(timeout_s):
            while not all(status["idle"] for status in await self.caller_statuses()):
                await sleep(CALLER_POLL_INTERVAL_S)
            return True
        return False

    async def caller_statuses(self) -> list[dict[str, Any]]:
        """Return the status of each caller, with its counters and answers."""
        return [
            await fetch_json(a, "GET", "/lab/status") for a in self._caller_addresses
        ]

    async def backend_statuses(self) -> list[dict[str, Any]]:
        """Return the status of each backend server, with its counters."""
        return [
            await fetch_json(a, "GET", "/lab/status")
            for a in self.server_addresses.values()
        ]

    async def fabric_counters(self) -> dict[str, int]:
        """Return the counters of the fabric."""
        return await fetch_json(self._fabric_addresses["admin"], "GET", "/lab/counters")

    async def platform_reads(self) -> dict[str, Any]:
        """Return the reads of the platform by group, and the peak per second."""
        return await fetch_json(
            self._platform_addresses[ADMIN_GROUP], "GET", "/lab/reads"
        )

    async def _put_to_platform(self, path: str, value: object) -> None:
        await fetch_json(self._platform_addresses[ADMIN_GROUP], "PUT", path, value)

    def _is_listed_at_fabric(self, entry: InstanceEntry) -> bool:
        ready = self.instances[entry.id].child.ready.is_set()
        return entry.leaving or (ready and entry.id not in self._paused_ids)

    async def _update_fabric_after_delay(self) -> None:
        await sleep(FABRIC_UPDATE_DELAY_S)
        await self.update_fabric()

    async def _publish_instance_entry(
        self, instance_id: str, *, present: bool = True, leaving: bool = False
    ) -> None:
        others = [e for e in self.tables.instances if e.id != instance_id]
        entry = replace(self.instances[instance_id].entry, leaving=leaving)
        self.tables.instances = [*others, entry] if present else others
        await self.publish_instance_list()

    def _create_instances(self) -> None:
        entries = [
            InstanceEntry(
                instance_id,
                zone,
                data=self._ports.pick(INSTANCE_HOST.format(n)),
                control=self._ports.pick(PROXY_HOST.format(n)),
            )
            for n, (instance_id, zone) in enumerate(self.deployment.instances(), 1)
        ]
        for n, entry in enumerate(entries, 1):
            instance_id, zone = entry.id, entry.zone
            values: dict[str, object] = {
                "egress": str(self._fabric_addresses["egress"]),
                "platform": [str(self._platform_addresses[zone])],
                "allowed_networks": [PROXY_NETWORK],
            }
            if self._options.seed_peers:
                values["peers"] = [_peer_entry(e) for e in entries if e is not entry]
            if self._options.record_dir:
                values["record_to"] = self._record_path(instance_id)
            self.instances[instance_id] = InstanceSupervisor(
                entry,
                self._work_dir / f"{instance_id}.json",
                values,
                control=self._ports.pick(INSTANCE_HOST.format(n)),
                children=self._children,
                command=self._options.command,
            )

    def _record_path(self, name: str) -> str:
        return str((self._options.record_dir or Path()) / f"{name}.jsonl")

    async def _start_simulator(self, kind: str, name: str, *args: str) -> ChildProcess:
        argv = [*LAB_COMMAND, kind, *args, "--until-eof"]
        if self._options.record_dir and kind != "fabric":
            argv += ["--record-to", self._record_path(name)]
        return await self._children.start(name, argv, ready_marker=f"ready {kind}")

    async def _start_platform(self) -> ChildProcess:
        listeners = [
            text
            for group, address in self._platform_addresses.items()
            for text in ("--listen", f"{group}={address}")
        ]
        return await self._start_simulator("platform", "platform", *listeners)

    def _create_server(self, name: str, zone: str) -> BackendServer:
        """Allocate the address of a backend server and return its pool entry.

        The entry contains an address of the fabric, which forwards to the server.
        """
        self.server_addresses[name] = tunnel = self._ports.pick()
        return BackendServer(
            name,
            self._ports.pick(),
            zone,
            self.deployment.slots,
            MAX_CONNECTIONS_PER_SERVER,
            health=tunnel,
        )

    async def _start_backend_servers(self) -> list[ChildProcess]:
        children = []
        for service in self.deployment.services:
            for server in self.tables.pools[service.name]:
                address = self.server_addresses[server.name]
                args = ("--name", server.name, "--service", service.name)
                args += ("--zone", server.zone, "--listen", str(address))
                args += ("--address", str(service.address))
                args += ("--returns", str(self._fabric_addresses["returns"]))
                args += ("--slots", str(server.slots))
                args += ("--connections", str(server.connections))
                args += ("--seed", str(self._options.seed))
                children.append(
                    await self._start_simulator("backend", server.name, *args)
                )
        return children

    async def _start_callers(self) -> list[ChildProcess]:
        workload_path = self._work_dir / "load.json"
        workload_path.write_bytes(encode(self._options.workload))
        services = [
            text
            for service in self.deployment.services
            for text in ("--service", f"{service.name}={service.address}")
        ]
        return [
            await self._start_simulator(
                "caller",
                f"caller-{n}",
                *("--name", f"c{n}", "--host", _caller_host(n)),
                *("--listen", str(address)),
                *("--fabric", str(self._fabric_addresses["callers"])),
                *("--seed", str(self._options.seed), "--load", str(workload_path)),
                *services,
            )
            for n, address in enumerate(self._caller_addresses, 1)
        ]

    async def _start_fabric(self) -> ChildProcess:
        servers = [
            ServerEndpoint(
                server.name,
                server.zone,
                front=str(server.address),
                tunnel=str(self.server_addresses[server.name]),
            )
            for pool in self.tables.pools.values()
            for server in pool
        ]
        callers = [
            CallerEndpoint(_caller_host(n), str(address))
            for n, address in enumerate(self._caller_addresses, 1)
        ]
        settings = FabricSettings(
            **{name: str(address) for name, address in self._fabric_addresses.items()},
            zone_delay_s=self.deployment.zone_delay_s,
            caller_delay_s=self.deployment.caller_delay_s,
            servers=servers,
            caller_lines=callers,
            fronts=[
                ControlEndpoint(
                    instance.entry.id,
                    instance.entry.zone,
                    front=str(instance.entry.control),
                    control=str(instance.control),
                )
                for instance in self.instances.values()
            ],
            seed=self._options.seed,
        )
        path = self._work_dir / "fabric.json"
        path.write_bytes(encode(settings))
        return await self._start_simulator("fabric", "fabric", "--settings", str(path))


def _peer_entry(entry: InstanceEntry) -> dict[str, str]:
    return {
        "id": entry.id,
        "zone": entry.zone,
        "data": str(entry.data),
        "control": str(entry.control),
    }


def _caller_host(number: int) -> str:
    return f"10.1.0.{number}"


@asynccontextmanager
async def open_site(
    deployment: Deployment, options: SiteOptions | None = None
) -> AsyncIterator[Site]:
    """Start a site; all its processes have ended when the block is left.

    Raises:
        ChildError: A process did not become ready.
    """
    options = options or SiteOptions()
    async with AsyncExitStack() as stack:
        work_dir = stack.enter_context(TemporaryDirectory(prefix="magnoliaslip-"))
        # Sites of other processes that start meanwhile pick other ports.
        ports = stack.enter_context(reserve_ports(SystemRandom()))
        children = await stack.enter_async_context(
            open_child_processes(options.log_dir)
        )
        site = Site(
            deployment,
            options,
            children=children,
            ports=ports,
            work_dir=Path(work_dir),
        )
        await site.start()
        yield site
