"""An instance that steers by server tags, as tasks of an event loop."""

from contextlib import AsyncExitStack
from logging import getLogger
from random import Random
from signal import SIGHUP, SIGINT, SIGTERM

from anyio import Event as Signal
from anyio import create_task_group, open_signal_receiver, sleep

from magnoliaslip.core.clock import Clock, SystemClock
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.http_server import HttpAnswer, HttpRequest, serve_http
from magnoliaslip.dataplane.udp import read_batches
from magnoliaslip.dataplane.udp_socket import open_udp
from magnoliaslip.gossip.catch_up import SNAPSHOT_PATH, CatchUp
from magnoliaslip.gossip.exchange import GossipExchange
from magnoliaslip.registry.reader import RegistryReader
from magnoliaslip.registry.snapshot import encode_snapshot
from magnoliaslip.registry.source import RegistrySource
from magnoliaslip.runtime.forwarder import Forwarder
from magnoliaslip.runtime.settings import SteeringSettings

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"
TICK_S = 1.0
# After a stop was requested, the fabric needs two failed polls of 0.5 s to take the
# instance out of rotation; packets are forwarded for this long, in seconds.
LINGER_S = 1.5

logger = getLogger(__name__)


class SteeringInstance:
    """Packet path, registry reader and readiness of one instance.

    Args:
        cfg: Checked settings.
        forwarder: The packet path, which may have forwarded packets already.
        source: The platform's store.
        readiness_path: Path at which the fabric asks for readiness.
        clock: Source of time.
        rng: Source of jitter.
    """

    def __init__(
        self,
        cfg: SteeringSettings,
        forwarder: Forwarder,
        *,
        source: RegistrySource,
        readiness_path: str,
        clock: Clock | None = None,
        rng: Random | None = None,
    ) -> None:
        self._cfg = cfg
        self._forwarder = forwarder
        self._source = source
        self._readiness_path = readiness_path
        self._clock = clock or SystemClock()
        self._rng = rng or Random()
        self._stop = Signal()

    async def run(self) -> None:
        """Serve until a stop is requested, then until the fabric noticed.

        Raises:
            OSError: An address of the settings can't be bound.
        """
        reader = RegistryReader(
            self._source,
            self._forwarder.directory,
            on_change=self._apply_directory,
            rng=self._rng,
        )
        catch_up = CatchUp(
            self._forwarder.directory,
            port=self._cfg.control.port,
            on_change=self._apply_directory,
        )
        async with AsyncExitStack() as stack:
            control = stack.enter_context(open_udp(self._cfg.control))
            self._gossip = GossipExchange(
                control,
                zone=self._cfg.zone,
                seeds=self._cfg.seeds,
                started_ms=int(self._clock.wall() * 1000),
                directory=self._forwarder.directory,
                servers=self._forwarder.router.servers,
                clock=self._clock,
                on_news=catch_up.note_news,
            )
            self._forwarder.router.on_evidence = self._gossip.announce
            tasks = await stack.enter_async_context(create_task_group())
            tasks.start_soon(self._handle_signals)
            tasks.start_soon(
                read_batches, self._forwarder.sock, self._forwarder.handle_batch
            )
            tasks.start_soon(reader.run)
            tasks.start_soon(serve_http, self._cfg.readiness, self._answer)
            tasks.start_soon(catch_up.run)
            tasks.start_soon(serve_http, self._cfg.control, self._answer_peer)
            tasks.start_soon(self._gossip.receive)
            tasks.start_soon(self._gossip.send_periodically)
            tasks.start_soon(self._tick)
            log_event(
                logger,
                Event.INSTANCE_STARTED,
                id=self._cfg.id,
                zone=self._cfg.zone,
                data=self._cfg.packets,
                control=self._cfg.control,
            )
            self._log_directory()
            await self._stop.wait()
            self._gossip.announce_leaving()
            await sleep(LINGER_S)
            log_event(logger, Event.INSTANCE_STOPPED, id=self._cfg.id)
            tasks.cancel_scope.cancel()

    def _apply_directory(self) -> None:
        self._forwarder.apply_directory()
        self._log_directory()

    def _log_directory(self) -> None:
        directory = self._forwarder.directory
        log_event(
            logger,
            Event.DIRECTORY_CHANGED,
            revision=directory.revision,
            routes_version=directory.table.version if directory.table else None,
            servers=len(directory.servers),
            zones_out=",".join(sorted(directory.zones_out)) or "-",
        )

    async def _answer(self, req: HttpRequest) -> HttpAnswer:
        if req.path != self._readiness_path:
            return HttpAnswer(404)
        ready = self._forwarder.directory.ready and not self._stop.is_set()
        return HttpAnswer(200 if ready else 503)

    async def _answer_peer(self, req: HttpRequest) -> HttpAnswer:
        if req.path != SNAPSHOT_PATH:
            return HttpAnswer(404)
        if not self._forwarder.directory.ready:
            return HttpAnswer(503)
        return HttpAnswer(200, encode_snapshot(self._forwarder.directory))

    async def _tick(self) -> None:
        while True:
            await sleep(TICK_S)
            now = self._clock.monotonic()
            self._forwarder.router.on_tick(now)
            # The most instances that were ever heard: those that a cut hides go on.
            count = 1 + len(self._gossip.peers)
            self._forwarder.router.instances = count

    async def _handle_signals(self) -> None:
        with open_signal_receiver(SIGTERM, SIGINT, SIGHUP) as signals:
            async for signal in signals:
                if signal != SIGHUP:
                    self._stop.set()
