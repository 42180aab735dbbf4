"""Updates read from the platform, by watches and by a slow poll."""

from collections.abc import Callable
from logging import getLogger
from random import Random

import anyio

from magnoliaslip.config.platform import Platform, PlatformValue
from magnoliaslip.config.store import SnapshotStore
from magnoliaslip.config.tables import INDEX_KEY, parse_index
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import ConfigError, PlatformError
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.group import GroupView, MemberState
from magnoliaslip.peering.instance_list import INSTANCES_KEY
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.platform_read_limiter import (
    WATCHERS_PER_ZONE,
    PlatformReadLimiter,
)
from magnoliaslip.placement.hashing import rank

# A watch asks the platform for an answer within the wait, and is abandoned if none
# arrives within the grace either. It thus delays an update by less than 5 s.
WATCH_WAIT_S = 2.0
WATCH_GRACE_S = 2.0
READ_TIMEOUT_S = 2.5  # the platform client times out after 2 s
POLL_INTERVAL_S = 30.0
POLL_JITTER = 0.25  # share of the interval, shorter or longer
WATCHER_CHECK_INTERVAL_S = 0.25
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 2.0
# A new instance queries its peers first: they have the history, and may have updates
# that a stale platform lacks.
PEERS_FIRST_S = 1.0
INDEX_ATTEMPTS = 3  # the index may name tables that can't be read yet
INDEX_RETRY_DELAY_S = 0.5

logger = getLogger(__name__)


class PlatformFeed:
    """Reads the index, the tables that it names, and the list of instances.

    The watchers of an availability zone are its first two live members that are
    not leaving, by rendezvous hashing on the zone. In addition, every instance polls
    slowly.

    Args:
        membership: Provides the live members of the zone.
        clock: Source of monotonic time.
        platform: The configuration service.
        store: Receives the sets of published values.
        rng: Source of jitter.
        read_limiter: Limits the rate of reads.
        apply_instance_list: Receives the published list of instances.

    Attributes:
        last_answer_at: Monotonic time of the last answer of the platform; -inf before
            the first.
    """

    __slots__ = (
        "_apply_instance_list",
        "_clock",
        "_membership",
        "_modification_counters",
        "_peers_first_until",
        "_platform",
        "_read_limiter",
        "_rng",
        "_store",
        "_unavailable",
        "last_answer_at",
    )

    def __init__(
        self,
        membership: Membership,
        *,
        clock: Clock,
        platform: Platform,
        store: SnapshotStore,
        rng: Random,
        read_limiter: PlatformReadLimiter,
        apply_instance_list: Callable[[bytes], None],
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._platform = platform
        self._store = store
        self._rng = rng
        self._read_limiter = read_limiter
        self._apply_instance_list = apply_instance_list
        self._modification_counters = {INDEX_KEY: 0, INSTANCES_KEY: 0}
        self._unavailable = False
        self._peers_first_until = clock.monotonic() + PEERS_FIRST_S
        self.last_answer_at = float("-inf")

    async def run(self) -> None:
        """Watch and poll until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._watch, INSTANCES_KEY)
            tasks.start_soon(self._watch, INDEX_KEY)
            tasks.start_soon(self._poll)

    @property
    def is_watcher(self) -> bool:
        """Whether this instance watches the platform for its availability zone."""
        membership = self._membership
        return membership.instance_id in watchers(membership.view(), membership.zone)

    async def _watch(self, key: str) -> None:
        backoff = INITIAL_BACKOFF_S
        while True:
            if not self.is_watcher or not self._may_watch(key):
                await anyio.sleep(WATCHER_CHECK_INTERVAL_S)
                continue
            try:
                value = await self._watch_once(key)
                if value is not None:
                    await self._apply_value(value)
            except PlatformError as exc:
                self._record_unavailable(exc)
                await anyio.sleep(backoff * self._rng.uniform(0.5, 1.0))
                backoff = min(2 * backoff, MAX_BACKOFF_S)
            else:
                backoff = INITIAL_BACKOFF_S

    def _may_watch(self, key: str) -> bool:
        """Check that the peers of a new instance had time to send the configuration."""
        if key != INDEX_KEY or self._store.snapshot is not None:
            return True
        has_no_peers = (
            self._membership.list_version and not self._membership.heartbeat_targets()
        )
        return bool(has_no_peers) or self._clock.monotonic() >= self._peers_first_until

    async def _watch_once(self, key: str) -> PlatformValue | None:
        """Wait for one newer value.

        Raises:
            PlatformError: The platform failed, or the watch was not answered in time.
        """
        await self._read_limiter.acquire(watcher=True)
        deadline = self._clock.monotonic() + WATCH_WAIT_S
        after = self._modification_counters[key]
        with anyio.move_on_after(WATCH_WAIT_S + WATCH_GRACE_S):
            value = await self._platform.watch(key, after=after, deadline=deadline)
            self._record_available()
            if value is not None and value.index <= after:
                raise PlatformError(f"a watch of {key} returned an old value")
            return value
        raise PlatformError(f"a watch of {key} was not answered within the grace time")

    async def _poll(self) -> None:
        await anyio.sleep(self._rng.uniform(0, POLL_INTERVAL_S))
        while True:
            for key in (INSTANCES_KEY, INDEX_KEY):
                try:
                    await self.refresh(key)
                except PlatformError as exc:
                    self._record_unavailable(exc)
            jitter = self._rng.uniform(-POLL_JITTER, POLL_JITTER)
            await anyio.sleep(POLL_INTERVAL_S * (1 + jitter))

    async def refresh(self, key: str) -> None:
        """Read a value and apply it, whatever its modification counter.

        Raises:
            PlatformError: A read failed or was not answered.
        """
        value = await self._read(key)
        if value is not None:
            await self._apply_value(value)

    async def _read(self, key: str) -> PlatformValue | None:
        await self._read_limiter.acquire(watcher=self.is_watcher)
        with anyio.move_on_after(READ_TIMEOUT_S):
            value = await self._platform.read(key)
            self._record_available()
            return value
        raise PlatformError(f"a read of {key} was not answered")

    async def _apply_value(self, value: PlatformValue) -> None:
        if value.key == INDEX_KEY:
            await self._apply_index(value.data)
        else:
            self._apply_instance_list(value.data)
        self._modification_counters[value.key] = value.index

    async def _apply_index(self, index: bytes) -> None:
        """Read the tables that an index names, and offer the set to the store.

        Raises:
            PlatformError: A read failed or was not answered.
        """
        try:
            version = parse_index(index).version
        except ConfigError as exc:
            log_event(logger, Event.CONFIG_REJECTED, error=repr(str(exc)))
            return
        for attempt in range(INDEX_ATTEMPTS):
            if attempt:
                await anyio.sleep(INDEX_RETRY_DELAY_S)
            try:
                if version <= self._config_version:
                    self._store.offer({INDEX_KEY: index})  # reports a conflict
                    return
                values = {INDEX_KEY: index}
                for key in self._store.keys_to_read(index):
                    value = await self._read(key)
                    if value is not None:
                        values[key] = value.data
                self._store.offer(values)
                return
            except ConfigError:
                continue  # logged by the store

    @property
    def _config_version(self) -> int:
        snapshot = self._store.snapshot
        return snapshot.version if snapshot else 0

    def _record_available(self) -> None:
        self.last_answer_at = self._clock.monotonic()
        if self._unavailable:
            self._unavailable = False
            log_event(logger, Event.PLATFORM_UP)

    def _record_unavailable(self, exc: PlatformError) -> None:
        if not self._unavailable:
            self._unavailable = True
            log_event(logger, Event.PLATFORM_DOWN, error=repr(exc.message))


def watchers(view: GroupView, zone: str) -> list[str]:
    """Return the members that watch the platform for an availability zone."""
    candidates = [
        member.id
        for member in view.members.values()
        if member.zone == zone and member.state is not MemberState.LEAVING
    ]
    return rank(zone, candidates)[:WATCHERS_PER_ZONE]
