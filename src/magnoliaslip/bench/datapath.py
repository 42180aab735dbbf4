"""Packets per CPU second through the data path, compared with a bare UDP relay.

All kinds of packets use the same socket calls: batched ``recv`` and one ``sendto`` per
packet. Datagrams are queued in the receive buffer before the timer starts, so that
only the CPU time of the receiving side is counted. The kinds alternate in each round,
so that changes in the speed of the machine affect all of them.
"""

from collections.abc import Callable
from contextlib import ExitStack
from socket import socket as Socket  # noqa: N812
from time import monotonic, process_time, sleep

from magnoliaslip.bench.report import Figure
from magnoliaslip.bench.routers import build_router, one_service
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import SystemClock
from magnoliaslip.core.links import Direction
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.dataplane.path import DataPath
from magnoliaslip.dataplane.udp_link import UdpPacketLink
from magnoliaslip.dataplane.udp_socket import open_udp, receive_batch
from magnoliaslip.packet.flow_key import ACK, PSH, SYN, make_key
from magnoliaslip.packet.segment import Segment
from magnoliaslip.packet.tunnel import Relay
from magnoliaslip.placement.router import FlowRouter
from magnoliaslip.placement.slices import SETTLE_S

LOOPBACK = "127.0.0.1"
SERVICE = Address("198.51.100.10", 443)
# A round sends one packet of each flow for each kind of packet. The rounds of a
# repetition yield one value per kind.
ROUNDS = 16
REPETITIONS = 9
FLOWS = 512
PAYLOAD = b"p" * 200
BARE_RELAY = "bare_relay"

Handler = Callable[[list[bytes]], None]


class DatagramSource:
    """Fills a receive buffer and measures the CPU time to drain it.

    Args:
        sender: Socket to send from.
        receiver: Socket to drain.
    """

    __slots__ = ("_receiver", "_sender", "_target")

    def __init__(self, sender: Socket, receiver: Socket) -> None:
        self._sender = sender
        self._receiver = receiver
        self._target = Address(*receiver.getsockname())

    def measure_cpu_s(self, datagrams: list[bytes], handle: Handler) -> float:
        """Send the datagrams and return the CPU seconds to handle all of them."""
        for datagram in datagrams:
            self._sender.sendto(datagram, self._target)
        started = process_time()
        while batch := receive_batch(self._receiver):
            handle(batch)
        return process_time() - started


class Testbed:
    """Sockets and the data paths of two instances.

    Args:
        stack: Closes the sockets.

    Attributes:
        owner: Data path of the instance that owns every slice.
        non_owner: Data path of an instance without slices and certificates, which
            relays every packet.
        source: Sends datagrams and measures the CPU time to handle them.
    """

    def __init__(self, stack: ExitStack) -> None:
        sockets = [
            stack.enter_context(open_udp(Address(LOOPBACK, 0))) for _ in range(4)
        ]
        receiver, self.egress_socket, sink, sender = sockets
        self.sink_address = Address(*sink.getsockname())
        self.source = DatagramSource(sender, receiver)
        self.clock = SystemClock()
        self.metrics = Metrics()
        self.owner, self._owner_router = self._build_data_path(owner=True)
        self.non_owner, self._non_owner_router = self._build_data_path(owner=False)

    def wait_until_settled(self) -> None:
        """Wait until the owner has owned its slices for `SETTLE_S`."""
        deadline = monotonic() + SETTLE_S + 0.1
        while monotonic() < deadline:
            self.tick()
            sleep(0.05)

    def tick(self) -> None:
        """Run the periodic tasks, as an instance does every 100 ms."""
        self.owner.record_tick()
        self.non_owner.record_tick()
        self._owner_router.on_tick()
        self._non_owner_router.on_tick()

    def _build_data_path(self, *, owner: bool) -> tuple[DataPath, FlowRouter]:
        """Build the data path of an instance that owns every slice, or none."""
        sink = self.sink_address
        link = UdpPacketLink(
            self.egress_socket,
            self.egress_socket,
            egress=sink,
            control_address=lambda _: sink,
            metrics=self.metrics,
        )
        router = build_router(
            self.clock, link, service=SERVICE, server=sink, owner=owner
        )
        path = DataPath(
            router,
            clock=self.clock,
            metrics=self.metrics,
            send=link.send,
            egress=sink,
        )
        path.apply_snapshot(one_service(SERVICE, sink))
        return path, router

    def bare_relay(self, batch: list[bytes]) -> None:
        """Forward each datagram without parsing it."""
        send, sink = self.egress_socket.sendto, self.sink_address
        for datagram in batch:
            send(datagram, sink)


def _build_packets(flags: int, round_number: int, *, host: int = 1) -> list[bytes]:
    first_port = 1024 + (round_number * FLOWS if flags & SYN else 0)
    return [
        Segment(
            make_key(Address(f"203.0.113.{host}", first_port + index), SERVICE),
            flags,
            # Sequence numbers increase: a repeated one counts as a retransmission.
            seq=1 + round_number * len(PAYLOAD),
            ack=1 if flags & ACK else 0,
            payload=b"" if flags & SYN else PAYLOAD,
        ).encode()
        for index in range(FLOWS)
    ]


def measure_datapath() -> list[Figure]:
    """Measure each kind of packet, and the bare relay for comparison."""
    rates: dict[str, list[float]] = {}
    ratios: dict[str, list[float]] = {}
    payloads = [_build_packets(ACK | PSH, number) for number in range(ROUNDS)]
    relays = [
        [Relay(Direction.REQUEST, 1, packet).encode() for packet in packets]
        for packets in payloads
    ]
    with ExitStack() as stack:
        testbed = Testbed(stack)
        testbed.wait_until_settled()
        testbed.owner.handle_batch(payloads[0])  # establishes the flows
        for repetition in range(REPETITIONS):
            syns = [
                _build_packets(SYN, number, host=10 + repetition)
                for number in range(ROUNDS)
            ]
            for name, rate in _run_repetition(testbed, payloads, syns, relays).items():
                rates.setdefault(name, []).append(rate)
                ratios.setdefault(name, []).append(rate / rates[BARE_RELAY][-1])
    del ratios[BARE_RELAY]
    return [
        Figure.of(f"datapath/{name}", values, "packets/cpu-s")
        for name, values in rates.items()
    ] + [
        Figure.of(f"datapath_ratio/{name}", values, "of bare relay")
        for name, values in ratios.items()
    ]


def _run_repetition(
    testbed: Testbed,
    payloads: list[list[bytes]],
    syns: list[list[bytes]],
    relays: list[list[bytes]],
) -> dict[str, float]:
    """Return packets per CPU second by kind of packet.

    ``relayed`` packets reach the owner through another instance, ``uncertain`` ones
    reach an instance that owns no slice.
    """

    def handle_relays(batch: list[bytes]) -> None:
        for datagram in batch:
            testbed.owner.handle_relay(datagram)

    kinds: dict[str, tuple[list[list[bytes]], Handler]] = {
        BARE_RELAY: (payloads, testbed.bare_relay),
        "established": (payloads, testbed.owner.handle_batch),
        "opening": (syns, testbed.owner.handle_batch),
        "relayed": (relays, handle_relays),
        "uncertain": (payloads, testbed.non_owner.handle_batch),
    }
    seconds = dict.fromkeys(kinds, 0.0)
    for number in range(ROUNDS):
        for name, (rounds, handle) in kinds.items():
            testbed.tick()
            seconds[name] += testbed.source.measure_cpu_s(rounds[number], handle)
    return {name: ROUNDS * FLOWS / elapsed for name, elapsed in seconds.items()}
