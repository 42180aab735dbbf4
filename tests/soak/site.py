"""Instances as processes on loopback, with the platform that they need."""

from asyncio import create_subprocess_exec, create_task, get_running_loop, sleep
from asyncio.subprocess import DEVNULL
from collections import defaultdict
from contextlib import AsyncExitStack, suppress
from json import dumps
from pathlib import Path
from random import Random
from signal import SIGKILL, SIGTERM
from socket import inet_aton
from sys import executable
from time import monotonic

import anyio

from magnoliaslip.config.http_client import http_get
from magnoliaslip.core.address import Address
from magnoliaslip.core.http_server import DropConnection, HttpResponse, serve_http
from magnoliaslip.lab.ports import reserve_ports
from tests.platform.fake_store import FakeStore
from tests.soak.endpoints import BackendServer, Caller, close_socket, encode
from tests.soak.promises import CONTACT_S, Promises

ROOT = Path(__file__).parents[2]
ZONES = "abc"
ROUTES = {("198.18.0.1", 443): "desk", ("198.18.0.2", 443): "lab"}
IDEMPOTENT = ("198.18.0.1", 443)
SERVERS_A_ZONE = 2
CALLERS_A_ZONE = 2
POLL_INTERVAL_S = 0.5
MISSES = 2
START_TIMEOUT_S = 30.0
GRACE_S = 6.0
LAPSE_S = 3.6  # three heartbeats, after which the entry of a crashed server lapses


class Instance:
    """One machine: its process, its rotation state and its path to the store."""

    def __init__(self, host, zone):
        self.host, self.zone = host, zone
        self.process = None
        self.expected_end = self.paused = False
        self.misses = MISSES
        self.store_fault = ""
        self.disturbed_until = 0.0

    @property
    def in_rotation(self):
        return self.misses < MISSES


class Site:
    """A fleet under faults; use as an asynchronous context manager."""

    def __init__(self, folder, seed, *, instances_a_zone=2):
        self.folder, self.rng = folder, Random(seed)
        self.instances = {
            f"127.0.7.{10 * z + n + 1}": Instance(f"127.0.7.{10 * z + n + 1}", zone)
            for z, zone in enumerate(ZONES)
            for n in range(instances_a_zone)
        }
        self.store = FakeStore()
        self.version = 1
        self.routes = dict(ROUTES)
        self.used_routes = list(ROUTES)
        self.services_ever = defaultdict(set)
        self.dropped_at, self.zones_out, self.cuts = {}, {}, set()
        self.disturbed_zones = {}
        self.servers, self.began, self.calm_at = [], monotonic(), None
        self.promises = Promises(self)

    async def __aenter__(self):
        self._stack = AsyncExitStack()
        picker = self._stack.enter_context(reserve_ports(Random()))
        names = ("packets", "readiness", "control", "metrics")
        self.ports = {name: picker.pick().port for name in names}
        self._tasks = await self._stack.enter_async_context(anyio.create_task_group())
        self._stack.callback(self._tasks.cancel_scope.cancel)
        self.store_addresses = {}
        for host, instance in self.instances.items():
            self.store_addresses[host] = address = picker.pick()
            await self._tasks.start(serve_http, address, self._store_of(instance))
        self.publish_routes()
        for service in ("desk", "lab"):
            for zone in ZONES:
                for _ in range(SERVERS_A_ZONE):
                    self.add_server(service, zone)
        callers = [
            Caller(self, 10 * z + n + 1, zone)
            for z, zone in enumerate(ZONES)
            for n in range(CALLERS_A_ZONE)
        ]
        self.callers = {caller.packed: caller for caller in callers}
        self._stack.push_async_callback(self._end)
        for instance in self.instances.values():
            self._tasks.start_soon(self._maintain, instance)
            self._tasks.start_soon(self._poll, instance)
        with anyio.fail_after(START_TIMEOUT_S):
            while not all(each.in_rotation for each in self.instances.values()):
                await sleep(0.05)
        self.began = monotonic()
        for caller in callers:
            self._tasks.start_soon(caller.run)
        return self

    async def __aexit__(self, *exc_info):
        return await self._stack.__aexit__(*exc_info)

    # Packets

    def to_instance(self, zone, packet):
        """Send a packet of a caller to an instance, as the platform's routers do."""
        groups = (
            [i for i in self.instances.values() if i.in_rotation and i.zone == zone],
            [i for i in self.instances.values() if i.in_rotation],
            list(self.instances.values()),
        )
        group = next(filter(None, groups))
        instance = group[hash(packet[:4]) % len(group)]
        sock = next(iter(self.callers.values())).sock
        with suppress(OSError):
            sock.sendto(encode(packet), (instance.host, self.ports["packets"]))

    def to_caller(self, packet):
        self.callers[packet.dst].receive(packet)

    def is_cut(self, instance, zone):
        return (self.instances[instance].zone, zone) in self.cuts

    @staticmethod
    def packed(route):
        return inet_aton(route[0])

    @staticmethod
    def is_idempotent(route):
        return route == IDEMPOTENT

    # What the operator and the servers publish

    def publish_routes(self):
        self.version += 3
        routes = [
            {
                "host": host,
                "prefix": f"/{port}/",
                "type": "idempotent" if (host, port) == IDEMPOTENT else "non",
                "service": service,
            }
            for (host, port), service in self.routes.items()
        ]
        for route, service in self.routes.items():
            self.services_ever[route].add(service)
            self.dropped_at.pop(route, None)
        self.store.put("op/config", {"version": self.version, "routes": routes})

    def add_server(self, service, zone, *, port=0):
        number = self.rng.getrandbits(40)
        server = BackendServer(self, number, service, zone, port=port)
        self.servers.append(server)
        self._register(server)
        return server

    def _register(self, server, state="ready"):
        self.store.put_server(
            server.name,
            server.address,
            service=server.service,
            zone=server.zone,
            state=state,
        )

    async def replace_server(self, server, *, crash):
        """Let a server leave or crash, and another one start for it."""
        self.servers.remove(server)
        if not crash:
            self._register(server, "draining")
            server.draining_at = monotonic()
            await sleep(self.rng.uniform(3.5, 5.0))
        server.left_at = monotonic()
        server.close()
        new = self.add_server(server.service, server.zone)
        new.disturbed_until = monotonic() + CONTACT_S
        if crash:
            await sleep(LAPSE_S)
        self.store.remove(f"servers/{server.name}")

    # Disturbances and what is in touch

    def disturb(self, instance, seconds=0.0):
        instance.disturbed_until = max(
            instance.disturbed_until, monotonic() + seconds + CONTACT_S
        )

    def in_touch(self, host, now):
        instance = self.instances[host]
        return now >= instance.disturbed_until and not instance.paused

    def is_disturbed(self, server, now):
        return now < self.disturbed_zones.get(server.zone, 0.0)

    # Processes and the store

    async def _maintain(self, instance):
        """Keep the process of an instance running until cancelled."""
        path = self.folder / f"{instance.host}.json"
        settings = {
            "id": instance.host,
            "zone": instance.zone,
            "control": f"{instance.host}:{self.ports['control']}",
            "store": str(self.store_addresses[instance.host]),
            "seeds": [f"{h}:{self.ports['control']}" for h in list(self.instances)[:3]],
            "metrics_port": self.ports["metrics"],
        }
        path.write_text(dumps(settings))
        while True:
            instance.expected_end = False
            with (self.folder / f"{instance.host}.log").open("ab") as log:
                instance.process = await create_subprocess_exec(
                    executable,
                    str(ROOT / "platform/main.py"),
                    f"{instance.host}:{self.ports['packets']}",
                    f"{instance.host}:{self.ports['readiness']}",
                    env={"MAGNOLIASLIP_CONFIG": str(path)},
                    stdin=DEVNULL,
                    stdout=log,
                    stderr=log,
                )
                code = await instance.process.wait()
            if not instance.expected_end:
                self.promises.on_exit(instance.host, code)
            await sleep(self.rng.uniform(0.1, 0.4))

    async def _poll(self, instance):
        address = Address(instance.host, self.ports["readiness"])
        while True:
            status = 0
            with suppress(OSError, TimeoutError), anyio.fail_after(POLL_INTERVAL_S):
                status = (await http_get(address, "/v1/readiness")).status
            instance.misses = 0 if status == 200 else instance.misses + 1
            await sleep(POLL_INTERVAL_S)

    def signal(self, instance, signum):
        """Send a signal to the process of an instance, if it still runs."""
        process = instance.process
        if process is None or process.returncode is not None:
            return
        if signum in (SIGKILL, SIGTERM):
            instance.expected_end = True
        process.send_signal(signum)
        if signum == SIGTERM:
            create_task(self._check_stop(instance, process))  # noqa: RUF006

    async def _check_stop(self, instance, process):
        end = get_running_loop().time() + GRACE_S
        while process.returncode is None and get_running_loop().time() < end:
            await sleep(0.05)
        if process.returncode is None and not instance.paused:
            self.promises.fail(
                "STOP", f"{instance.host} runs {GRACE_S} s after SIGTERM"
            )

    def _store_of(self, instance):
        async def answer(req):
            if instance.store_fault == "down":
                raise DropConnection
            if instance.store_fault == "silent":
                await sleep(60.0)
            if instance.store_fault == "slow":
                await sleep(self.rng.uniform(0.2, 1.2))
            if instance.store_fault.isdigit():
                return HttpResponse(int(instance.store_fault))
            return await self.store.answer(req)

        return answer

    async def _end(self):
        for instance in self.instances.values():
            instance.expected_end = True
            self._tasks.cancel_scope.cancel()
            process = instance.process
            if process is not None and process.returncode is None:
                process.kill()
                with anyio.CancelScope(shield=True):
                    await process.wait()
        for server in self.servers:
            server.close()
        for caller in self.callers.values():
            close_socket(caller.sock)
