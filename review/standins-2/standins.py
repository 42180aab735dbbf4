"""Stand-ins of the platform, callers and backend servers, and the instances under test.

Everything runs on loopback addresses. Only the standard library is used.
"""

# ruff: noqa: ANN001, ANN002, ANN201, ANN202, ANN204, ANN205, ANN206

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from base64 import b64encode
from collections import defaultdict
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from random import Random
from re import sub
from struct import Struct
from urllib.parse import parse_qs, urlsplit
from zlib import crc32

ROOT = Path(__file__).resolve().parents[2]
HEADER = Struct(">HH4s4sIIHBBII")
SYN, ACK, FIN, RST = 16, 2, 8, 4
METRICS_PORT = 9464
HELD, BROKEN, NOT_RUN = 0, 1, 2
SYN_COPIES_S = (0.2, 0.4, 0.8)
DATA_COPIES_S = (0.2, 0.4, 0.8, 1.6)
MASK = (1 << 32) - 1


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self.started = time.monotonic()

    def __call__(self, text):
        """Write a line with the seconds since the start."""
        with self._lock:
            print(f"{time.monotonic() - self.started:9.3f} {text}", file=self._file)

    def close(self):
        """Close the file."""
        with self._lock:
            self._file.close()
            self._file = open(os.devnull, "w")  # noqa: SIM115


class Store:
    """The platform's store: lists, watches and keys; linearizable and lossless."""

    def __init__(self, record):
        self.record = record
        self.items, self.events, self.revision = {}, [], 10
        self.changed = threading.Condition()
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *args):
                pass

            def do_GET(self):
                store.answer(self)

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def handle_error(self, request, client_address):
                pass

        self.server = Server(("127.0.0.1", 0), Handler)
        self.address = f"127.0.0.1:{self.server.server_address[1]}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def put(self, key, value):
        """Write a value; the return is the acknowledgement."""
        with self.changed:
            self.revision += 1
            item = {
                "key": key,
                "value": b64encode(json.dumps(value).encode()).decode(),
                "revision": self.revision,
                "created": self.revision,
                "lease": 0,
            }
            if key in self.items:
                item["created"] = self.items[key]["created"]
            self.items[key] = item
            self.events.append(item)
            self.changed.notify_all()
        text = json.dumps(value)
        text = text if len(text) < 2000 else f"{len(text)} bytes, {text[:60]}..."
        self.record(f"store acknowledged {key} = {text}")
        return time.monotonic()

    def remove(self, key):
        """Remove a key; the return is the acknowledgement."""
        with self.changed:
            self.revision += 1
            del self.items[key]
            self.events.append({"key": key, "revision": self.revision, "removed": True})
            self.changed.notify_all()
        self.record(f"store acknowledged the removal of {key}")
        return time.monotonic()

    def answer(self, handler):
        """Answer one call."""
        url = urlsplit(handler.path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        prefix = query.get("prefix", "")
        if url.path == "/v1/kv-range":
            with self.changed:
                keys = sorted(
                    key
                    for key in self.items
                    if key.startswith(prefix) and key > query.get("after", "")
                )
                page = {
                    "items": [self.items[key] for key in keys[:500]],
                    "has_more": len(keys) > 500,
                    "as_of": self.revision,
                }
        elif url.path == "/v1/kv-watch":
            page = self.watch(prefix, int(query["after"]), int(query["wait_ms"]))
        else:
            handler.send_error(404)
            return
        body = json.dumps(page).encode()
        handler.send_response(200)
        handler.send_header("Content-Type", "application/json")
        handler.send_header("Store-Era", "1")
        handler.send_header("Content-Length", str(len(body)))
        handler.end_headers()
        handler.wfile.write(body)

    def watch(self, prefix, after, wait_ms):
        """Wait for events after a revision."""
        deadline = time.monotonic() + wait_ms / 1000
        with self.changed:
            while True:
                events = [
                    event
                    for event in self.events
                    if event["revision"] > after and event["key"].startswith(prefix)
                ]
                remaining_s = deadline - time.monotonic()
                if events or remaining_s <= 0:
                    return {"events": events, "as_of": self.revision}
                self.changed.wait(remaining_s)


class Site:
    """A small deployment: the store, the instances and the routers.

    Args:
        zones: The zone of each instance.
    """

    def __init__(self, record, zones, *, seed=1):
        self.record, self.rng = record, Random(seed)
        self.store = Store(record)
        self.store_addresses = {}  # of proxies, by host
        self.folder = tempfile.TemporaryDirectory()
        base = f"127.{self.rng.randint(20, 200)}.{os.getpid() % 250}"
        self.base = base
        self.hosts = [f"{base}.{n + 1}" for n in range(len(zones))]
        self.zones = dict(zip(self.hosts, zones, strict=True))
        self.ports = self._pick_ports()
        self.processes = {}
        self.in_rotation = dict.fromkeys(self.hosts, False)
        self._misses = dict.fromkeys(self.hosts, 2)
        self._senders = threading.local()
        self.ended = False
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._threads = []

    def _pick_ports(self):
        names = ("datagram_listener", "readiness_address", "control")
        for _ in range(100):
            ports = {name: self.rng.randint(20000, 30000) for name in names}
            try:
                if len(set(ports.values())) < 3:
                    continue
                for host in self.hosts:
                    for port in (*ports.values(), METRICS_PORT):
                        with socket.socket() as tcp:
                            tcp.bind((host, port))
                        with socket.socket(type=socket.SOCK_DGRAM) as udp:
                            udp.bind((host, port))
                return ports
            except OSError:
                continue
        raise RuntimeError("no free ports")

    def settings(self, host):
        """Return the fields that the platform fills into the template."""
        role = self._deploy["roles"]["instance"]
        return {
            "node_name": f"frontend-{host}",
            "role": "instance",
            "machine_class": "frontend",
            "serves": role["serves"],
            "ip": host,
            "zone": self.zones[host],
            "region": "region",
            "zones": dict.fromkeys(self.zones.values(), "region"),
            "bind_addresses": {
                name: f"{host}:{port}" for name, port in self.ports.items()
            },
            "seeds": [f"{h}:{self.ports['control']}" for h in self.hosts[:3]],
            "platform": {"address": self.store_addresses.get(host, self.store.address)},
        }

    @staticmethod
    def render(text, fields):
        """Fill in ``{{a.b}}`` and ``{{a.b|json}}``."""

        def value(match):
            path, _, form = match[1].partition("|")
            found = fields
            for name in path.split("."):
                found = found[name]
            return json.dumps(found) if form == "json" else str(found)

        return sub(r"\{\{([^}]*)\}\}", value, text)

    def start(self, host):
        """Start the program of the deploy file on one machine."""
        role = self._deploy["roles"]["instance"]
        fields = self.settings(host)
        path = Path(self.folder.name) / f"{host}.settings"
        path.write_text(self.render((ROOT / role["template"]).read_text(), fields))
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {
            "MAGNOLIASLIP_CONFIG": str(path),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        log = open(Path(self.folder.name) / f"{host}.log", "ab")  # noqa: SIM115
        self.processes[host] = subprocess.Popen(
            self.render(role["run"], fields).split(),
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.record(f"started the instance at {host} in zone {self.zones[host]}")

    def start_all(self):
        """Start all instances and wait until the routers use them."""
        for host in self.hosts:
            self.start(host)
            thread = threading.Thread(target=self._poll, args=(host,), daemon=True)
            thread.start()
        deadline = time.monotonic() + 25
        while not all(self.in_rotation.values()):
            if time.monotonic() > deadline:
                raise RuntimeError("the instances did not become ready")
            time.sleep(0.05)
        self.record("all instances are in rotation")

    def _poll(self, host):
        while not self.ended:
            ready = False
            try:
                address = (host, self.ports["readiness_address"])
                with socket.create_connection(address, timeout=0.5) as conn:
                    conn.sendall(
                        b"GET /v1/readiness HTTP/1.1\r\nHost: node\r\n"
                        b"Connection: close\r\n\r\n"
                    )
                    ready = conn.recv(100).startswith(b"HTTP/1.1 200")
            except OSError:
                pass
            self._misses[host] = 0 if ready else self._misses[host] + 1
            was = self.in_rotation[host]
            self.in_rotation[host] = self._misses[host] < 2
            if was != self.in_rotation[host]:
                self.record(f"{host} in rotation: {self.in_rotation[host]}")
            time.sleep(0.5)

    def route(self, zone, datagram):
        """Send a caller's packet to an instance, as the routers do."""
        own = [host for host in self.hosts if self.zones[host] == zone]
        usable = [host for host in own if self.in_rotation[host]]
        if len(usable) * 2 < len(own):
            usable = own
        host = usable[crc32(datagram[:12]) % len(usable)]
        self.send(datagram, (host, self.ports["datagram_listener"]))
        return host

    def send(self, datagram, address):
        """Send a datagram from a socket of the calling thread."""
        if not hasattr(self._senders, "sock"):
            sock = socket.socket(type=socket.SOCK_DGRAM)
            sock.bind((f"{self.base}.250", 0))
            self._senders.sock = sock
        self._senders.sock.sendto(datagram, address)

    def logs(self, event):
        """Return the log lines of an event, by host."""
        found = defaultdict(list)
        for host in self.hosts:
            path = Path(self.folder.name) / f"{host}.log"
            if path.exists():
                for line in path.read_text(errors="replace").splitlines():
                    if f'"event":"{event}"' in line:
                        found[host].append(line)
        return found

    def end(self):
        """End all instances."""
        self.ended = True
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.store.server.shutdown()
        self.folder.cleanup()


class Packet:
    """A packet of the platform."""

    __slots__ = ("ack", "data", "dport", "dst", "echo", "flags", "seq", "sport", "src")

    def __init__(self, src, sport, dst, dport, flags, seq, ack, echo, data=b""):
        self.src, self.sport, self.dst, self.dport = src, sport, dst, dport
        self.flags, self.seq, self.ack = flags, seq & MASK, ack & MASK
        self.echo, self.data = echo, data

    def encode(self):
        """Return the datagram; the sum is over all but `echo`."""
        fields = [self.sport, self.dport, self.src, self.dst, self.seq, self.ack]
        fields += [len(self.data), self.flags, 0]
        total = crc32(HEADER.pack(*fields, 0, 0) + self.data)
        return HEADER.pack(*fields, self.echo, total) + self.data

    @classmethod
    def decode(cls, datagram):
        """Return the packet of a datagram."""
        sport, dport, src, dst, seq, ack, size, flags, _, echo, total = (
            HEADER.unpack_from(datagram)
        )
        packet = cls(src, sport, dst, dport, flags, seq, ack, echo, datagram[32:])
        if size != len(packet.data):
            raise ValueError("wrong length")
        own = HEADER.unpack(packet.encode()[:32])[-1]
        if total != own and not (flags & RST and total == 0):
            raise ValueError("wrong sum")
        return packet

    @property
    def flow(self):
        """Caller's address and port, and the endpoint, in a packet of the caller."""
        return self.src, self.sport, self.dst, self.dport

    def name(self):
        """Return the flow as text."""
        return (
            f"{socket.inet_ntoa(self.src)}:{self.sport}>"
            f"{socket.inet_ntoa(self.dst)}:{self.dport}"
        )


class Backend:
    """A backend server that follows the protocol; it answers each request with 200."""

    def __init__(self, site, number, zone, service, *, slots=4, work_s=0.02):
        self.site, self.record, self.zone = site, site.record, zone
        self.service, self.slots, self.work_s = service, slots, work_s
        self.number, self.id = number, f"i-{number:x}"
        self.sock = socket.socket(type=socket.SOCK_DGRAM)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
        self.sock.bind((f"{site.base}.{200 + number % 20}", 0))
        self.address = "{}:{}".format(*self.sock.getsockname())
        self.listening = True
        self.opening, self.flows = {}, {}
        self.opened = []  # when its opening packet arrived, flow, and what it was
        self.sequence = 0
        self.born_ms = int(time.time() * 1000)
        self.lock = threading.Lock()
        threading.Thread(target=self._receive, daemon=True).start()

    def register(self, *, state="ready", cold_ms=0):
        """Write the entry of the store; returns the time of the acknowledgement."""
        self.sequence += 1
        return self.site.store.put(
            f"servers/{self.id}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": self.slots,
                "state": state,
                "warmup_remaining_ms": cold_ms,
                "sequence": self.sequence,
                "born": self.born_ms,
            },
        )

    def restart(self):
        """Begin a new incarnation under the same id, which holds nothing."""
        with self.lock:
            self.opening, self.flows = {}, {}
            self.sequence = 0
            self.born_ms = int(time.time() * 1000)

    def _receive(self):
        while True:
            try:
                datagram = self.sock.recv(2048)
            except OSError:
                return
            with self.lock:
                self._handle(datagram)

    def _handle(self, datagram):
        intended = int.from_bytes(datagram[:8], "big")
        try:
            packet = Packet.decode(datagram[8:])
        except ValueError as exc:
            self.record(f"UNASKED {self.id} got a packet that nobody wrote: {exc}")
            return
        if intended not in (0, self.number):
            return
        flow = packet.flow
        if packet.flags & SYN:
            if not self.listening:
                self.record(f"{self.id} refused {packet.name()}: not listening")
                self._reply(packet, RST, packet.ack, 0)
                return
            if flow not in self.flows or self.flows[flow]["isn"] != packet.seq:
                known = self.opening.get(flow)
                if known is None or known[1] != packet.seq:
                    isn = self.site.rng.getrandbits(32)
                    known = self.opening[flow] = (isn, packet.seq)
                    self.on_syn(packet)
                self._reply(packet, SYN | ACK, known[0], packet.seq + 1)
            return
        state = self.flows.get(flow)
        if state is None:
            known = self.opening.get(flow)
            if known is None or packet.ack != (known[0] + 1) & MASK:
                self.record(f"{self.id} does not hold {packet.name()}: reset")
                self._reply(packet, RST, packet.ack, 0)
                return
            del self.opening[flow]
            state = self.flows[flow] = {
                "isn": known[1],
                "next": (known[1] + 1) & MASK,
                "seq": (known[0] + 1) & MASK,
                "answer": None,
            }
            self.on_open(packet)
        if packet.flags & RST:
            del self.flows[flow]
            return
        if packet.data and packet.seq == state["next"]:
            state["next"] = (packet.seq + len(packet.data)) & MASK
            head = packet.data.decode(errors="replace").splitlines()
            self.record(f"{self.id} runs {head[0]} of {packet.name()}")
            self._reply(packet, ACK, state["seq"], state["next"])
            timer = threading.Timer(self.work_s, self._answer, (packet, state))
            timer.daemon = True
            timer.start()
        elif packet.data:
            self._reply(packet, ACK, state["seq"], state["next"])
        if packet.flags & FIN and packet.seq + len(packet.data) & MASK == state["next"]:
            del self.flows[flow]
            self._reply(packet, FIN | ACK, packet.ack, packet.seq + 1)

    def on_syn(self, packet):
        """Called with the first SYN of a flow that it takes."""

    def on_open(self, packet):
        """Called when a flow is open here."""

    def _answer(self, packet, state):
        body = f"{self.service} {self.id}\n".encode()
        data = (
            b"HTTP/1.1 200 OK\r\nX-Magnoliaslip-Response-Signature: s\r\n"
            + f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        with self.lock:
            if self.flows.get(packet.flow) is state:
                reply = self._reply(packet, ACK, state["seq"], state["next"], data)
                state["seq"] = (state["seq"] + len(data)) & MASK
                state["answer"] = reply

    def _reply(self, packet, flags, seq, ack, data=b""):
        reply = Packet(
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            flags,
            seq,
            ack,
            packet.echo,
            data,
        )
        caller = (
            socket.inet_ntoa(packet.src),
            self.site.ports["datagram_listener"],
        )
        self.sock.sendto(reply.encode(), caller)
        return reply


class Caller:
    """A caller with its own address; flows are blocking calls of its threads."""

    def __init__(self, site, number, zone):
        self.site, self.zone, self.record = site, zone, site.record
        self.host = f"{site.base}.{100 + number}"
        self.address = socket.inet_aton(self.host)
        self.sock = socket.socket(type=socket.SOCK_DGRAM)
        self.sock.bind((self.host, site.ports["datagram_listener"]))
        self.flows = {}
        threading.Thread(target=self._receive, daemon=True).start()

    def _receive(self):
        while True:
            try:
                packet = Packet.decode(self.sock.recv(2048))
            except ValueError as exc:
                self.record(f"MIXED {self.host} got a packet that nobody wrote: {exc}")
                continue
            except OSError:
                return
            flow = self.flows.get(packet.dport)
            if flow is not None:
                flow.take(packet)


class Flow:
    """One connection of a caller."""

    def __init__(self, caller, port, endpoint):
        self.caller, self.port = caller, port
        self.dst, self.dport = socket.inet_aton(endpoint[0]), endpoint[1]
        self.isn = caller.site.rng.getrandbits(32)
        self.seq, self.ack, self.echo = (self.isn + 1) & MASK, 0, 0
        self.state, self.answer = "new", b""
        self.acked = self.seq
        self.changed = threading.Condition()
        self.syn_sent_at = 0.0
        caller.flows[port] = self

    def name(self):
        """Return the flow as text."""
        return (
            f"{self.caller.host}:{self.port}>{socket.inet_ntoa(self.dst)}:{self.dport}"
        )

    def _send(self, flags, seq, ack, echo, data=b""):
        packet = Packet(
            self.caller.address,
            self.port,
            self.dst,
            self.dport,
            flags,
            seq,
            ack,
            echo,
            data,
        )
        return self.caller.site.route(self.caller.zone, packet.encode())

    def take(self, packet):
        """Handle a packet of the other side."""
        with self.changed:
            if self.state in ("reset", "closed"):
                return
            if packet.flags & RST:
                self.state = "reset"
            elif packet.flags & SYN:
                self.echo = packet.echo
                if self.state == "new" and packet.ack == (self.isn + 1) & MASK:
                    self.state, self.ack = "open", (packet.seq + 1) & MASK
                    self._send(ACK, self.seq, self.ack, self.echo)
            else:
                self.echo = packet.echo
                self.acked = packet.ack
                if packet.data and packet.seq == self.ack:
                    self.ack = (self.ack + len(packet.data)) & MASK
                    self.answer += packet.data
                    self._send(ACK, self.seq, self.ack, self.echo)
                if packet.flags & FIN:
                    self.state = "closed"
            self.changed.notify_all()

    def _wait(self, seconds, done):
        with self.changed:
            self.changed.wait_for(done, seconds)
            return done()

    def open(self):
        """Open the flow; returns ``open``, ``reset`` or ``silent``."""
        for copy, wait_s in enumerate(SYN_COPIES_S):
            self.syn_sent_at = time.monotonic()
            self._send(SYN, self.isn, copy, 0)
            if self._wait(wait_s, lambda: self.state != "new"):
                return self.state
        self.state = "closed"
        return "silent"

    def request(self, method, path, request_id, deadline_s=1.5):
        """Send a request; returns its answer, or an empty one."""
        data = (
            f"{method} {path} HTTP/1.1\r\nHost: service\r\n"
            f"X-Magnoliaslip-Request-Id: {request_id}\r\nContent-Length: 0\r\n\r\n"
        ).encode()
        seq, self.seq = self.seq, (self.seq + len(data)) & MASK
        deadline = time.monotonic() + deadline_s
        self.answer = b""
        for wait_s in DATA_COPIES_S:
            self._send(ACK, seq, self.ack, self.echo, data)
            until = min(wait_s, deadline - time.monotonic())
            if self._wait(until, lambda: self.answer or self.state != "open"):
                break
            if self.acked == self.seq:
                self._wait(
                    deadline - time.monotonic(),
                    lambda: self.answer or self.state != "open",
                )
                break
        return self.answer

    def close(self):
        """Close the flow with a FIN."""
        if self.state == "open":
            self._send(FIN | ACK, self.seq, self.ack, self.echo)
            if not self._wait(0.2, lambda: self.state != "open"):
                self._send(FIN | ACK, self.seq, self.ack, self.echo)
                self._wait(0.2, lambda: self.state != "open")


def run_case(folder, body, zones):
    """Run a case and exit with its result.

    Args:
        folder: Folder of the case.
        body: Called with the site and whether to make the disruption; returns a text
            that says how the rule was broken, empty if it held.
        zones: The zone of each instance.
    """
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code, site = NOT_RUN, None
    try:
        site = Site(record, zones, seed=os.getpid())
        broken = body(site, trouble)
        code = BROKEN if broken else HELD
        text = f"BROKEN: {broken}" if broken else "the rule held"
    except Exception as exc:
        text = f"the case could not run: {exc!r}"
    finally:
        if site is not None:
            site.end()
    record(text)
    record.close()
    print(text)
    sys.stdout.flush()
    os._exit(code)
