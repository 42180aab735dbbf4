"""Stand-ins of the platform for the scripts in the folders beside this one.

They follow `PROTOCOL.md`: store, routers, backends and clients in one process, and the
instances as separate processes, started with the command of the deploy file.
"""

import asyncio
import os
import sys
import tempfile
import tomllib
from base64 import b64encode
from collections import deque
from collections.abc import Callable, Coroutine
from contextlib import suppress
from json import dumps
from pathlib import Path
from random import Random
from re import sub
from signal import SIGCONT, SIGINT, SIGKILL, SIGTERM
from socket import AF_INET, SOCK_DGRAM, SOCK_STREAM, inet_aton, inet_ntoa
from socket import socket as Socket  # noqa: N812
from struct import Struct
from time import monotonic, time
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit
from zlib import crc32

ROOT = Path(__file__).resolve().parents[2]
SYN, ACK, FIN, RST = 16, 2, 8, 4
HEADER = Struct(">HH4s4sIIHBBII")
POLL_INTERVAL_S = 0.5
MISSES = 2
SYN_TIMES_S = (0.0, 0.2, 0.6)
SYN_END_S = 1.4
COPY_DELAYS_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6)
HEARTBEAT_S = 1.2
COLD_S = 2.0
HISTORY_S = 20.0
CONTACT_S = 4.0
RESTART_DELAY_S = 0.2
TIME_LIMIT_S = 110.0
# A request that begins so asks the backend to close the flow after its response.
CLOSE = b"close"


class Packet(NamedTuple):
    """One packet: the fields of its header, and its data."""

    sport: int
    dport: int
    src: bytes
    dst: bytes
    seq: int
    ack: int
    flags: int
    pad: int
    echo: int
    sum: int
    data: bytes

    def encode(self) -> bytes:
        """Return the bytes of the packet."""
        head = HEADER.pack(
            *self[:6], len(self.data), self.flags, self.pad, self.echo, self.sum
        )
        return head + self.data

    @classmethod
    def decode(cls, raw: bytes) -> "Packet":
        """Decode the bytes of a packet."""
        fields = HEADER.unpack_from(raw)
        return cls(*fields[:6], *fields[7:], raw[HEADER.size :])


def udp_socket(
    host: str, port: int, handle: Callable[[bytes, tuple[str, int]], None]
) -> Socket:
    """Open a UDP socket that the running loop reads."""
    sock = Socket(AF_INET, SOCK_DGRAM)
    sock.bind((host, port))
    sock.setblocking(False)

    def read() -> None:
        with suppress(BlockingIOError):
            while True:
                data, source = sock.recvfrom(2048)
                handle(data, source)

    asyncio.get_running_loop().add_reader(sock, read)
    return sock


def close_socket(sock: Socket) -> None:
    """Close a socket that the running loop reads."""
    asyncio.get_running_loop().remove_reader(sock)
    sock.close()


def free_port(hosts: list[str], taken: set[int]) -> int:
    """Return a port that is free for TCP and UDP on all hosts."""
    rng = Random()
    for _ in range(200):
        port = rng.randint(20000, 32000)
        if port in taken:
            continue
        try:
            for host in hosts:
                for kind in (SOCK_DGRAM, SOCK_STREAM):
                    with Socket(AF_INET, kind) as sock:
                        sock.bind((host, port))
        except OSError:
            continue
        taken.add(port)
        return port
    raise RuntimeError("no free port")


class Store:
    """The platform's store: items with revisions, lists and watches."""

    def __init__(self) -> None:
        self.revision = 0
        self.items: dict[str, dict[str, Any]] = {}
        # The time, revision, key and encoded event of each change, oldest first.
        self.history: deque[tuple[float, int, str, bytes]] = deque()
        # Revision of the last change that is no longer in the history.
        self._forgotten = 0
        # The entries of backends as last written, without `sequence`.
        self._entries: dict[str, dict[str, Any]] = {}
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._calls: set[asyncio.Task[Any]] = set()

    async def serve(self, host: str, port: int) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._connected, host, port)

    async def close(self) -> None:
        """Stop listening, and end the calls that wait."""
        if self._server is not None:
            self._server.close()
        for call in self._calls:
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)

    def put(self, key: str, value: Any) -> None:
        """Write an item."""
        self._entries.pop(key, None)
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        text = b64encode(dumps(value).encode()).decode()
        self.items[key] = {
            "key": key,
            "value": text,
            "revision": self.revision,
            "created": created,
            "lease": 0,
        }
        self._add(self.items[key])

    def put_entry(self, key: str, value: dict[str, Any]) -> None:
        """Write an entry of a backend if more than `sequence` changes."""
        if self._entries.get(key) != (fixed := {**value, "sequence": 0}):
            self.put(key, value)
            self._entries[key] = fixed

    def remove(self, key: str) -> None:
        """Remove an item."""
        if key in self.items:
            self.revision += 1
            del self.items[key]
            self._add({"key": key, "revision": self.revision, "removed": True})

    def _add(self, event: dict[str, Any]) -> None:
        now = monotonic()
        encoded = dumps(event).encode()
        self.history.append((now, event["revision"], event["key"], encoded))
        while self.history[0][0] < now - HISTORY_S:
            self._forgotten = self.history.popleft()[1]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if (call := asyncio.current_task()) is not None:
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
        try:
            await self._serve_call(reader, writer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass  # the caller went away
        finally:
            writer.close()

    async def _serve_call(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        head = await reader.readuntil(b"\r\n\r\n")
        url = urlsplit(head.split(b" ")[1].decode())
        query = {key: each[0] for key, each in parse_qs(url.query).items()}
        status, data = await self._answer(url.path, query)
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode()
            + data
        )
        await writer.drain()

    async def _answer(self, path: str, query: dict[str, str]) -> tuple[int, bytes]:
        prefix = query.get("prefix", "")
        if path == "/v1/kv-range":
            keys = sorted(k for k in self.items if k.startswith(prefix))
            keys = [key for key in keys if key > query.get("after", "")]
            page = [self.items[key] for key in keys[:500]]
            body = {"items": page, "has_more": len(keys) > 500, "as_of": self.revision}
            return 200, dumps(body).encode()
        if path == "/v1/kv-watch":
            after, end = int(query["after"]), monotonic() + int(query["wait_ms"]) / 1000
            while True:
                if after < self._forgotten:
                    return 410, b"{}"
                events = [
                    encoded
                    for _, revision, key, encoded in self.history
                    if revision > after and key.startswith(prefix)
                ]
                if events or monotonic() >= end:
                    tail = f'], "as_of": {self.revision}}}'.encode()
                    return 200, b'{"events": [' + b", ".join(events) + tail
                with suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), end - monotonic())
        return 404, b"{}"


class Instance:
    """One machine: its process and its state of rotation."""

    def __init__(self, fleet: "Fleet", zone: str, number: int, host: str) -> None:
        self.fleet, self.zone, self.host = fleet, zone, host
        self.name = f"frontend-{zone}-{number}"
        self.process: asyncio.subprocess.Process | None = None
        self.misses = MISSES
        self.stopping = False
        # Monotonic time of the end of the last disruption, for the rule "in touch".
        self.disturbed_at = monotonic()
        self.exits: list[int] = []

    @property
    def in_rotation(self) -> bool:
        """Whether the routers send packets to it."""
        return self.misses < MISSES

    def in_touch(self, now: float) -> bool:
        """Whether it was without disruption for `contact_ms`."""
        return now - self.disturbed_at >= CONTACT_S

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        fleet = self.fleet
        ports = fleet.ports
        values = {
            "node_name": self.name,
            "zone": self.zone,
            "bind_addresses": {
                "datagram_listener": f"{self.host}:{ports['packets']}",
                "readiness_address": f"{self.host}:{ports['readiness']}",
                "control": f"{self.host}:{ports['control']}",
            },
            "platform": {"address": fleet.store_address},
            "seeds": [f"{i.host}:{ports['control']}" for i in fleet.instances[:3]],
        }
        role = fleet.role
        path = fleet.folder / f"{self.name}.settings"
        path.write_text(render((ROOT / role["template"]).read_text(), values))
        command = [render(word, values) for word in role["run"].split()]
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["MAGNOLIASLIP_CONFIG"] = str(path)
        with (fleet.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env=env,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process, a disruption of the machine."""
        self.disturbed_at = monotonic()
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def restart(self) -> None:
        """Stop the process by SIGTERM and start it again, as planned work."""
        self.signal(SIGTERM)
        if self.process is not None:
            await self.process.wait()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()
        self.disturbed_at = monotonic()

    async def end(self) -> None:
        """Kill the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(SIGCONT)
            self.process.send_signal(SIGKILL)
            await self.process.wait()

    async def poll(self) -> None:
        """Poll the readiness, as the routers do."""
        port = self.fleet.ports["readiness"]
        while True:
            begun, ready = monotonic(), False
            writer: asyncio.StreamWriter | None = None
            try:
                async with asyncio.timeout(POLL_INTERVAL_S):
                    reader, writer = await asyncio.open_connection(self.host, port)
                    writer.write(
                        f"GET /v1/readiness HTTP/1.1\r\nHost: {self.host}\r\n"
                        "Connection: close\r\n\r\n".encode()
                    )
                    ready = b" 200 " in await reader.readline()
            except (OSError, TimeoutError):
                pass  # a miss
            finally:
                if writer is not None:
                    writer.close()
            was = self.in_rotation
            self.misses = 0 if ready else self.misses + 1
            if was != self.in_rotation:
                state = "joins" if ready else "leaves"
                self.fleet.note(f"{self.name} {state} the rotation")
            await asyncio.sleep(max(0.0, begun + POLL_INTERVAL_S - monotonic()))


class Backend:
    """One incarnation of a backend server.

    Attributes:
        opened: Time, time at which the client sent it, and flow, of each opening
            packet that it took.
        beat_at: Time of its last heartbeat.
    """

    def __init__(
        self,
        fleet: "Fleet",
        ident: int,
        service: str,
        zone: str,
        *,
        port: int = 0,
        cold_s: float = 0.0,
        work_s: float = 0.055,
        closes: bool = False,
    ) -> None:
        self.fleet, self.ident, self.service, self.zone = fleet, ident, service, zone
        self.name = f"i-{ident:010x}"
        self.started_at, self.born = monotonic(), int(time() * 1000)
        self.cold_s, self.work_s, self.closes = cold_s, work_s, closes
        self.state, self.sequence = "ready", 0
        self.beat_at = 0.0
        # By addresses and ports: own first number, then whether the flow is open.
        self.flows: dict[tuple[Any, ...], list[Any]] = {}
        self.ended: set[tuple[Any, ...]] = set()
        self.answers: dict[tuple[Any, ...], Packet | None] = {}
        self.opened: list[tuple[float, float, tuple[Any, ...]]] = []
        self.host = f"{fleet.net}.8.{1 + ident % 250}"
        self.sock = udp_socket(self.host, port, self.receive)
        self.port = self.sock.getsockname()[1]
        self.alive = True
        self._beat = asyncio.create_task(self._write_entry())

    async def _write_entry(self) -> None:
        """Write the entry in every heartbeat; it changes with more than `sequence`."""
        while True:
            remaining_s = max(0.0, self.started_at + self.cold_s - monotonic())
            self.register(remaining_s)
            self.beat_at = monotonic()
            await asyncio.sleep(HEARTBEAT_S)

    def register(self, remaining_s: float = 0.0) -> None:
        """Write the entry in the store."""
        self.sequence += 1
        self.fleet.store.put_entry(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": self.zone,
                "version": "v1",
                "slots": 4,
                "state": self.state,
                "warmup_remaining_ms": round(remaining_s * 1000),
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    def drain(self) -> None:
        """Report that it is draining: each flow is closed after its next response."""
        self.state, self.closes = "draining", True
        self.register()

    def end(self) -> None:
        """End without a word, as in a crash."""
        if self.alive:
            self.alive = False
            self._beat.cancel()
            close_socket(self.sock)

    def receive(self, raw: bytes, source: tuple[str, int]) -> None:
        """Handle a datagram of the system."""
        fleet = self.fleet
        if int.from_bytes(raw[:8], "big") not in (0, self.ident):
            return
        packet = Packet.decode(raw[8:])
        flow = packet[:4]
        fleet.on_forwarded(self, packet, source[0])
        if packet.flags & SYN:
            if flow not in self.flows:
                self.ended.discard(flow)
                self.flows[flow] = [fleet.rng.getrandbits(31), False]
                sent_at = fleet.sent_at.get(flow, 0.0)
                self.opened.append((monotonic(), sent_at, flow))
            self.reply(packet, SYN | ACK, self.flows[flow][0], packet.seq + 1)
            return
        state = self.flows.get(flow)
        if state is not None and not state[1]:
            if packet.ack == state[0] + 1:
                state[1] = True
                fleet.on_open(self, flow)
            else:
                state = None  # this end of the handshake is another backend's
        if state is None:
            if packet.flags & RST:
                return
            if packet.flags & FIN and flow in self.ended:
                self.reply(packet, ACK, packet.ack, packet.seq + 1)
            elif packet.data or flow not in self.ended:
                fleet.note(f"{self.name} resets {name_of(flow)}: it doesn't hold it")
                self.reply(packet, RST, packet.ack, 0)
            return
        if packet.flags & RST:
            del self.flows[flow]
        elif packet.data:
            key = (flow, packet.seq)
            if key not in self.answers:
                self.answers[key] = None
                fleet.on_run(self, packet)
                loop = asyncio.get_running_loop()
                loop.call_later(self.work_s, self._respond, packet, key)
            elif (answer := self.answers[key]) is not None:
                fleet.to_client(answer)
        elif packet.flags & FIN:
            self.reply(packet, ACK, packet.ack, packet.seq + 1)
            del self.flows[flow]
            self.ended.add(flow)

    def _respond(self, packet: Packet, key: tuple[Any, ...]) -> None:
        if self.alive and packet[:4] in self.flows:
            closes = self.closes or packet.data.startswith(CLOSE)
            flags = ACK | FIN if closes else ACK
            body = b"200 " + packet.data
            ack = packet.seq + len(packet.data)
            self.answers[key] = self.reply(packet, flags, packet.ack, ack, body)

    def reply(
        self, packet: Packet, flags: int, seq: int, ack: int, data: bytes = b""
    ) -> Packet:
        """Answer the client directly, with the last echo that was received."""
        answer = Packet(
            packet.dport,
            packet.sport,
            packet.dst,
            packet.src,
            seq & 0xFFFFFFFF,
            ack & 0xFFFFFFFF,
            flags,
            0,
            packet.echo,
            self.ident & 0xFFFFFFFF,  # stands for the keyed sum: it is not 0
            data,
        )
        self.fleet.to_client(answer)
        return answer


class Client:
    """One client; its flows come from its own address."""

    def __init__(self, fleet: "Fleet", number: int, zone: str) -> None:
        self.fleet, self.zone = fleet, zone
        self.host = f"{fleet.net}.9.{number}"
        self.packed = inet_aton(self.host)
        self.next_port = 1025
        self.flows: dict[int, Flow] = {}
        self.sock = udp_socket(self.host, fleet.ports["packets"], self._receive)
        fleet.clients.append(self)

    def new_port(self) -> int:
        """Return a port that was not used before."""
        self.next_port += 1
        return self.next_port

    def flow(self, endpoint: tuple[str, int], *, port: int = 0) -> "Flow":
        """Begin a flow, by default from a new port."""
        port = port or self.new_port()
        flow = self.flows[port] = Flow(self, port, endpoint)
        return flow

    def _receive(self, raw: bytes, source: tuple[str, int]) -> None:
        packet = Packet.decode(raw)
        if packet.dport in self.flows:
            self.flows[packet.dport].receive(packet)


class Flow:
    """The client's end of a flow.

    Attributes:
        reset_by: Sum of the reset that ended it; 0 if the system sent it.
    """

    def __init__(self, client: Client, port: int, endpoint: tuple[str, int]) -> None:
        self.client, self.port = client, port
        self.dst, self.dport = inet_aton(endpoint[0]), endpoint[1]
        self.key = (port, self.dport, client.packed, self.dst)
        self.seq, self.ack = client.fleet.rng.getrandbits(30), 0
        self.echo = 0
        self.opened = self.closed = False
        self.peer_fin = False
        self.reset_by: int | None = None
        self.answer: bytes | None = None
        self._progress = asyncio.Event()

    def send(self, flags: int, *, ack: int | None = None, data: bytes = b"") -> None:
        """Send a packet by way of the routers, with the last echo received."""
        packet = Packet(
            self.port,
            self.dport,
            self.client.packed,
            self.dst,
            self.seq & 0xFFFFFFFF,
            (self.ack if ack is None else ack) & 0xFFFFFFFF,
            flags,
            0,
            self.echo,
            1,
            data,
        )
        self.client.fleet.to_instance(self.client.zone, packet)

    async def _wait(self, seconds: float, done: Callable[[], bool]) -> bool:
        end = monotonic() + seconds
        while not done() and self.reset_by is None and (left := end - monotonic()) > 0:
            self._progress.clear()
            with suppress(TimeoutError):
                await asyncio.wait_for(self._progress.wait(), left)
        return done()

    async def open(self) -> bool:
        """Open the flow: a SYN and two copies, and 1.4 s in all."""
        begun = monotonic()
        self.client.fleet.sent_at[self.key] = begun
        for copy in range(len(SYN_TIMES_S)):
            self.send(SYN, ack=copy)
            after = [*SYN_TIMES_S, SYN_END_S][copy + 1]
            if await self._wait(begun + after - monotonic(), lambda: self.opened):
                return True
            if self.reset_by is not None:
                return False
        return self.opened

    async def request(self, data: bytes, *, deadline_s: float = 2.5) -> bytes | None:
        """Send a request of one packet; returns the response, None without one."""
        end, self.answer = monotonic() + deadline_s, None
        for delay_s in COPY_DELAYS_S:
            self.send(ACK, data=data)
            wait_s = min(delay_s, end - monotonic())
            if await self._wait(wait_s, lambda: self.answer is not None):
                break
            if self.reset_by is not None or monotonic() >= end:
                return None
        if self.answer is not None:
            self.seq += len(data)
            self.send(ACK)
        return self.answer

    async def close(self) -> None:
        """End the flow with a FIN, after that of the backend if it sent one."""
        if self.reset_by is None:
            self.closed = True
            self.send(ACK | FIN)
            self.seq += 1
            await asyncio.sleep(0)

    def receive(self, packet: Packet) -> None:
        """Handle a packet of a backend, or a reset of the system."""
        if packet.flags & RST:
            if self.reset_by is None and not self.closed:
                self.reset_by = packet.sum
                self.client.fleet.on_reset(self, packet)
        else:
            # "The client and the backend each place in their own packets the last
            # `echo` that they received on a flow."
            self.echo = packet.echo
            if packet.flags & SYN:
                if not self.opened:
                    self.opened = True
                    self.seq, self.ack = packet.ack, packet.seq + 1
                    self.send(ACK)
            elif packet.data and packet.seq == self.ack and self.answer is None:
                self.ack += len(packet.data)
                self.answer = packet.data
            if packet.flags & FIN and not self.peer_fin:
                self.peer_fin = True
                self.ack += 1
        self._progress.set()


class Fleet:
    """A small deployment; use as an asynchronous context manager.

    Args:
        zones: Number of instances by zone.
        config: What the operator writes to `op/config`.
        record: File that is written.
    """

    def __init__(
        self, zones: dict[str, int], config: dict[str, Any], record: Path
    ) -> None:
        self.zones, self.config, self.record = zones, config, record
        self.rng = Random(1)
        # Scripts may run side by side, each on loopback addresses of its own.
        self.net = f"127.{Random().randint(20, 250)}"
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = deploy["roles"]["instance"]
        self.instances: list[Instance] = []
        self.backends: list[Backend] = []
        self.clients: list[Client] = []
        # Time at which the first SYN of a flow was sent.
        self.sent_at: dict[tuple[Any, ...], float] = {}
        # The backend of each open flow, and the time since which it is open.
        self.open_at: dict[tuple[Any, ...], tuple[Backend, float]] = {}
        # Host of the instance that forwarded the last packet of a flow to a backend.
        self.forwarded_by: dict[tuple[tuple[Any, ...], int], str] = {}
        # Each request that a backend began to work on.
        self.ran: list[tuple[Backend, bytes]] = []
        self.resets: list[tuple[float, Flow, Packet]] = []
        self.lines: deque[str] = deque(maxlen=20_000)
        self.began = monotonic()
        self.broken: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def __aenter__(self) -> "Fleet":
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        for z, (zone, count) in enumerate(self.zones.items()):
            for n in range(count):
                host = f"{self.net}.7.{10 * z + n + 1}"
                self.instances.append(Instance(self, zone, n + 1, host))
        taken: set[int] = set()
        hosts = [i.host for i in self.instances] + [f"{self.net}.9.{n}" for n in (1, 2)]
        self.ports = {
            name: free_port(hosts, taken)
            for name in ("packets", "readiness", "control")
        }
        store_port = free_port([f"{self.net}.6.1"], taken)
        self.store_address = f"{self.net}.6.1:{store_port}"
        self.store = Store()
        await self.store.serve(f"{self.net}.6.1", store_port)
        self.store.put("op/config", self.config)
        self._router = udp_socket(f"{self.net}.6.1", 0, lambda data, source: None)
        return self

    async def start(self) -> None:
        """Start all instances, and wait until they are in touch and in rotation."""
        for instance in self.instances:
            await instance.start()
            self._tasks.append(asyncio.create_task(instance.poll()))
        async with asyncio.timeout(30):
            while not all(each.in_rotation for each in self.instances):
                await asyncio.sleep(0.05)
        await asyncio.sleep(CONTACT_S + 0.5)
        for instance in self.instances:
            instance.disturbed_at = monotonic() - CONTACT_S
        self.note("all instances serve")

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._note_store_errors()
        for instance in self.instances:
            await instance.end()
        for backend in self.backends:
            backend.end()
        for client in self.clients:
            close_socket(client.sock)
        close_socket(self._router)
        await self.store.close()
        self.record.write_text("\n".join(self.lines) + "\n")
        await asyncio.sleep(0.05)  # lets the loop close what was ended
        self._temporary.cleanup()

    def _note_store_errors(self) -> None:
        """Note what the instances logged of reads of the store that failed."""
        for instance in self.instances:
            log = (self.folder / f"{instance.name}.log").read_text()
            for line in log.splitlines():
                if '"PLATFORM_' in line or '"HISTORY_LOST"' in line:
                    self.note(f"log of {instance.name}: {line[:300]}")

    def note(self, text: str) -> None:
        """Write a line to the record."""
        self.lines.append(f"{monotonic() - self.began:8.3f} {text}")

    def break_rule(self, text: str) -> None:
        """Record that the rule was broken."""
        self.broken.append(text)
        self.note(f"BROKEN {text}")

    def add_backend(self, service: str, zone: str, **options: Any) -> Backend:
        """Start a backend with a new identifier."""
        ident = options.pop("ident", 0) or self.rng.getrandbits(39) | 1 << 38
        backend = Backend(self, ident, service, zone, **options)
        self.backends.append(backend)
        return backend

    def to_instance(self, zone: str, packet: Packet) -> None:
        """Forward a packet of a client as the routers do, with `hash` `mod`."""
        in_zone = [i for i in self.instances if i.zone == zone]
        ready = [i for i in in_zone if i.in_rotation]
        if 2 * len(ready) >= len(in_zone):
            group = ready
        elif ready:
            group = in_zone
        else:
            group = [i for i in self.instances if i.in_rotation] or in_zone
        flow = HEADER.pack(*packet[:4], *(0,) * 7)[:12]
        instance = group[crc32(flow) % len(group)]
        if packet.flags & SYN or packet.data:
            what = "SYN" if packet.flags & SYN else packet.data[:20].decode()
            name = name_of(packet[:4])
            self.note(f"{name} sends {what}, echo {packet.echo:x}, by {instance.name}")
        with suppress(OSError):
            address = (instance.host, self.ports["packets"])
            self._router.sendto(packet.encode(), address)

    def to_client(self, packet: Packet) -> None:
        """Send a packet of a backend to its client."""
        address = (inet_ntoa(packet.dst), self.ports["packets"])
        with suppress(OSError):
            self._router.sendto(packet.encode(), address)

    def on_forwarded(self, backend: Backend, packet: Packet, host: str) -> None:
        """Note a packet that an instance sent to a backend."""
        self.forwarded_by[packet[:4], backend.ident] = host
        if packet.flags & SYN or packet.data:
            what = "SYN" if packet.flags & SYN else packet.data[:20].decode()
            flow = name_of(packet[:4])
            self.note(f"{backend.name} gets {what} of {flow} from {host}")

    def on_open(self, backend: Backend, flow: tuple[Any, ...]) -> None:
        """Note that a flow is open at a backend."""
        self.open_at[flow] = (backend, monotonic())
        self.note(f"{name_of(flow)} is open at {backend.name}")

    def on_run(self, backend: Backend, packet: Packet) -> None:
        """Note that a backend begins to work on a request."""
        self.ran.append((backend, packet.data))
        self.note(f"{backend.name} runs {packet.data[:20].decode()}")

    def on_reset(self, flow: Flow, packet: Packet) -> None:
        """Note that a client got a reset."""
        self.resets.append((monotonic(), flow, packet))
        sender = next(
            (b.name for b in self.backends if b.ident & 0xFFFFFFFF == packet.sum),
            "the system",
        )
        self.note(f"{name_of(flow.key)} gets a reset of {sender}")

    def foreign_resets(self, *, planned: bool = False) -> list[tuple[float, Flow, str]]:
        """Return resets of open flows that the flow's backend didn't send.

        Left out are those of flows whose backend has ended, and, unless the work is
        planned, those by way of an instance that wasn't in touch.

        Args:
            planned: Whether the disruption is planned work; then each one counts.
        """
        found = []
        for at, flow, packet in self.resets:
            if flow.key not in self.open_at or self.open_at[flow.key][1] > at:
                continue
            backend = self.open_at[flow.key][0]
            if packet.sum == backend.ident & 0xFFFFFFFF or not backend.alive:
                continue
            sender = next(
                (b for b in self.backends if b.ident & 0xFFFFFFFF == packet.sum), None
            )
            name = sender.name if sender else "the system"
            host = self.forwarded_by.get((flow.key, sender.ident), "") if sender else ""
            via = next((i for i in self.instances if i.host == host), None)
            if via is not None and not planned and not via.in_touch(at):
                self.note(f"excused: {via.name} isn't in touch, {name_of(flow.key)}")
                continue
            way = f" by way of {via.name}" if via else ""
            found.append((at, flow, f"{name}{way}, but it is open at {backend.name}"))
        return found


def name_of(flow: tuple[Any, ...]) -> str:
    """Return the addresses and ports of a flow as text, the client's first."""
    sport, dport, src, dst = flow
    return f"{inet_ntoa(src)}:{sport}>{inet_ntoa(dst)}:{dport}"


def render(text: str, values: dict[str, Any]) -> str:
    """Fill in a template of the deploy file: `{{a.b}}` and `{{a|json}}`."""

    def value(match: Any) -> str:
        name, _, form = match[1].partition("|")
        found: Any = values
        for part in name.split("."):
            found = found[part]
        return dumps(found) if form == "json" else str(found)

    return sub(r"\{\{([^}]+)\}\}", value, text)


def route(host: str, port: int, service: str, kind: str) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": f"r-{service}-{port}",
        "host": host,
        "prefix": f"/{port}/",
        "type": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def configuration(
    routes: list[dict[str, Any]], *, warmup_per_s: float = 0.0
) -> dict[str, Any]:
    """Return a configuration in full."""
    names = sorted({each["service"] for each in routes})
    services = [
        {
            "name": name,
            "health_check_path": "/health",
            "max_connections": 2000,
            "protocol": "h1",
            "tls": False,
            "warmup_s": COLD_S,
            "warmup_per_s": warmup_per_s,
        }
        for name in names
    ]
    return {
        "version": 7,
        "routes": routes,
        "services": services,
        "limits": {"idle_timeout_ms": 15000},
    }


def run_case(case: Callable[[bool], Coroutine[Any, Any, int]]) -> None:
    """Run a case; exit with 1 if the rule was broken, 0 if not, 2 if it can't run."""

    async def run() -> int:
        task = asyncio.ensure_future(case(os.environ.get("TROUBLE", "1") != "0"))
        for number in (SIGINT, SIGTERM):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(task, TIME_LIMIT_S)

    try:
        code = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as exc:
        print(f"the case couldn't run: {type(exc).__name__} {exc}", file=sys.stderr)
        code = 2
    sys.exit(code)
