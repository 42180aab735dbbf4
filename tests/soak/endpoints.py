"""Callers and backend servers that exchange the platform's packets on loopback."""

from asyncio import Event, get_running_loop, sleep, wait_for
from collections import namedtuple
from contextlib import suppress
from itertools import count
from socket import AF_INET, SOCK_DGRAM, inet_aton
from socket import socket as Socket  # noqa: N812
from struct import Struct

SYN, ACK, RST = 16, 2, 4
REPLY_BIT = 128  # set in `pad` by servers, so that a caller tells who reset its flow
_HEADER = Struct(">HH4s4sIIHBBII")
# Seconds after which an unanswered packet is sent again (protocol).
SYN_COPIES_S = (0.2, 0.4, 0.8)
DATA_COPIES_S = (0.2, 0.4, 0.8, 1.6, 1.6)
WORK_S = 0.02
# Pauses of a caller between the requests of a flow, in seconds; one in ten is long.
SHORT_PAUSE_S, LONG_PAUSE_S = 0.6, 7.0
MAX_TRIES = 3

Packet = namedtuple("Packet", "sport dport src dst seq ack flags pad tag data")


def encode(packet):
    head = packet[:6]
    return _HEADER.pack(
        *head, len(packet.data), packet.flags, packet.pad, packet.tag, 0
    ) + bytes(packet.data)


def decode(data):
    fields = _HEADER.unpack_from(data)
    return Packet(*fields[:6], *fields[7:10], data[_HEADER.size :])


def open_socket(host, port, on_datagram):
    """Open a UDP socket whose datagrams are handled by the running loop."""
    sock = Socket(AF_INET, SOCK_DGRAM)
    sock.bind((host, port))
    sock.setblocking(False)

    def read():
        with suppress(BlockingIOError):
            while True:
                data, (source, _) = sock.recvfrom(2048)
                on_datagram(data, source)

    get_running_loop().add_reader(sock, read)
    return sock


def close_socket(sock):
    get_running_loop().remove_reader(sock)
    sock.close()


class BackendServer:
    """One incarnation of a server; unknown flows are reset, as by the platform's."""

    def __init__(self, site, number, service, zone, *, port=0):
        self.site, self.service, self.zone = site, service, zone
        self.name, self.number = f"i-{number:x}", number
        # First number of each SYN+ACK, and the answers of the flows that are open.
        self.opening, self.flows = {}, {}
        self.left_at = self.draining_at = None
        self.sock = open_socket(f"127.0.8.{1 + number % 200}", port, self.receive)
        self.address = self.sock.getsockname()

    def close(self):
        close_socket(self.sock)

    def receive(self, data, instance):
        """Handle a packet that an instance forwarded."""
        ident, packet = int.from_bytes(data[:8], "big"), decode(data[8:])
        if ident not in (0, self.number) or self.site.is_cut(instance, self.zone):
            return
        key = packet[:4]
        self.site.promises.on_forwarded(self, packet, instance)
        if packet.flags & SYN:
            isn = self.opening.setdefault(key, self.site.rng.getrandbits(31))
            self._reply(packet, SYN | ACK, isn, packet.seq + 1)
            return
        if key not in self.flows and self.opening.get(key) == packet.ack - 1:
            self.flows[key] = {}
            self.site.promises.on_open(self, packet)
        if key not in self.flows:
            self.site.promises.on_server_reset(self, packet, instance)
            self._reply(packet, RST, packet.ack, 0)
        elif packet.data:
            answers = self.flows[key]
            if packet.seq not in answers:
                answers[packet.seq] = None
                self.site.promises.on_run(self, packet)
                get_running_loop().call_later(WORK_S, self._answer, packet, answers)
            elif answers[packet.seq]:
                self.site.to_caller(answers[packet.seq])

    def _answer(self, packet, answers):
        if self.left_at is None:
            text = bytes(packet.data) + b" " + self.name.encode()
            answers[packet.seq] = self._reply(
                packet, ACK, packet.ack, packet.seq + len(packet.data), text
            )

    def _reply(self, packet, flags, seq, ack, data=b""):
        reply = Packet(
            packet.dport,
            packet.sport,
            packet.dst,
            packet.src,
            seq,
            ack,
            flags,
            REPLY_BIT,
            packet.tag,
            data,
        )
        self.site.to_caller(reply)
        return reply


class CallerFlow:
    """One connection of a caller; it repeats the tag of the last packet received."""

    def __init__(self, caller, port, route):
        self.caller, self.port, self.route = caller, port, route
        self.seq, self.ack, self.tag = caller.site.rng.getrandbits(31), 0, 0
        self.opened = self.ended = False
        self.expected = b""
        self.progress = Event()

    def send(self, flags, *, ack=None, data=b""):
        host, port = self.route
        self.caller.site.to_instance(
            self.caller.zone,
            Packet(
                self.port,
                port,
                inet_aton(self.caller.host),
                inet_aton(host),
                self.seq,
                self.ack if ack is None else ack,
                flags,
                0,
                self.tag,
                data,
            ),
        )

    async def send_until(self, copies_s, send, done):
        """Send, and again after each wait; returns whether `done` became true."""
        for copy, wait_s in enumerate(copies_s):
            send(copy)
            end = get_running_loop().time() + wait_s
            while not done() and not self.ended:
                remaining_s = end - get_running_loop().time()
                self.progress.clear()
                try:
                    await wait_for(self.progress.wait(), remaining_s)
                except TimeoutError:
                    break
            if done() or self.ended:
                break
        return done()

    async def open(self):
        return await self.send_until(
            SYN_COPIES_S, lambda n: self.send(SYN, ack=n), lambda: self.opened
        )

    async def request(self, data):
        self.expected = data
        return await self.send_until(
            DATA_COPIES_S,
            lambda _: self.send(ACK, data=data),
            lambda: not self.expected,
        )

    def receive(self, packet):
        promises = self.caller.site.promises
        if packet.flags & RST:
            if not packet.pad & REPLY_BIT and self.opened and not self.ended:
                promises.on_reset(self)
            self.ended = True
            self.progress.set()
            return
        self.tag = packet.tag
        if packet.flags & SYN:
            if not self.opened:
                self.opened = True
                self.seq, self.ack = packet.ack, packet.seq + 1
                self.send(ACK)
        elif packet.data and self.expected:
            if bytes(packet.data).rpartition(b" ")[0] == self.expected:
                self.seq += len(self.expected)
                self.ack += len(packet.data)
                self.expected = b""
                self.send(ACK)
            elif packet.ack > self.seq:
                promises.fail("MIXED", f"{self.port} got {bytes(packet.data)!r}")
        self.progress.set()


class Caller:
    """Makes requests on flows of its own until stopped."""

    _ids = count(1)

    def __init__(self, site, number, zone):
        self.site, self.zone, self.host = site, zone, f"127.0.9.{number}"
        self.packed = inet_aton(self.host)
        self.flows = {}
        self._ports = count(2000)
        self.sock = open_socket(self.host, site.ports["packets"], self._on_datagram)

    def _on_datagram(self, data, source):
        self.receive(decode(data))

    def receive(self, packet):
        if packet.dport in self.flows:
            self.flows[packet.dport].receive(packet)

    async def run(self):
        rng = self.site.rng
        while True:
            await self._session(rng.choice(self.site.used_routes), rng.randint(1, 4))
            await sleep(rng.uniform(0.05, 0.3))

    async def _session(self, route, requests):
        idempotent = self.site.is_idempotent(route)
        kind = "get" if idempotent else "post"
        pending = [f"{kind}-{next(self._ids)}".encode() for _ in range(requests)]
        since = get_running_loop().time()
        for _ in range(MAX_TRIES):
            flow = CallerFlow(self, next(self._ports), route)
            self.flows[flow.port] = flow
            opened = await flow.open()
            while opened and pending and await flow.request(pending[0]):
                del pending[0]
                self.site.promises.served += 1
                is_long = self.site.rng.random() < 0.1
                most_s = LONG_PAUSE_S if is_long else SHORT_PAUSE_S
                await sleep(self.site.rng.uniform(0.0, most_s))
            flow.ended = True
            if not pending or (opened and not idempotent):
                break
        if pending:
            self.site.promises.on_unserved(pending[0], since)
