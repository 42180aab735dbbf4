"""Packets per CPU second through the data path against a bare UDP relay.

Both sides use the same socket calls: batched ``recv`` and one ``sendto`` a packet.
A batch of datagrams waits in the receive buffer before each timed part, so that only
the receiving side's processor time is counted.
"""

from collections.abc import Callable
from contextlib import ExitStack
from socket import socket as Socket  # noqa: N812
from time import process_time

from magnoliaslip.bench.fleet import build_router, one_service
from magnoliaslip.bench.report import Figure
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import SystemClock
from magnoliaslip.core.links import Direction
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.dataplane.path import DataPath
from magnoliaslip.dataplane.udp import open_udp, receive_batch
from magnoliaslip.dataplane.udp_link import UdpPacketLink
from magnoliaslip.packet.flow_key import ACK, PSH, SYN, make_key
from magnoliaslip.packet.segment import Segment
from magnoliaslip.packet.tunnel import Relay

LOOPBACK = "127.0.0.1"
SERVICE = Address("198.51.100.10", 443)
ROUND_PACKETS = 1024
ROUNDS = 40
REPETITIONS = 7
FLOWS = 512
PAYLOAD = b"p" * 200


class DatagramSource:
    """Fills a receive buffer before a timed part drains it."""

    __slots__ = ("_sock", "_target")

    def __init__(self, sock: Socket, target: Address) -> None:
        self._sock = sock
        self._target = target

    def fill(self, datagrams: list[bytes]) -> None:
        """Send all datagrams to the target."""
        for datagram in datagrams:
            self._sock.sendto(datagram, self._target)


def _drain(sock: Socket, handle: Callable[[list[bytes]], None]) -> float:
    """Return the CPU seconds that it takes to handle all waiting datagrams."""
    started = process_time()
    while batch := receive_batch(sock):
        handle(batch)
    return process_time() - started


def _rate(
    source: DatagramSource,
    sock: Socket,
    rounds: list[list[bytes]],
    handle: Callable[[list[bytes]], None],
) -> float:
    seconds = 0.0
    count = 0
    for datagrams in rounds:
        source.fill(datagrams)
        seconds += _drain(sock, handle)
        count += len(datagrams)
    return count / seconds


def _packets(flags: int, first_caller_port: int, count: int) -> list[bytes]:
    return [
        Segment(
            make_key(Address("203.0.113.5", first_caller_port + index), SERVICE),
            flags,
            seq=1,
            ack=1 if flags & ACK else 0,
            payload=b"" if flags & SYN else PAYLOAD,
        ).encode()
        for index in range(count)
    ]


def measure_datapath() -> list[Figure]:
    """Measure established, opening and relayed packets in one run."""
    with ExitStack() as stack:
        sockets = [
            stack.enter_context(open_udp(Address(LOOPBACK, 0))) for _ in range(4)
        ]
        inlet, outlet, sink, sender = sockets
        target = Address(*inlet.getsockname())
        sink_address = Address(*sink.getsockname())
        source = DatagramSource(sender, target)
        metrics = Metrics()
        link = UdpPacketLink(
            outlet,
            outlet,
            egress=sink_address,
            control_address=lambda _: sink_address,
            metrics=metrics,
        )
        clock = SystemClock()
        router = build_router(clock, link, service=SERVICE, server=sink_address)
        path = DataPath(
            router, clock=clock, metrics=metrics, send=link.send, egress=sink_address
        )
        path.apply_snapshot(one_service(SERVICE, sink_address))

        def bare_relay(batch: list[bytes]) -> None:
            send = outlet.sendto
            for datagram in batch:
                send(datagram, sink_address)

        def handle_relays(batch: list[bytes]) -> None:
            for datagram in batch:
                path.handle_relay(datagram)

        flow_packets = _packets(ACK | PSH, 1024, FLOWS)
        established = [flow_packets * (ROUND_PACKETS // FLOWS)] * ROUNDS
        relayed = [
            [Relay(Direction.REQUEST, 1, packet).encode() for packet in established[0]]
        ] * ROUNDS
        rates: dict[str, list[float]] = {}
        ratios: dict[str, list[float]] = {}
        for repetition in range(REPETITIONS):
            first_port = 2048 + repetition * 4096
            opening = [
                _packets(SYN, first_port + index * FLOWS, FLOWS) for index in range(8)
            ]
            bare = _rate(source, inlet, established, bare_relay)
            rates.setdefault("bare_relay", []).append(bare)
            for name, rounds, handle in (
                ("established", established, path.handle_batch),
                ("opening", opening, path.handle_batch),
                ("relayed", relayed, handle_relays),
            ):
                rate = _rate(source, inlet, rounds, handle)
                rates.setdefault(name, []).append(rate)
                ratios.setdefault(name, []).append(rate / bare)
        return [
            Figure.of(f"datapath/{name}", values, "packets/cpu-s")
            for name, values in rates.items()
        ] + [
            Figure.of(f"datapath_ratio/{name}", values, "of bare relay")
            for name, values in ratios.items()
        ]
