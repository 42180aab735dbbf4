"""Fetches and applies snapshots of instances that have a newer directory."""

from collections.abc import Callable
from logging import getLogger

from anyio import Event as Signal
from anyio import fail_after, sleep

from magnoliaslip.config.http_client import http_get
from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import PeerError
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.http_exchange import HttpProtocolError
from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import StorePosition
from magnoliaslip.registry.snapshot import decode_snapshot

SNAPSHOT_PATH = "/v1/snapshot"
MAX_SNAPSHOT_BYTES = 64 << 20  # 110,000 servers at 150 bytes, and routes

# Delay in seconds before a snapshot is fetched by an instance that watches the store
# itself: its own watch usually returns the same revision within this time.
OWN_WATCH_DELAY_S = 0.3
# Other instances answer in milliseconds; a request that takes longer than this time in
# seconds has failed.
READ_TIMEOUT_S = 1.0

logger = getLogger(__name__)


class SnapshotFetcher:
    """Fetches newer directories from other instances.

    An instance that watches the store first waits for its own watch to deliver them,
    unless its directory is not ready.

    Args:
        directory: Receives the snapshot.
        port: Control port of all instances.
        on_change: Called after the directory has changed.
        watches_store: Returns whether this instance watches the store itself.
    """

    __slots__ = (
        "_directory",
        "_host",
        "_host_position",
        "_newer_directory",
        "_on_change",
        "_port",
        "_watches_store",
    )

    def __init__(
        self,
        directory: Directory,
        *,
        port: int,
        on_change: Callable[[], None],
        watches_store: Callable[[], bool],
    ) -> None:
        self._directory = directory
        self._port = port
        self._on_change = on_change
        self._watches_store = watches_store
        self._host = ""
        self._host_position = StorePosition(0, 0)
        self._newer_directory = Signal()

    def on_newer_directory(self, host: str, position: StorePosition) -> None:
        """Record that an instance has a newer directory.

        Args:
            host: IP address of the instance.
            position: Position of its directory.
        """
        if position > self._host_position or not self._is_behind():
            self._host, self._host_position = host, position
        self._newer_directory.set()

    async def run(self) -> None:
        """Fetch snapshots of newer directories until cancelled."""
        while True:
            await self._newer_directory.wait()
            self._newer_directory = Signal()
            if self._directory.ready and self._watches_store():
                await sleep(OWN_WATCH_DELAY_S)
            if self._is_behind():
                await self._fetch_snapshot()

    def _is_behind(self) -> bool:
        return self._host_position > self._directory.position

    async def _fetch_snapshot(self) -> None:
        address = Address(self._host, self._port)
        era, revision = self._directory.position
        try:
            with fail_after(READ_TIMEOUT_S):
                response = await http_get(
                    address,
                    f"{SNAPSHOT_PATH}?era={era}&after={revision}",
                    max_body_bytes=MAX_SNAPSHOT_BYTES,
                )
            if response.status != 200:
                raise PeerError(
                    f"snapshot request returned status {response.status} instead of 200"
                )
            snapshot = decode_snapshot(bytes(response.body), default_era=era)
        except (OSError, TimeoutError, HttpProtocolError, PeerError) as exc:
            log_event(logger, Event.SNAPSHOT_FAILED, member=address.host, reason=exc)
            # The next digest of any newer instance names another one.
            self._host_position = StorePosition(0, 0)
            return
        directory = self._directory
        apply_changes = directory.replace if snapshot.complete else directory.apply
        if apply_changes(snapshot.batch):
            log_event(
                logger,
                Event.SNAPSHOT_TAKEN,
                member=address.host,
                era=snapshot.batch.era,
                revision=snapshot.batch.revision,
                complete=snapshot.complete,
            )
            self._on_change()
