"""The data path: decodes received datagrams and forwards their packets."""

from collections.abc import Callable, Iterable
from logging import getLogger
from typing import TYPE_CHECKING

from magnoliaslip.config.snapshot import Snapshot
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import PacketError
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.links import Direction
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.core.recorder import NullRecorder, Recorder
from magnoliaslip.packet.flow_key import (
    FIN,
    FLAGS_OFFSET,
    IPV4_VERSION_AND_IHL,
    MIN_PACKET_BYTES,
    PROTOCOL_OFFSET,
    PROTOCOL_TCP,
    RST,
    SYN,
    FlowKey,
    fixed_offset_key,
    has_fixed_offsets,
    service_key,
)
from magnoliaslip.packet.segment import Segment
from magnoliaslip.packet.tunnel import Relay

if TYPE_CHECKING:
    from magnoliaslip.placement.router import FlowRouter

MAX_CACHED_FLOWS = 65_536
MAX_RELAY_HOPS = 3
PAUSE_THRESHOLD_S = 1.0  # the same as in `peering.view_confirmation`
DROP_LOG_INTERVAL_S = 1.0
OWNER_FLAGS = SYN | FIN | RST  # such packets are handled by the owner of the flow

logger = getLogger(__name__)


class DataPath:
    """Forwards packets that its cache covers, and passes all others to the router.

    Args:
        router: Decides on every packet that the cache does not cover.
        clock: Source of monotonic time.
        metrics: Receives the drop counters.
        send: Sends an inner packet to an address; used for cached flows.
        egress: Address that receives answers to callers.
        recorder: Any recorder but a `NullRecorder` disables the cache, because
            every packet must then be recorded.
    """

    __slots__ = (
        "_cache",
        "_cache_disabled",
        "_cache_generation",
        "_clock",
        "_egress",
        "_last_tick_at",
        "_metrics",
        "_next_drop_log_at",
        "_recorder",
        "_router",
        "_send",
        "_service_keys",
    )

    def __init__(
        self,
        router: "FlowRouter",
        *,
        clock: Clock,
        metrics: Metrics,
        send: Callable[[bytes, Address], object],
        egress: Address,
        recorder: Recorder | None = None,
    ) -> None:
        self._router = router
        self._clock = clock
        self._metrics = metrics
        self._send = send
        self._egress = egress
        self._recorder = recorder or NullRecorder()
        self._cache_disabled = not isinstance(self._recorder, NullRecorder)
        self._cache: dict[FlowKey, Address] = {}
        self._cache_generation = -1
        self._last_tick_at = clock.monotonic()
        self._service_keys: frozenset[bytes] = frozenset()
        self._next_drop_log_at: dict[str, float] = {}

    def handle_batch(self, datagrams: Iterable[bytes]) -> None:
        """Handle datagrams that carry IP packets not relayed by a member.

        The router's generation is checked once before the batch and after each packet
        that went through the router, because only those can change it.
        """
        now = self._clock.monotonic()
        if now - self._last_tick_at > PAUSE_THRESHOLD_S:
            # A process that resumes after a pause gets here before its timers run:
            # packets queued in the sockets must not be decided on an outdated view.
            self._router.mark_view_suspect(paused=True)
            self._last_tick_at = now
            log_event(logger, Event.CLOCK_JUMPED)
        self._refresh_cache()
        cached = self._cache.get
        send = self._send
        for packet in datagrams:
            if (
                len(packet) >= MIN_PACKET_BYTES
                and packet[0] == IPV4_VERSION_AND_IHL
                and packet[PROTOCOL_OFFSET] == PROTOCOL_TCP
                and not packet[FLAGS_OFFSET] & OWNER_FLAGS
                and not packet[6] & 0x3F
                and not packet[7]
                and (address := cached(packet[12:24])) is not None
            ):
                send(packet, address)
            else:
                self.handle_uncached(packet)
                self._refresh_cache()

    def apply_snapshot(self, snapshot: Snapshot) -> None:
        """Update the service addresses from the routes of a snapshot."""
        self._service_keys = frozenset(
            service_key(route.address) for route in snapshot.routes.values()
        )
        self._cache.clear()

    def disable_cache(self) -> None:
        """Pass every packet to the router, so that it detects when traffic ends."""
        self._cache.clear()
        self._cache_disabled = True

    def record_tick(self) -> None:
        """Record that the process runs; called every 100 ms.

        A gap of more than `PAUSE_THRESHOLD_S` since the last call means that the
        process was paused.
        """
        self._last_tick_at = self._clock.monotonic()

    def handle_uncached(self, payload: bytes) -> None:
        """Handle one IP packet that the cache does not cover; never raises."""
        try:
            self._handle_packet(payload)
        except PacketError as exc:
            self._drop(self._drop_kind(payload), str(exc))

    def handle_relay(self, payload: bytes) -> None:
        """Handle a datagram that a member relayed; never raises.

        The source must have been checked to be a member.
        """
        try:
            self._handle_relay(Relay.decode(payload))
        except PacketError as exc:
            self._drop("malformed_relay", str(exc))

    def _handle_packet(self, packet: bytes) -> None:
        fixed_offsets = has_fixed_offsets(packet)
        key = fixed_offset_key(packet) if fixed_offsets else Segment.decode(packet).key
        direction = self._direction(key)
        if direction is None:
            self._drop("no_route", f"flow {key.hex()}", key)
            return
        if fixed_offsets and not packet[FLAGS_OFFSET] & OWNER_FLAGS:
            self._cache_destination(key, direction)
        self._router.handle_packet(packet, direction=direction)

    def _handle_relay(self, relay: Relay) -> None:
        if relay.hops > MAX_RELAY_HOPS:
            self._drop("hop_limit", f"hops {relay.hops}")
            return
        packet = relay.packet
        key = (
            fixed_offset_key(packet)
            if has_fixed_offsets(packet)
            else Segment.decode(packet).key
        )
        if self._direction(key) is not relay.direction:
            self._drop("no_route", f"flow {key.hex()}", key)
            return
        self._router.handle_packet(packet, direction=relay.direction, hops=relay.hops)

    def _direction(self, key: FlowKey) -> Direction | None:
        if key[4:8] + key[10:12] in self._service_keys:
            return Direction.REQUEST
        if key[0:4] + key[8:10] in self._service_keys:
            return Direction.ANSWER
        return None

    def _cache_destination(self, key: FlowKey, direction: Direction) -> None:
        """Cache the destination of the flow if later packets may bypass the router."""
        if self._cache_disabled:
            return
        if direction is Direction.ANSWER:
            address = None if self._router.suspect else self._egress
        else:
            address = self._router.direct(key)
        if address is not None:
            if len(self._cache) >= MAX_CACHED_FLOWS:
                self._cache.clear()
            self._cache[key] = address

    def _refresh_cache(self) -> None:
        """Clear the cache when earlier decisions of the router may be outdated.

        The deadline moves forward with each heartbeat, so it is read each time.
        """
        router = self._router
        if (
            router.direct_generation != self._cache_generation
            or self._clock.monotonic() >= router.direct_deadline
        ):
            self._cache.clear()
            self._cache_generation = router.direct_generation

    @staticmethod
    def _drop_kind(payload: bytes) -> str:
        if len(payload) < MIN_PACKET_BYTES:
            return "truncated"
        version = payload[0] >> 4
        if version == 0:
            # A relay received on the data socket, where sources are not checked.
            return "not_a_member"
        if version != 4 or payload[PROTOCOL_OFFSET] != PROTOCOL_TCP:
            return "unsupported_protocol"
        return "fragment" if payload[6] & 0x3F or payload[7] else "malformed"

    def _drop(self, kind: str, detail: str, key: FlowKey = b"") -> None:
        counter = f"drop_{kind}"
        self._metrics.counters[counter] += 1
        self._recorder.record("drop", flow=key.hex(), reason=kind)
        now = self._clock.monotonic()
        if now >= self._next_drop_log_at.get(kind, 0.0):
            self._next_drop_log_at[kind] = now + DROP_LOG_INTERVAL_S
            log_event(
                logger,
                Event.PACKET_DROPPED,
                kind=kind,
                count=self._metrics.counters[counter],
                detail=detail,
            )
