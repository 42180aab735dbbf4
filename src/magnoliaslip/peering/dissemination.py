"""Dissemination of the configuration and of the list of instances.

Updates enter the group through the watches of the watchers and the slow poll of every
instance (`PlatformFeed`). They spread by transfers between peers (`PeerFeed`), which
are triggered by the versions in heartbeats; a heartbeat is sent at once when a new
version comes into force. Versions only rise, so every path may repeat, reorder or lose
updates.
"""

from collections.abc import Callable
from logging import getLogger
from random import Random

import anyio

from magnoliaslip.config.platform import Platform
from magnoliaslip.config.store import SnapshotStore
from magnoliaslip.config.tables import INDEX_KEY
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import ConfigError, PlatformError
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.links import PeerLink
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.peering.config_transfer import ConfigSource
from magnoliaslip.peering.instance_list import InstanceList
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.peer_feed import PeerFeed
from magnoliaslip.peering.platform_feed import PlatformFeed
from magnoliaslip.peering.platform_read_limiter import PlatformReadLimiter
from magnoliaslip.peering.proto.peer_pb2 import ConfigRequest, PeerMessage

HISTORY_EXPIRY_INTERVAL_S = 1.0

logger = getLogger(__name__)


class Dissemination:
    """Keeps the configuration store and the list of instances up to date.

    Args:
        membership: Receives the list of instances.
        clock: Source of monotonic time.
        link: Sends requests and replies to peers.
        platform: The configuration service.
        store: Receives the sets of published values.
        rng: Source of jitter and random choices.
        metrics: Counts reads and transfers.
        fleet_size: Expected number of instances; bounds the rate of platform reads.
        on_instance_list: Called after a new list of instances is in force.

    Attributes:
        peer_feed: Fetches updates from peers.
        platform_feed: Reads updates from the platform.
    """

    __slots__ = (
        "_config_source",
        "_instance_list_data",
        "_link",
        "_membership",
        "_on_instance_list",
        "_rejected_list_data",
        "_store",
        "peer_feed",
        "platform_feed",
    )

    def __init__(
        self,
        membership: Membership,
        *,
        clock: Clock,
        link: PeerLink,
        platform: Platform,
        store: SnapshotStore,
        rng: Random,
        metrics: Metrics,
        fleet_size: int,
        on_instance_list: Callable[[], None],
    ) -> None:
        self._membership = membership
        self._link = link
        self._store = store
        self._on_instance_list = on_instance_list
        self._config_source = ConfigSource(store, clock=clock)
        self._instance_list_data = b""
        self._rejected_list_data = b""
        read_limiter = PlatformReadLimiter(
            membership, clock=clock, rng=rng, metrics=metrics, fleet_size=fleet_size
        )
        self.platform_feed = PlatformFeed(
            membership,
            clock=clock,
            platform=platform,
            store=store,
            rng=rng,
            read_limiter=read_limiter,
            apply_instance_list=self._apply_instance_list,
        )
        self.peer_feed = PeerFeed(
            membership,
            clock=clock,
            link=link,
            store=store,
            rng=rng,
            metrics=metrics,
            apply_instance_list=self._apply_instance_list,
        )

    async def run(self) -> None:
        """Run both feeds and expire the history until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.platform_feed.run)
            tasks.start_soon(self.peer_feed.run)
            tasks.start_soon(self._expire_history)

    async def _expire_history(self) -> None:
        while True:
            await anyio.sleep(HISTORY_EXPIRY_INTERVAL_S)
            self._store.expire()

    def on_config_request(self, peer: str, req: ConfigRequest) -> None:
        """Answer a request of a peer with one piece of the reply."""
        version = self._membership.list_version
        piece = self._config_source.piece(req, self._instance_list_data, version)
        self._link.send(peer, PeerMessage(config_piece=piece))

    async def refresh_from_platform(self) -> bool:
        """Refresh the configuration from the platform.

        Returns:
            Whether the platform answered.
        """
        try:
            await self.platform_feed.refresh(INDEX_KEY)
        except PlatformError:
            return False
        return True

    def _apply_instance_list(self, data: bytes) -> None:
        try:
            instances = InstanceList.parse(data)
        except ConfigError as exc:
            if data != self._rejected_list_data:
                self._rejected_list_data = data
                log_event(logger, Event.CONFIG_REJECTED, code=exc.code, error=str(exc))
            return
        if self._membership.apply_list(instances.entries, instances.version):
            self._instance_list_data = data
            self._on_instance_list()
