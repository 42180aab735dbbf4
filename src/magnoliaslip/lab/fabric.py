"""Model of the router fabric, which sprays packets at random over the instances."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from heapq import heappop, heappush
from itertools import count
from random import Random

from msgspec import Struct

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.group import InstanceEntry

CALLERS = "callers"  # place of the callers; the other places are availability zones
INTRA_ZONE_DELAY_S = 0.0002
FABRIC_DETECTION_DELAY_S = 1.0  # until routers stop using a partitioned path
MIN_TIMER_DELAY_S = 0.0005  # precision of timers; shorter delays are skipped
JITTER_SHARE = 0.2  # of the delay


Send = Callable[[bytes, Address], object]


class PathRule(Struct, frozen=True, forbid_unknown_fields=True):
    """Impairment of the path from one place to another.

    Attributes:
        loss: Share of packets that are dropped, 0 to 1.
        delay_s: Delay in seconds, in addition to the normal delay of the path.
        cut: Whether the path is partitioned, so that no packet passes.
    """

    loss: float = 0.0
    delay_s: float = 0.0
    cut: bool = False


@dataclass(slots=True, frozen=True)
class ServerAttachment:
    """Zone of a backend server, and the address on which it receives packets."""

    zone: str
    tunnel: Address


class FabricModel:
    """Forwards packets between callers, instances and backend servers.

    Args:
        clock: Source of time.
        rng: Random source for the choice of instances, loss and jitter.
        send: Sends a packet to an address.
        zone_delay_s: One-way delay between two availability zones, in seconds.
        caller_delay_s: One-way delay between callers and zones, in seconds.

    Attributes:
        counters: Number of packets by outcome: ``sprayed`` in total and
            ``sprayed_<instance>`` by instance, ``no_instance``, ``unknown_source``,
            ``unknown_caller``, and ``lost`` and ``cut`` (partitioned), which also
            count data of control streams.
    """

    def __init__(
        self,
        *,
        clock: Clock,
        rng: Random,
        send: Send,
        zone_delay_s: float = 0.0,
        caller_delay_s: float = 0.0,
    ) -> None:
        self.counters: Counter[str] = Counter()
        self._clock = clock
        self._rng = rng
        self._send = send
        self._zone_delay_s = zone_delay_s
        self._caller_delay_s = caller_delay_s
        self._instances: list[InstanceEntry] = []
        self._zone_of: dict[Address, str] = {}
        self._servers: dict[str, ServerAttachment] = {}
        self._callers: dict[bytes, Address] = {}
        self._rules: dict[tuple[str, str], PathRule] = {}
        self._partitioned_since: dict[tuple[str, str], float] = {}
        self._queue: list[tuple[float, int, bytes, Address, Send]] = []
        self._sequence_numbers = count()

    @property
    def next_deadline(self) -> float | None:
        """When `poll` has a packet to send, in monotonic seconds, or None."""
        return self._queue[0][0] if self._queue else None

    def set_instances(self, entries: Sequence[InstanceEntry]) -> None:
        """Replace the instances; only those that are not leaving receive packets."""
        self._instances = [entry for entry in entries if not entry.leaving]
        # A leaving instance still sends packets, so its zone is needed.
        self._zone_of.update({entry.data: entry.zone for entry in entries})

    def add_server(self, name: str, server: ServerAttachment) -> None:
        """Attach a backend server, or replace its address."""
        self._servers[name] = server
        self._zone_of[server.tunnel] = server.zone

    def add_caller(self, host: bytes, address: Address) -> None:
        """Attach a caller by the packed IPv4 address of its flows."""
        self._callers[host] = address

    def set_rules(self, rules: Mapping[tuple[str, str], PathRule]) -> None:
        """Replace the impairments, given by source and destination place."""
        now = self._clock.monotonic()
        partitions = {path for path, rule in rules.items() if rule.cut}
        self._partitioned_since = {
            path: self._partitioned_since.get(path, now) for path in partitions
        }
        self._rules = dict(rules)

    def from_caller(self, packet: bytes) -> None:
        """Forward a request packet to a random instance."""
        self._spray(CALLERS, packet)

    def from_server(self, packet: bytes, source: Address) -> None:
        """Forward an answer to a random instance that the server's zone can reach."""
        zone = self._zone_of.get(source)
        if zone is None:
            self.counters["unknown_source"] += 1
        else:
            self._spray(zone, packet)

    def to_server(self, name: str, packet: bytes, source: Address) -> None:
        """Forward a packet from an instance to a backend server."""
        server = self._servers[name]
        self.forward(self._zone_of.get(source, ""), server.zone, packet, server.tunnel)

    def to_caller(self, packet: bytes, source: Address) -> None:
        """Forward a packet from an instance to the caller it is addressed to."""
        caller = self._callers.get(packet[16:20])
        if caller is None:
            self.counters["unknown_caller"] += 1
        else:
            self.forward(self._zone_of.get(source, ""), CALLERS, packet, caller)

    def poll(self, now: float) -> None:
        """Send the packets whose delay has elapsed."""
        while self._queue and self._queue[0][0] <= now:
            _, _, packet, address, send = heappop(self._queue)
            send(packet, address)

    def _spray(self, source_place: str, packet: bytes) -> None:
        instances = self._instances
        if self._partitioned_since:
            detected_before = self._clock.monotonic() - FABRIC_DETECTION_DELAY_S
            partitioned = {
                path
                for path, since in self._partitioned_since.items()
                if since <= detected_before
            }
            instances = [
                e for e in instances if (source_place, e.zone) not in partitioned
            ]
        if not instances:
            self.counters["no_instance"] += 1
            return
        entry = instances[int(self._rng.random() * len(instances))]
        self.counters["sprayed"] += 1
        self.counters[f"sprayed_{entry.id}"] += 1
        self.forward(source_place, entry.zone, packet, entry.data)

    def is_partitioned(self, src: str, dst: str) -> bool:
        """Check whether the path from one place to another is partitioned."""
        return (src, dst) in self._partitioned_since

    def draw_delay_s(self, src: str, dst: str) -> float | None:
        """Return a random delay of a packet in seconds, or None when it is lost.

        Lost packets are counted.
        """
        rule = self._rules.get((src, dst))
        delay_s = self._base_delay_s(src, dst)
        if rule is not None:
            if rule.cut or self._rng.random() < rule.loss:
                self.counters["cut" if rule.cut else "lost"] += 1
                return None
            delay_s += rule.delay_s
        return delay_s * (1 + JITTER_SHARE * self._rng.random())

    def forward(
        self,
        src: str,
        dst: str,
        packet: bytes,
        address: Address,
        *,
        send: Send | None = None,
    ) -> None:
        """Send a packet after the delay of its path, unless it is lost.

        Args:
            src: Place of the sender.
            dst: Place of the receiver.
            packet: The packet.
            address: Address of the receiver.
            send: Sends the packet, instead of the function given to the model.
        """
        send = send or self._send
        delay_s = self.draw_delay_s(src, dst)
        if delay_s is None:
            return
        if delay_s < MIN_TIMER_DELAY_S:
            send(packet, address)
        else:
            due = self._clock.monotonic() + delay_s
            heappush(
                self._queue, (due, next(self._sequence_numbers), packet, address, send)
            )

    def _base_delay_s(self, src: str, dst: str) -> float:
        if src == dst:
            return INTRA_ZONE_DELAY_S
        return self._caller_delay_s if CALLERS in (src, dst) else self._zone_delay_s
