"""Guards against faulty starts and stops of instances on the fleet platform.

Instances run as processes on loopback. Each has its own host address, because all of
them use the same ports.
"""

from contextlib import suppress
from json import dumps, loads
from os import kill
from pathlib import Path
from random import Random
from signal import SIGCONT, SIGHUP, SIGSTOP, SIGTERM
from socket import AF_INET, SOCK_DGRAM
from socket import socket as Socket  # noqa: N812
from sys import executable
from time import time

import anyio
import pytest

from magnoliaslip.config.http_client import http_get
from magnoliaslip.core.address import Address
from magnoliaslip.core.http_server import serve_http
from magnoliaslip.lab.ports import PortPicker
from tests.platform.fake_store import FakeStore

ROOT = Path(__file__).parents[2]
STOPPED = "INSTANCE_STOPPED"
WAIT_TIMEOUT_S = 20.0
ROUTE = ("198.18.0.1", 443)
SYN, ACK, RST = 16, 2, 4


def packet(port, flags, *, tag=0, seq=1, ack=0, dport=ROUTE[1]):
    """Build a packet from the caller 127.0.0.9."""
    return (
        port.to_bytes(2, "big")
        + dport.to_bytes(2, "big")
        + bytes([127, 0, 0, 9, 198, 18, 0, 1])
        + seq.to_bytes(4, "big")
        + ack.to_bytes(4, "big")
        + bytes([0, 0, flags, 0])
        + tag.to_bytes(4, "big")
        + b"sum!"
    )


def udp(host, port=0):
    sock = Socket(AF_INET, SOCK_DGRAM)
    sock.bind((host, port))
    sock.setblocking(False)
    return sock


async def receive(sock):
    with anyio.fail_after(WAIT_TIMEOUT_S):
        await anyio.wait_readable(sock)
        return sock.recv(2048)


def read_caller_ports(sock):
    """Return the callers' ports of all packets that wait in a server's socket."""
    ports = set()
    with suppress(BlockingIOError):
        while True:
            ports.add(int.from_bytes(sock.recv(2048)[8:10], "big"))
    return ports


class SteeringSite:
    """A store, one backend server, one caller, and the instances that a test starts."""

    def __init__(self, tmp_path, tasks):
        self.tmp_path = tmp_path
        self.tasks = tasks
        picker = PortPicker(Random())
        names = ("packets", "readiness", "control", "metrics")
        self.ports = {name: picker.pick().port for name in names}
        self.store_address = picker.pick()
        self.store = FakeStore()
        self.server = udp("127.0.0.8")
        self.caller = udp("127.0.0.9", self.ports["packets"])
        self.store.put_routes(4, ROUTE)
        self.store.put_server("i-5c", self.server.getsockname())

    async def serve_store(self):
        await self.tasks.start(serve_http, self.store_address, self.store.answer)

    def settings(self, host, **changes):
        settings = {
            "id": host,
            "zone": "a",
            "control": f"{host}:{self.ports['control']}",
            "store": str(self.store_address),
            "seeds": [f"127.0.0.2:{self.ports['control']}"],
            "metrics_port": self.ports["metrics"],
        }
        path = self.tmp_path / f"{host}.jsonc"
        path.write_text(dumps(settings | changes))
        return path

    async def start(self, host, **changes):
        path = self.settings(host, **changes)
        return await anyio.open_process(
            [
                executable,
                str(ROOT / "platform/main.py"),
                f"{host}:{self.ports['packets']}",
                f"{host}:{self.ports['readiness']}",
            ],
            env={"MAGNOLIASLIP_CONFIG": str(path)},
        )

    async def wait_status(self, host, status):
        address = Address(host, self.ports["readiness"])
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while True:
                try:
                    answer = await http_get(address, "/v1/readiness")
                    if answer.status == status:
                        return
                except OSError:
                    pass
                await anyio.sleep(0.02)

    def send(self, host, data):
        self.caller.sendto(data, (host, self.ports["packets"]))


def run_steering_scenario(tmp_path, act):
    async def main():
        async with anyio.create_task_group() as tasks:
            site = SteeringSite(tmp_path, tasks)
            await site.serve_store()
            processes = []
            start = site.start

            async def start_and_track(*args, **changes):
                processes.append(await start(*args, **changes))
                return processes[-1]

            site.start = start_and_track
            try:
                await act(site)
            finally:
                for process in processes:
                    if process.returncode is None:
                        process.kill()
                    await process.aclose()
                tasks.cancel_scope.cancel()

    anyio.run(main)


def test_packets_of_a_flow_reach_their_server_through_any_instance(tmp_path):
    async def act(site):
        await site.start("127.0.0.2")
        await site.wait_status("127.0.0.2", 200)
        site.send("127.0.0.2", packet(4001, SYN))
        syn = await receive(site.server)
        # A packet to a server begins with 8 bytes that identify the server, here i-5c.
        assert syn[:8] == bytes([0] * 7 + [0x5C])
        tag = int.from_bytes(syn[8:][24:28], "big")
        assert tag != 0
        # The store is down, so a new instance must use the directory of the first one.
        site.store.up = False
        await site.start("127.0.0.3")
        await site.wait_status("127.0.0.3", 200)
        site.send("127.0.0.3", packet(4001, ACK, tag=tag, ack=7))
        assert (await receive(site.server))[8:] == packet(4001, ACK, tag=tag, ack=7)

    run_steering_scenario(tmp_path, act)


def test_changes_are_in_force_after_the_store_was_restored_from_an_older_copy(tmp_path):
    # Also on an instance that starts from the other one while the store is down.
    async def act(site):
        copy = site.store.copy()
        for version in range(5, 15):
            site.store.put_routes(version, ROUTE)
        await site.start("127.0.0.2")
        await site.wait_status("127.0.0.2", 200)
        site.store.restore(copy)
        site.store.put_routes(15, (ROUTE[0], 444))
        await wait_reset(site, "127.0.0.2", ROUTE[1])
        site.store.up = False
        await site.start("127.0.0.3")
        await site.wait_status("127.0.0.3", 200)
        await wait_reset(site, "127.0.0.3", ROUTE[1])
        site.send("127.0.0.3", packet(4001, SYN, dport=444))
        assert (await receive(site.server))[8:][2:4] == (444).to_bytes(2, "big")

    run_steering_scenario(tmp_path, act)


def test_restarted_instance_uses_nothing_that_was_withdrawn(tmp_path):
    # Guards against a server that left, a zone that was taken out and a route that was
    # dropped, all in use again after a restart while the store is down, as an instance
    # that was paused meanwhile hands out its directory.
    async def act(site):
        site.left, site.out = udp("127.0.0.8"), udp("127.0.0.8")
        site.store.put_routes(5, ROUTE, (ROUTE[0], 444))
        site.store.put_server("i-6d", site.left.getsockname())
        site.store.put_server("i-7e", site.out.getsockname(), zone="b")
        seeds = [f"127.0.0.{n}:{site.ports['control']}" for n in (2, 4)]
        paused = await site.start("127.0.0.4", seeds=seeds)
        await site.start("127.0.0.2", seeds=seeds)
        for host in ("127.0.0.4", "127.0.0.2"):
            await site.wait_status(host, 200)
        paused.send_signal(SIGSTOP)
        site.store.put("op/evacuate/b", {})
        site.store.remove("servers/i-6d")
        site.store.put_routes(6, ROUTE)
        await wait_reset(site, "127.0.0.2", 444)
        site.store.up = False
        paused.send_signal(SIGCONT)
        await site.start("127.0.0.3", seeds=seeds)
        await site.wait_status("127.0.0.3", 200)
        with anyio.fail_after(3):
            await wait_reset(site, "127.0.0.3", 444)
        for sock in (site.left, site.out):
            read_caller_ports(sock)
        sent = set(range(41000, 41040))
        for port in sent:
            site.send("127.0.0.3", packet(port, SYN))
        arrived = set()
        with anyio.move_on_after(3):
            while arrived != sent:
                arrived |= read_caller_ports(site.server)
                await anyio.sleep(0.01)
        assert arrived == sent
        assert not read_caller_ports(site.left) | read_caller_ports(site.out)

    run_steering_scenario(tmp_path, act)


async def wait_reset(site, host, dport):
    """Send SYNs until one is reset, as its route is no longer in force."""
    with anyio.fail_after(WAIT_TIMEOUT_S):
        for port in range(5000, 60000):
            site.send(host, packet(port, SYN, dport=dport))
            with anyio.move_on_after(0.1):
                await anyio.wait_readable(site.caller)
                assert site.caller.recv(2048)[22] == RST
                break
    read_caller_ports(site.server)


def test_endpoint_without_a_route_is_reset(tmp_path):
    async def act(site):
        await site.start("127.0.0.2")
        await site.wait_status("127.0.0.2", 200)
        site.send("127.0.0.2", packet(4001, SYN, dport=444))
        reset = await receive(site.caller)
        assert reset[22] == RST
        assert reset[:4] == packet(4001, SYN, dport=444)[2:4] + (4001).to_bytes(
            2, "big"
        )

    run_steering_scenario(tmp_path, act)


def test_planned_stop_forwards_until_the_fabric_detects_it(tmp_path):
    async def act(site):
        process = await site.start("127.0.0.2")
        await site.wait_status("127.0.0.2", 200)
        site.send("127.0.0.2", packet(4001, SYN))
        tag = int.from_bytes((await receive(site.server))[8:][24:28], "big")
        await wait_metrics(site)
        process.send_signal(SIGTERM)
        await site.wait_status("127.0.0.2", 503)
        site.send("127.0.0.2", packet(4001, ACK, tag=tag, ack=7))
        await receive(site.server)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            assert await process.wait() == 0

    run_steering_scenario(tmp_path, act)


def test_planned_stop_forwards_all_new_flows_that_reach_it_before_its_end(tmp_path):
    # Guards against SYNs that were received in the last second of a process and are
    # lost with it, while the routers still send.
    async def act(site):
        process = await site.start("127.0.0.2")
        await site.wait_status("127.0.0.2", 200)
        await wait_metrics(site)
        process.send_signal(SIGTERM)
        sent = []
        forwarded = set()
        while process.returncode is None:
            port = 5001 + len(sent)
            sent.append((time(), port))
            site.send("127.0.0.2", packet(port, SYN))
            await anyio.sleep(0.005)
            # An unread socket of the default size drops what follows 256 packets.
            forwarded |= read_caller_ports(site.server)
        forwarded |= read_caller_ports(site.server)
        log = b"".join([data async for data in process.stdout])
        lines = [loads(line) for line in log.splitlines()]
        [stopped_at] = [line["t"] for line in lines if line["event"] == STOPPED]
        due = {port for at, port in sent if at < stopped_at}
        assert len(due) > 50
        assert due <= forwarded

    run_steering_scenario(tmp_path, act)


@pytest.mark.parametrize("signal", [SIGHUP, SIGTERM])
def test_signals_until_the_end_of_a_planned_stop_change_nothing(tmp_path, signal):
    # Guards against a signal that ends the process between its last task and its exit,
    # with packets that it has received but not yet forwarded.
    async def act(site):
        process = await site.start("127.0.0.2")
        await site.wait_status("127.0.0.2", 200)
        await wait_metrics(site)
        process.send_signal(SIGTERM)
        log = b""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while STOPPED.encode() not in log:
                log += await process.stdout.receive()
            while process.returncode is None:
                # Unlike this, send_signal() may take the exit status from asyncio.
                with suppress(ProcessLookupError):
                    kill(process.pid, signal)
                await anyio.sleep(0.0005)
        assert process.returncode == 0

    run_steering_scenario(tmp_path, act)


def test_stop_during_the_start_is_graceful(tmp_path):
    # Guards against a signal that is lost because the event loop is not running yet:
    # an instance answers readiness polls before that.
    async def act(site):
        process = await site.start("127.0.0.2")
        await site.wait_status("127.0.0.2", 200)
        process.send_signal(SIGTERM)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            assert await process.wait() == 0

    run_steering_scenario(tmp_path, act)


async def wait_metrics(site):
    """Wait for the metrics, which are served once the event loop has started."""
    address = Address("127.0.0.2", site.ports["metrics"])
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while True:
            try:
                return (await http_get(address, "/metrics")).body.decode()
            except OSError:
                await anyio.sleep(0.05)


def test_metrics_are_served_and_invalid_reload_keeps_the_settings(tmp_path):
    async def act(site):
        process = await site.start("127.0.0.2")
        await site.wait_status("127.0.0.2", 200)
        assert "magnoliaslip_ready 1.0" in await wait_metrics(site)
        site.settings("127.0.0.2", log_level="ERROR", id="")
        process.send_signal(SIGHUP)
        output = b""
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while b"SETTINGS_KEPT" not in output:
                output += await process.stdout.receive()
        assert process.returncode is None

    run_steering_scenario(tmp_path, act)


@pytest.mark.parametrize("change", [{"zone": 5}, {"unknown": 1}, {"control": "x"}])
def test_invalid_settings_end_the_start_with_a_remedy(tmp_path, change):
    async def act(site):
        process = await site.start("127.0.0.2", **change)
        with anyio.fail_after(WAIT_TIMEOUT_S):
            assert await process.wait() == 1
            assert b"Remedy: " in await process.stderr.receive()

    run_steering_scenario(tmp_path, act)


def test_operator_commands_show_the_state_of_a_running_instance(tmp_path):
    async def act(site):
        await site.start("127.0.0.2")
        await site.wait_status("127.0.0.2", 200)
        control = f"127.0.0.2:{site.ports['control']}"
        await wait_metrics(site)
        output = await run_ops("status", control)
        assert "zone a, ready" in output and "i-5c" in output
        output = await run_ops(
            "explain", "127.0.0.9:4001", "198.18.0.1:443", "--instance", control
        )
        assert "a new flow goes to i-5c" in output
        output = await run_ops("check", str(tmp_path / "127.0.0.2.jsonc"))
        assert "valid" in output

    run_steering_scenario(tmp_path, act)


async def run_ops(*args):
    done = await anyio.run_process(
        [executable, "-m", "magnoliaslip.ops", "steering", *args], check=False
    )
    assert done.returncode == 0, done.stderr
    return done.stdout.decode()
