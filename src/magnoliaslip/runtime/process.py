"""An instance that steers by server tags, as a process."""

from collections import Counter
from contextlib import AsyncExitStack
from logging import getLogger
from random import Random
from signal import SIGHUP, SIGINT, SIGTERM

from anyio import Event as Signal
from anyio import create_task_group, open_signal_receiver, sleep

from magnoliaslip.core.clock import Clock, SystemClock
from magnoliaslip.core.errors import PacketError
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.http_server import HttpAnswer, HttpRequest, serve_http
from magnoliaslip.dataplane.udp import open_udp, read_batches
from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.reader import RegistryReader
from magnoliaslip.runtime.adapter import PlatformAdapter
from magnoliaslip.runtime.settings import SteeringSettings
from magnoliaslip.steering.router import TagRouter

TICK_S = 1.0
# After a stop was requested, the fabric needs two failed polls of 0.5 s to take the
# instance out of rotation; packets are forwarded for this long, in seconds.
LINGER_S = 1.5

logger = getLogger(__name__)


class SteeringInstance:
    """Router, registry reader and readiness of one instance.

    Args:
        cfg: Checked settings.
        adapter: Translates to and from the platform.
        clock: Source of time.
        rng: Source of jitter.
    """

    def __init__(
        self,
        cfg: SteeringSettings,
        adapter: PlatformAdapter,
        *,
        clock: Clock | None = None,
        rng: Random | None = None,
    ) -> None:
        self._cfg = cfg
        self._adapter = adapter
        self._clock = clock or SystemClock()
        self._rng = rng or Random()
        self._stop = Signal()
        self.counters: Counter[str] = Counter()
        self.directory = Directory()

    async def run(self) -> None:
        """Serve until a stop is requested, then until the fabric noticed.

        Raises:
            OSError: An address of the settings can't be bound.
        """
        async with AsyncExitStack() as stack:
            sock = stack.enter_context(open_udp(self._cfg.packets))
            self.router = TagRouter(
                self._cfg.zone,
                directory=self.directory,
                link=self._adapter.link(sock),
                rng=self._rng,
                counters=self.counters,
            )
            reader = RegistryReader(
                self._adapter.source(self._cfg.store),
                self.directory,
                on_change=self._apply_directory,
                rng=self._rng,
            )
            tasks = await stack.enter_async_context(create_task_group())
            tasks.start_soon(reader.run)
            tasks.start_soon(read_batches, sock, self.handle_batch)
            tasks.start_soon(serve_http, self._cfg.readiness, self._answer)
            tasks.start_soon(self._tick)
            tasks.start_soon(self._handle_signals)
            log_event(
                logger,
                Event.INSTANCE_STARTED,
                id=self._cfg.id,
                zone=self._cfg.zone,
                data=self._cfg.packets,
                control=self._cfg.control,
            )
            await self._stop.wait()
            await sleep(LINGER_S)
            log_event(logger, Event.INSTANCE_STOPPED, id=self._cfg.id)
            tasks.cancel_scope.cancel()

    def handle_batch(self, datagrams: list[bytes]) -> None:
        """Handle datagrams of callers."""
        now = self._clock.monotonic()
        decode = self._adapter.decode
        for datagram in datagrams:
            try:
                packet = decode(datagram)
            except PacketError:
                self.counters["drop_malformed"] += 1
                continue
            self.router.handle(packet, now)

    def _apply_directory(self) -> None:
        self.router.apply_directory(self._clock.monotonic())
        table = self.directory.table
        log_event(
            logger,
            Event.DIRECTORY_CHANGED,
            revision=self.directory.revision,
            routes_version=table.version if table else None,
            servers=len(self.directory.servers),
            zones_out=",".join(sorted(self.directory.zones_out)) or "-",
        )

    async def _answer(self, req: HttpRequest) -> HttpAnswer:
        if req.path != self._adapter.readiness_path:
            return HttpAnswer(404)
        ready = self.directory.ready and not self._stop.is_set()
        return HttpAnswer(200 if ready else 503)

    async def _tick(self) -> None:
        while True:
            await sleep(TICK_S)
            self.router.on_tick(self._clock.monotonic())

    async def _handle_signals(self) -> None:
        with open_signal_receiver(SIGTERM, SIGINT, SIGHUP) as signals:
            async for signal in signals:
                if signal != SIGHUP:
                    self._stop.set()
