"""An instance as a process: sockets, signals and the control server."""

from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack
from functools import partial
from logging import getLogger
from os import _exit
from random import SystemRandom
from signal import SIGINT, SIGTERM
from sys import stderr

from anyio import create_task_group, open_signal_receiver
from anyio.abc import TaskGroup

from magnoliaslip.config.http_platform import HttpPlatform
from magnoliaslip.config.settings import InstanceSettings
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock, SystemClock
from magnoliaslip.core.error_text import error_text
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.history_file import FileRecorder
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.core.recorder import NullRecorder, Recorder
from magnoliaslip.dataplane.udp_link import UdpPacketLink
from magnoliaslip.dataplane.udp_reader import (
    read_batches,
    read_datagrams_with_source,
    receive_batch_with_source,
)
from magnoliaslip.dataplane.udp_socket import open_udp, receive_batch
from magnoliaslip.instance.admin import AdminService
from magnoliaslip.instance.health import HttpHealthSource
from magnoliaslip.instance.node import InstanceNode
from magnoliaslip.peering.grpc_link import GrpcPeerLink
from magnoliaslip.peering.membership import Membership

EXIT_INTERRUPTED = 130
ERROR_LOG_INTERVAL_S = 1.0

logger = getLogger(__name__)


class ErrorBoundary:
    """Keeps an unexpected error with one datagram from ending the process.

    Each is counted, and at most one per second is logged with its traceback.

    Args:
        metrics: Counts the errors as ``unexpected_errors``.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_metrics", "_next_log_at")

    def __init__(self, metrics: Metrics, *, clock: Clock) -> None:
        self._metrics = metrics
        self._clock = clock
        self._next_log_at = float("-inf")

    def handle_batch(
        self, handle: Callable[[Iterable[bytes]], None], batch: Iterable[bytes]
    ) -> None:
        """Handle a batch; after an error, go on with the datagram that follows."""
        datagrams = iter(batch)
        while True:
            try:
                handle(datagrams)
                return
            except Exception:
                self._record()

    def handle_one(self, handle: Callable[[bytes], None], payload: bytes) -> None:
        """Handle one datagram."""
        try:
            handle(payload)
        except Exception:
            self._record()

    def _record(self) -> None:
        self._metrics.counters["unexpected_errors"] += 1
        now = self._clock.monotonic()
        if now >= self._next_log_at:
            self._next_log_at = now + ERROR_LOG_INTERVAL_S
            log_event(logger, Event.UNEXPECTED_ERROR, error=error_text())


async def run_instance(cfg: InstanceSettings) -> None:
    """Run an instance until SIGTERM or SIGINT has drained it.

    Raises:
        OSError: An address can't be bound or `record_to` can't be opened; may be
            wrapped in an `ExceptionGroup`.
    """
    clock = SystemClock()
    metrics = Metrics()
    # Wall-clock milliseconds increase with every start and need no stored state.
    incarnation = int(clock.wall() * 1000)
    async with AsyncExitStack() as stack:
        data = stack.enter_context(open_udp(cfg.data))
        relay = stack.enter_context(open_udp(cfg.control))
        recorder: Recorder = NullRecorder()
        if cfg.record_to is not None:
            file = stack.enter_context(cfg.record_to.open("ab", buffering=0))
            recorder = FileRecorder(file, process_name=cfg.id, clock=clock)
        membership = Membership(
            cfg.id,
            cfg.zone,
            incarnation,
            clock=clock,
            seeds=cfg.peers,
            allowed_networks=cfg.allowed_networks,
        )
        packets = UdpPacketLink(
            data,
            relay,
            egress=cfg.egress,
            control_address=lambda peer: _control_address_of(membership, peer),
            metrics=metrics,
        )
        peers = GrpcPeerLink(
            cfg.control,
            membership=membership,
            clock=clock,
            rng=SystemRandom(),
            metrics=metrics,
        )
        node = InstanceNode(
            cfg,
            incarnation=incarnation,
            clock=clock,
            packets=packets,
            peers=peers,
            platform=HttpPlatform(cfg.platform, clock=clock),
            send=packets.send,
            recorder=recorder,
            rng=SystemRandom(),
            metrics=metrics,
            membership=membership,
            health_source=HttpHealthSource(),
        )

        boundary = ErrorBoundary(metrics, clock=clock)
        handle_batch = partial(boundary.handle_batch, node.path.handle_batch)

        def handle_relay(payload: bytes, source: Address) -> None:
            if membership.accepts_relay(source.host):
                boundary.handle_one(node.path.handle_relay, payload)
            else:
                metrics.counters["drop_not_a_member"] += 1

        async with create_task_group() as tasks:
            tasks.start_soon(_stop_on_signals, node, tasks)
            tasks.start_soon(
                peers.run, node.on_peer_message, [AdminService(node, clock=clock)]
            )
            tasks.start_soon(read_batches, data, handle_batch)
            tasks.start_soon(read_datagrams_with_source, relay, handle_relay)
            log_event(
                logger,
                Event.INSTANCE_STARTED,
                id=cfg.id,
                zone=cfg.zone,
                data=cfg.data,
                control=cfg.control,
            )
            await node.run()
            tasks.cancel_scope.cancel()
        # The tasks took time to end, and packets have arrived meanwhile.
        while batch := receive_batch(data):
            handle_batch(batch)
        while relayed := receive_batch_with_source(relay):
            for payload, source in relayed:
                handle_relay(payload, source)
        node.record_stopped()


def _control_address_of(membership: Membership, peer: str) -> Address | None:
    entry = membership.entry(peer)
    return entry.control if entry else None


async def _stop_on_signals(node: InstanceNode, tasks: TaskGroup) -> None:
    """Drain on the first signal, terminate immediately on the second."""
    with open_signal_receiver(SIGTERM, SIGINT) as signals:
        async for _ in signals:
            node.request_stop()
            break
        async for _ in signals:
            stderr.flush()
            _exit(EXIT_INTERRUPTED)
