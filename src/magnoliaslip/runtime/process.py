"""Instance that steers by server tags, as tasks of an event loop."""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from logging import getLogger
from os import PathLike
from random import Random
from signal import SIG_BLOCK, SIGHUP, SIGINT, SIGTERM, pthread_sigmask
from socket import socket as Socket  # noqa: N812
from typing import TYPE_CHECKING

from anyio import Event as Signal
from anyio import create_task_group, open_signal_receiver, sleep, wait_readable
from anyio.lowlevel import checkpoint
from msgspec import Struct

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock, SystemClock
from magnoliaslip.core.error_text import error_text
from magnoliaslip.core.errors import SettingsError
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.http_server import HttpRequest, HttpResponse, serve_http
from magnoliaslip.core.json_log import JsonLineHandler, LineRateLimiter
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.dataplane.udp_socket import open_udp
from magnoliaslip.gossip.exchange import GossipExchange
from magnoliaslip.gossip.snapshot_fetcher import SNAPSHOT_PATH, SnapshotFetcher
from magnoliaslip.registry.model import StorePosition
from magnoliaslip.registry.reader import RegistryReader
from magnoliaslip.registry.snapshot import encode_snapshot
from magnoliaslip.registry.store_client import StoreClient
from magnoliaslip.runtime.adapter import PlatformAdapter
from magnoliaslip.runtime.decision_log import EventDecisionLog
from magnoliaslip.runtime.deferred_imports import import_metrics_page
from magnoliaslip.runtime.forwarder import MAX_READ_INTERVAL_S, TagForwarder
from magnoliaslip.runtime.metrics_page import MetricsPage, MetricValues
from magnoliaslip.runtime.paths import EXPLAIN_PATH, STATUS_PATH
from magnoliaslip.runtime.settings import SteeringSettings
from magnoliaslip.runtime.start_times import StartTimes
from magnoliaslip.steering.decisions import DecisionBuffer
from magnoliaslip.steering.reachability import CORRECTION_TIME_S

if TYPE_CHECKING:
    from magnoliaslip.runtime.status_builder import StatusBuilder

TICK_PERIOD_S = 1.0
TASK_RESTART_DELAY_S = 0.5
# Time in seconds for which packets are still forwarded after a stop was requested. The
# fabric removes an instance after two failed polls, 0.5 s apart.
SHUTDOWN_DELAY_S = 1.5
METRICS_PATH = "/metrics"
METRICS_CONTENT_TYPE = "text/plain; version=0.0.4"
STDOUT_FD = 1
MICROSECONDS_PER_SECOND = 1e6

logger = getLogger(__name__)


async def run_until_cancelled(run_task: Callable[[], Awaitable[None]]) -> None:
    """Run a task that never ends; an unexpected error is logged, and it starts again.

    A fault of one task, such as the exchange of digests, must not end the forwarding of
    packets.
    """
    while True:
        try:
            await run_task()
        except Exception:
            log_event(
                logger,
                Event.UNEXPECTED_ERROR,
                task=getattr(run_task, "__qualname__", ""),
                error=error_text(),
            )
            await sleep(TASK_RESTART_DELAY_S)


class SteeringInstance:
    """Packet path, registry reader, gossip and HTTP endpoints of one instance.

    Args:
        cfg: Checked settings.
        forwarder: The packet path; may already have forwarded packets.
        adapter: Adapter of the platform.
        store_client: Reads the platform's store.
        settings_path: File that is read again on SIGHUP.
        readiness: Listening socket for readiness polls of the fabric.
        stop_requested: Returns whether a stop was requested before this instance
            handles signals itself.
        start_times: Times of the start, for the log.
        clock: Source of time.
        rng: Source of jitter.
    """

    def __init__(
        self,
        cfg: SteeringSettings,
        forwarder: TagForwarder,
        *,
        adapter: PlatformAdapter,
        store_client: StoreClient,
        settings_path: str | PathLike[str],
        readiness: Socket,
        stop_requested: Callable[[], bool] = lambda: False,
        start_times: StartTimes | None = None,
        clock: Clock | None = None,
        rng: Random | None = None,
    ) -> None:
        self._cfg = cfg
        self._settings_path = settings_path
        self._readiness = readiness
        self._forwarder = forwarder
        self._adapter = adapter
        self._clock = clock or SystemClock()
        self._stop = Signal()
        self._stop_requested = stop_requested
        self._start_times = start_times
        self._directory_changed_at = self._clock.wall()
        self._metrics = Metrics()
        self._metrics_page = MetricsPage(self._read_metrics, self._metrics)
        self._rng = rng or Random()
        self._reader = RegistryReader(
            store_client,
            forwarder.directory,
            on_change=self._on_directory_change,
            rng=self._rng,
            watches_store=self._watches_store,
        )
        self._log_handler = self._start_logging()
        self._gossip: GossipExchange

    async def run(self) -> None:
        """Serve until a stop is requested, and for `SHUTDOWN_DELAY_S` after it.

        Raises:
            OSError: An address of the settings can't be bound; may be wrapped in an
                `ExceptionGroup`.
        """
        cfg = self._cfg
        snapshot_fetcher = SnapshotFetcher(
            self._forwarder.directory,
            port=cfg.control.port,
            on_change=self._on_directory_change,
            watches_store=self._watches_store,
        )
        async with AsyncExitStack() as stack:
            self._gossip = GossipExchange(
                stack.enter_context(open_udp(cfg.control)),
                zone=cfg.zone,
                seeds=cfg.seeds,
                started_ms=int(self._clock.wall() * 1000),
                directory=self._forwarder.directory,
                servers=self._forwarder.router.servers,
                clock=self._clock,
                rng=self._rng,
                reads_store=lambda: self._reader.reads_store,
                on_newer_directory=snapshot_fetcher.on_newer_directory,
                on_directory_change=self._on_directory_change,
            )
            self._forwarder.router.on_evidence = self._gossip.announce
            self._forwarder.router.before_judgement = self._gossip.update_evidence
            metrics = Address(cfg.control.host, cfg.metrics_port)
            tasks = await stack.enter_async_context(create_task_group())
            tasks.start_soon(self._handle_signals)
            tasks.start_soon(serve_http, self._readiness, self._answer_readiness)
            tasks.start_soon(serve_http, cfg.control, self._answer_control)
            tasks.start_soon(serve_http, metrics, self._answer_metrics)
            for run_task in (
                self._forward_packets,
                self._read_when_idle,
                self._reader.run,
                snapshot_fetcher.run,
                self._gossip.receive,
                self._gossip.send_periodically,
                self._tick,
            ):
                tasks.start_soon(run_until_cancelled, run_task)
            log_event(
                logger,
                Event.INSTANCE_STARTED,
                id=cfg.id,
                zone=cfg.zone,
                data=Address(*self._forwarder.sock.getsockname()[:2]),
                control=cfg.control,
                **(self._start_times.fields() if self._start_times else {}),
            )
            self._log_directory()
            await self._stop.wait()
            log_event(logger, Event.INSTANCE_STATE, id=cfg.id, state="leaving")
            self._gossip.announce_leaving()
            await sleep(SHUTDOWN_DELAY_S)
            self._log_handler.report_suppressed()
            log_event(logger, Event.INSTANCE_STOPPED, id=cfg.id)
            tasks.cancel_scope.cancel()

    def _start_logging(self) -> JsonLineHandler:
        """Write log lines to standard output, beginning with those of the start.

        Also connects the router to the histograms.
        """
        rate_limiter = LineRateLimiter(self._cfg.log_lines_per_s, clock=self._clock)
        handler = JsonLineHandler(STDOUT_FD, rate_limiter=rate_limiter)
        root = getLogger()
        root.setLevel(self._cfg.log_level)
        root.addHandler(handler)
        router = self._forwarder.router
        buffer, router.log = router.log, EventDecisionLog(self._adapter.flow_name)
        if isinstance(buffer, DecisionBuffer):
            buffer.flush_to(router.log)
            if buffer.dropped:
                log_event(logger, Event.LOG_LIMITED, left_out={"start": buffer.dropped})
        router.observe = self._observe_duration
        return handler

    def _observe_duration(self, name: str, seconds: float) -> None:
        self._metrics.observe_us(name, seconds * MICROSECONDS_PER_SECOND)

    def _watches_store(self) -> bool:
        return self._gossip.is_watcher()

    def _on_directory_change(self) -> None:
        self._forwarder.apply_directory()
        self._directory_changed_at = self._clock.wall()
        self._gossip.announce_directory()
        self._log_directory()

    def _log_directory(self) -> None:
        directory = self._forwarder.directory
        log_event(
            logger,
            Event.DIRECTORY_CHANGED,
            era=directory.era,
            revision=directory.revision,
            routes_version=directory.table.version if directory.table else None,
            servers=len(directory.servers),
            zones_out=sorted(self._forwarder.router.servers.zones_out),
        )

    @property
    def _ready(self) -> bool:
        return self._forwarder.directory.ready and not self._stop.is_set()

    async def _answer_readiness(self, req: HttpRequest) -> HttpResponse:
        if req.path != self._adapter.readiness_path:
            return HttpResponse(404)
        return HttpResponse(200 if self._ready else 503)

    async def _answer_control(self, req: HttpRequest) -> HttpResponse:
        if req.path == STATUS_PATH:
            return HttpResponse.json(self._status())
        if req.path == EXPLAIN_PATH:
            return HttpResponse.json(self._explain(req))
        if req.path != SNAPSHOT_PATH:
            return HttpResponse(404)
        if not self._forwarder.directory.ready:
            return HttpResponse(503)
        after = StorePosition(
            int(req.query.get("era", "0")), int(req.query.get("after", "0"))
        )
        data = encode_snapshot(self._forwarder.directory, after=after)
        return HttpResponse(200, data)

    def _status(self) -> Struct:
        # Imported here, as the status of most instances is never queried.
        from magnoliaslip.runtime.status import SteeringStatus

        builder = self._status_builder()
        directory = self._forwarder.directory
        return SteeringStatus(
            id=self._cfg.id,
            zone=self._cfg.zone,
            ready=self._ready,
            era=directory.era,
            revision=directory.revision,
            changed_at=self._directory_changed_at,
            routes_version=directory.table.version if directory.table else 0,
            zones_out=sorted(self._forwarder.router.servers.zones_out),
            store_answers=self._reader.store_answers,
            store_since=self._reader.state_since,
            watches_store=self._watches_store(),
            flows=len(self._forwarder.router.flows),
            instances=builder.instances(self._gossip.members),
            servers=builder.servers(),
        )

    def _explain(self, req: HttpRequest) -> Struct:
        """Explain a flow; `serve_http` answers ValueError and KeyError with 400."""
        caller = Address.parse(req.query["caller"])
        endpoint = Address.parse(req.query["endpoint"])
        for address in (caller, endpoint):
            if ":" in address.host:
                raise ValueError(f"{address} is not an IPv4 address")
        flow = self._adapter.flow_key(caller, endpoint)
        return self._status_builder().explain(self._cfg.id, flow, endpoint)

    def _status_builder(self) -> "StatusBuilder":
        from magnoliaslip.runtime.status_builder import StatusBuilder

        return StatusBuilder(
            self._forwarder.router,
            directory=self._forwarder.directory,
            clock=self._clock,
        )

    async def _answer_metrics(self, req: HttpRequest) -> HttpResponse:
        if req.path != METRICS_PATH:
            return HttpResponse(404)
        for _ in import_metrics_page():
            await checkpoint()
        return HttpResponse(
            200, self._metrics_page.render(), (("Content-Type", METRICS_CONTENT_TYPE),)
        )

    def _read_metrics(self) -> MetricValues:
        now = self._clock.monotonic()
        directory = self._forwarder.directory
        router = self._forwarder.router
        return {
            "packets": dict(self._forwarder.counters),
            "log_lines": {
                "written": self._log_handler.written,
                "unread": self._log_handler.dropped,
            },
            "digests_rejected": self._gossip.rejected,
            "directory_era": directory.era,
            "directory_revision": directory.revision,
            "routes_version": directory.table.version if directory.table else 0,
            "servers": len(directory.servers),
            "suspect_servers": sum(
                not tracked.admits(now) for tracked in router.servers
            ),
            "live_instances": len(self._gossip.members.live(now)),
            "fleet_size": self._gossip.members.fleet_size,
            "flows": len(router.flows),
            "ready": int(self._ready),
            "watches_store": int(self._watches_store()),
            "store_answers": int(self._reader.store_answers),
        }

    async def _forward_packets(self) -> None:
        while True:
            await wait_readable(self._forwarder.sock)
            await self._forward_pending()

    async def _read_when_idle(self) -> None:
        """Read the receive queue regularly, see `TagForwarder.handle_next_batch`."""
        while True:
            await sleep(MAX_READ_INTERVAL_S)
            await self._forward_pending()

    async def _forward_pending(self) -> None:
        while self._forwarder.handle_next_batch():
            # Lets other tasks, such as digests, run between two batches.
            await checkpoint()

    async def _tick(self) -> None:
        while True:
            await sleep(TICK_PERIOD_S)
            router = self._forwarder.router
            router.on_tick(self._clock.monotonic())
            # Includes instances that are not live: in a partition they keep running.
            members = self._gossip.members
            router.server_choice.instance_count = members.fleet_size
            router.server_choice.cold_share = self._gossip.cold_share()
            router.correction_time_s = (
                0.0 if self._gossip.is_small_fleet() else CORRECTION_TIME_S
            )
            self._log_handler.report_suppressed()

    async def _handle_signals(self) -> None:
        with open_signal_receiver(SIGTERM, SIGINT, SIGHUP) as signals:
            if self._stop_requested():
                self._stop.set()
            try:
                async for signal in signals:
                    if signal == SIGHUP:
                        self._reload_settings()
                    else:
                        self._stop.set()
            finally:
                # Without a receiver, each would end the process at once, with packets
                # that it has not yet handled.
                pthread_sigmask(SIG_BLOCK, (SIGTERM, SIGINT, SIGHUP))

    def _reload_settings(self) -> None:
        """Apply seeds and log level from the settings file.

        All other settings remain unchanged until the process restarts; the addresses
        belong to the machine.
        """
        try:
            cfg = SteeringSettings.load(self._settings_path)
        except SettingsError as exc:
            log_event(logger, Event.SETTINGS_KEPT, error=str(exc))
            return
        self._cfg.seeds = cfg.seeds
        self._cfg.log_level = cfg.log_level
        self._gossip.replace_seeds(cfg.seeds)
        getLogger().setLevel(cfg.log_level)
        log_event(
            logger,
            Event.SETTINGS_RELOADED,
            seeds=[str(seed) for seed in cfg.seeds],
            log_level=cfg.log_level,
        )
