"""The simulated network: zones, delays, loss, partitions and stalled streams.

All delays and losses come from one seeded random source, so that the same seed
gives the same order of deliveries.
"""

from collections import Counter
from collections.abc import Callable
from contextvars import copy_context
from dataclasses import dataclass
from random import Random
from typing import Any

from magnoliaslip.proof.virtual_loop import SimProcess, VirtualEventLoop

CALLERS = "callers"
PLATFORM = "platform"

# One-way delays of the paths inside a zone, and to and from the platform.
INTRA_ZONE_DELAY_S = 0.0002
PLATFORM_DELAY_S = 0.002
# Capacity of the socket buffer of a paused process: 208 KiB, the default of Linux,
# at 832 bytes of buffer for each small datagram.
SOCKET_BUFFER_DATAGRAMS = 256
# First retransmission time-out of TCP on Linux; it also delays the messages that
# follow on the stream.
RETRANSMISSION_DELAY_S = 0.2
# A stream is replaced after an idle time-out of 1.5 s; connecting takes some ms.
STREAM_REPLACE_DELAY_S = 1.6


@dataclass(slots=True, frozen=True)
class LinkQuality:
    """Jitter, loss and duplication of packets between two nodes.

    Attributes:
        jitter_s: Largest random addition to the delay of a packet, in seconds; it also
            reorders packets.
        loss: Share of packets that are lost.
        duplicate: Share of packets that are delivered twice.
        control_fault_rate: Share of control messages that are lost; the same share is
            duplicated, and the same share is reordered.
    """

    jitter_s: float = 0.0
    loss: float = 0.0
    duplicate: float = 0.0
    control_fault_rate: float = 0.0


LOSSLESS_QUALITY = LinkQuality(jitter_s=0.0003)
INTER_ZONE_QUALITY = LinkQuality(jitter_s=0.002, loss=0.002, duplicate=0.0005)


@dataclass(slots=True)
class NetworkNode:
    """A node: an instance, a backend server, the callers or the platform.

    Attributes:
        name: Unique name.
        zone: Availability zone; empty for callers and platform.
        process: The simulated process that handles deliveries, if it can be paused.
        buffered_datagrams: Number of datagrams that wait in the socket buffer of the
            paused process. Messages of streams have buffers of their own.
    """

    name: str
    zone: str
    process: SimProcess | None = None
    buffered_datagrams: int = 0


class Network:
    """Carries datagrams and stream messages between nodes.

    Args:
        loop: The virtual event loop.
        rng: Random source of delay and loss.
        zone_delay_s: One-way delay between two availability zones, in seconds.
        caller_delay_s: One-way delay between callers and any zone, in seconds.

    Attributes:
        lost: Number of lost datagrams and messages by cause: ``cut`` (no path),
            ``loss``, ``stream`` (partitioned or stalled), ``control`` (fault rate),
            ``gone`` (no running receiver) and ``buffer`` (full).
        quality: Quality of the paths between different zones.
    """

    def __init__(
        self,
        loop: VirtualEventLoop,
        rng: Random,
        *,
        zone_delay_s: float,
        caller_delay_s: float,
    ) -> None:
        self.loop = loop
        self.lost: Counter[str] = Counter()
        self.quality = INTER_ZONE_QUALITY
        self._rng = rng
        self._zone_delay_s = zone_delay_s
        self._caller_delay_s = caller_delay_s
        self._nodes: dict[str, NetworkNode] = {}
        self._node_partitions: Counter[tuple[str, str]] = Counter()
        self._zone_partitions: Counter[str] = Counter()
        self._paths: dict[tuple[str, str], tuple[float, LinkQuality] | None] = {}
        self._stream_due: dict[tuple[str, str], float] = {}
        self._stalled_until: dict[tuple[str, str], float] = {}
        self._context = copy_context()

    def add(self, name: str, zone: str = "", process: SimProcess | None = None) -> None:
        """Add a node, or replace the node of the same name."""
        self._nodes[name] = NetworkNode(name, zone, process)
        self._paths.clear()

    def remove(self, name: str) -> None:
        """Remove a node; packets in transit to it are lost."""
        self._nodes.pop(name, None)
        self._paths.clear()

    def process_of(self, name: str) -> SimProcess | None:
        """Return the process of a node, if it has one."""
        node = self._nodes.get(name)
        return node.process if node else None

    def zone_of(self, name: str) -> str:
        """Return the availability zone of a node; empty when it has none."""
        node = self._nodes.get(name)
        return node.zone if node else ""

    def partition(self, src: str, dst: str) -> None:
        """Drop all packets between two nodes, in both directions.

        Two partitions of the same nodes end only when `heal` was called twice.
        """
        self._node_partitions[(src, dst)] += 1
        self._node_partitions[(dst, src)] += 1
        self._paths.clear()

    def heal(self, src: str, dst: str) -> None:
        """Undo one `partition` of the two nodes."""
        self._node_partitions[(src, dst)] -= 1
        self._node_partitions[(dst, src)] -= 1
        self._paths.clear()

    def partition_zone(self, zone: str) -> None:
        """Partition a zone from all other zones and the platform, not from callers."""
        self._zone_partitions[zone] += 1
        self._paths.clear()

    def heal_zone(self, zone: str) -> None:
        """Undo one `partition_zone` of the zone."""
        self._zone_partitions[zone] -= 1
        self._paths.clear()

    def stall_stream(self, src: str, dst: str) -> None:
        """Stall the open stream from one node to another until it is replaced."""
        self._stalled_until[(src, dst)] = self.loop.time() + STREAM_REPLACE_DELAY_S

    def set_quality(self, quality: LinkQuality) -> None:
        """Set the quality of all paths between different zones."""
        self.quality = quality
        self._paths.clear()

    def is_reachable(self, src: str, dst: str) -> bool:
        """Check whether packets can be delivered from one node to another."""
        return self._path(src, dst) is not None

    def delay_s(self, src: str, dst: str) -> float | None:
        """Return a random one-way delay in seconds; None when there is no path."""
        path = self._path(src, dst)
        if path is None:
            return None
        return path[0] + self._rng.random() * path[1].jitter_s

    def send(
        self, src: str, dst: str, receive: Callable[..., None], *args: Any
    ) -> None:
        """Send a datagram; ``receive(*args)`` is called zero, one or two times.

        Args:
            src: The sending node.
            dst: The receiving node.
            receive: Called in the process of the receiving node.
            args: Arguments of ``receive``.
        """
        path = self._path(src, dst)
        if path is None:
            self.lost["cut"] += 1
            return
        base, quality = path
        rng = self._rng
        if quality.loss and rng.random() < quality.loss:
            self.lost["loss"] += 1
            return
        loop = self.loop
        delay = base + rng.random() * quality.jitter_s
        loop.call_at(
            loop.time() + delay,
            self._deliver,
            dst,
            receive,
            args,
            context=self._context,
        )
        if quality.duplicate and rng.random() < quality.duplicate:
            delay = base + rng.random() * quality.jitter_s
            due = loop.time() + delay
            loop.call_at(due, self._deliver, dst, receive, args, context=self._context)

    def send_stream(
        self, src: str, dst: str, receive: Callable[..., None], *args: Any
    ) -> None:
        """Send a message on a stream, in order; packet loss only delays it.

        A message is lost when the path is partitioned or the stream is stalled,
        because the stream is then replaced and its queue is discarded. The
        ``control_fault_rate`` of the path loses, duplicates and reorders messages too.
        The arguments are those of `send`.
        """
        path = self._path(src, dst)
        pair = (src, dst)
        now = self.loop.time()
        if path is None or self._stalled_until.get(pair, 0.0) > now:
            self.lost["stream"] += 1
            return
        base, quality = path
        due = now + base + self._rng.random() * quality.jitter_s
        if quality.loss and self._rng.random() < quality.loss:
            due += RETRANSMISSION_DELAY_S
        draw = self._rng.random() if quality.control_fault_rate else 1.0
        if draw < quality.control_fault_rate:
            self.lost["control"] += 1
            return
        if draw < 2 * quality.control_fault_rate:
            late = due + RETRANSMISSION_DELAY_S
            self.loop.call_at(
                late, self._deliver_message, dst, receive, args, context=self._context
            )
        elif draw < 3 * quality.control_fault_rate:
            due += RETRANSMISSION_DELAY_S
        else:
            due = max(due, self._stream_due.get(pair, 0.0))
            self._stream_due[pair] = due
        self.loop.call_at(
            due, self._deliver_message, dst, receive, args, context=self._context
        )

    def _deliver(self, dst: str, receive: Callable[..., None], args: tuple) -> None:
        """Deliver a datagram; it is lost if the buffer of a paused process is full."""
        node = self._running_node(dst)
        if node is None or node.process is None or not node.process.paused:
            self._deliver_to(node, receive, args)
        elif node.buffered_datagrams >= SOCKET_BUFFER_DATAGRAMS:
            self.lost["buffer"] += 1
        else:
            node.buffered_datagrams += 1
            self._deliver_to(node, self._deliver_buffered, (node, receive, args))

    def _deliver_message(
        self, dst: str, receive: Callable[..., None], args: tuple
    ) -> None:
        """Deliver a message of a stream, whose flow control loses nothing."""
        self._deliver_to(self._running_node(dst), receive, args)

    def _running_node(self, dst: str) -> NetworkNode | None:
        node = self._nodes.get(dst)
        if node is None or (node.process is not None and node.process.ended):
            self.lost["gone"] += 1
            return None
        return node

    def _deliver_to(
        self, node: NetworkNode | None, receive: Callable[..., None], args: tuple
    ) -> None:
        if node is None:
            return
        process = node.process
        if process is None:
            receive(*args)
        elif process.paused:
            self.loop.call_soon(receive, *args, context=process.context)
        else:
            process.context.run(receive, *args)

    @staticmethod
    def _deliver_buffered(
        node: NetworkNode, receive: Callable[..., None], args: tuple
    ) -> None:
        node.buffered_datagrams -= 1
        receive(*args)

    def _path(self, src: str, dst: str) -> tuple[float, LinkQuality] | None:
        try:
            return self._paths[(src, dst)]
        except KeyError:
            path = self._paths[(src, dst)] = self._find_path(src, dst)
            return path

    def _find_path(self, src: str, dst: str) -> tuple[float, LinkQuality] | None:
        if self._node_partitions[(src, dst)] > 0:
            return None
        zones = self.zone_of(src), self.zone_of(dst)
        if CALLERS in (src, dst):
            return self._caller_delay_s, LOSSLESS_QUALITY
        if zones[0] == zones[1]:
            return INTRA_ZONE_DELAY_S, LOSSLESS_QUALITY
        if any(self._zone_partitions[zone] > 0 for zone in zones if zone):
            return None
        if PLATFORM in (src, dst):
            return PLATFORM_DELAY_S, LOSSLESS_QUALITY
        return self._zone_delay_s, self.quality
