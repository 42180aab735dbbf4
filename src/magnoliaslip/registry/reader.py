"""Keeps the directory up to date with the store."""

from collections.abc import Callable
from logging import getLogger
from random import Random
from time import monotonic, time

from anyio import sleep

from magnoliaslip.core.errors import PlatformError
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import StorePosition
from magnoliaslip.registry.store_client import (
    ChangeBatch,
    HistoryLostError,
    StoreBusyError,
    StoreClient,
    UnreadableEntry,
)

# A watch is renewed after this time in seconds; until then, a connection that no longer
# delivers data is not noticed.
WATCH_TIMEOUT_S = 2.0
# Changes come in bursts: servers register, are replaced or removed together. After an
# answer with changes, the next watch is delayed by this time in seconds, a tenth of the
# time within which a change must be in force (platform: 3 s).
CHANGE_BATCH_DELAY_S = 0.3
# An instance that does not watch the store queries it at this interval in seconds.
POLL_INTERVAL_S = 60.0
# An instance whose reads fail for this time in seconds leaves the watching to others.
STORE_FAILURE_TOLERANCE_S = 1.5
# Interval in seconds at which it checks whether it has to watch again.
WATCH_CHECK_INTERVAL_S = 0.5
# Delays in seconds after failed reads: the initial one is doubled up to the maximum.
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8

logger = getLogger(__name__)


class RegistryReader:
    """Lists the store once, then follows its changes by watches or by polls.

    An instance that watches the store sends one watch after another; a poll is a single
    watch, once in `POLL_INTERVAL_S`.

    Args:
        store_client: Client of the store.
        directory: The directory that changes are applied to.
        on_change: Called after the directory changed.
        rng: Source of jitter for the backoff delays.
        watches_store: Returns whether this instance watches the store; it does by
            default. The others receive changes from instances that do.

    Attributes:
        calls: Number of calls to the store.
        state_since: Unix time in seconds since which `store_answers` is unchanged.
    """

    __slots__ = (
        "_backoff",
        "_directory",
        "_failing_since",
        "_on_change",
        "_rng",
        "_store_answers",
        "_store_client",
        "_watches_store",
        "_watching",
        "calls",
        "state_since",
    )

    def __init__(
        self,
        store_client: StoreClient,
        directory: Directory,
        *,
        on_change: Callable[[], None],
        rng: Random,
        watches_store: Callable[[], bool] = lambda: True,
    ) -> None:
        self._store_client = store_client
        self._directory = directory
        self._on_change = on_change
        self._rng = rng
        self._watches_store = watches_store
        self._backoff = INITIAL_BACKOFF_S
        self._store_answers = True
        self._failing_since: float | None = None
        self._watching = False
        self.calls = 0
        self.state_since = time()

    @property
    def store_answers(self) -> bool:
        """Whether the store answered the last read, even if only that it is busy."""
        return self._store_answers

    @property
    def reads_store(self) -> bool:
        """Whether this instance can watch the store for others.

        An answer that the store is busy, or an outdated list, counts as a failed read.
        """
        return (
            self._failing_since is None
            or monotonic() - self._failing_since < STORE_FAILURE_TOLERANCE_S
        )

    async def run(self) -> None:
        """Read until cancelled; skips the list if the directory was read before."""
        listed = self._directory.revision > 0
        while True:
            try:
                if listed:
                    await self._wait_for_poll()
                    await self._watch()
                else:
                    listed = await self._list()
                self._record_success()
            except HistoryLostError as exc:
                log_event(logger, Event.HISTORY_LOST, reason=exc.message)
                listed = False
            except PlatformError as exc:
                await self._back_off(exc)

    async def _list(self) -> bool:
        self.calls += 1
        batch = await self._store_client.list()
        _log_unreadable(batch)
        former = self._directory.position
        if not self._directory.replace(batch):
            raise StoreBusyError(
                f"the store listed {_position_text(batch.position)}, older than "
                f"{_position_text(former)} of the directory"
            )
        if former.era and batch.era > former.era:  # era 0 is not stated
            log_event(
                logger,
                Event.STORE_RESTORED,
                former_era=former.era,
                former_revision=former.revision,
                era=batch.era,
                revision=batch.revision,
            )
        self._on_change()
        return True

    async def _wait_for_poll(self) -> None:
        """Wait until this instance has to watch the store, or for one poll interval."""
        for _ in range(round(POLL_INTERVAL_S / WATCH_CHECK_INTERVAL_S)):
            if self._update_watching():
                return
            await sleep(WATCH_CHECK_INTERVAL_S)

    def _update_watching(self) -> bool:
        """Check whether this instance watches the store; logs when that changes."""
        watches = self._watches_store()
        if watches != self._watching:
            self._watching = watches
            log_event(logger, Event.STORE_WATCHED, watches=watches, calls=self.calls)
        return watches

    async def _watch(self) -> None:
        self.calls += 1
        era, revision = self._directory.position
        batch = await self._store_client.watch(after=revision, wait_s=WATCH_TIMEOUT_S)
        if self._directory.era != era:
            return  # another instance was faster; the changes follow another state
        if batch.era > era:
            raise HistoryLostError(
                f"the store is in era {batch.era}, the directory in era {era}"
            )
        if batch.era < era:
            raise StoreBusyError(
                f"the store answered in era {batch.era}, "
                f"older than era {era} of the directory"
            )
        _log_unreadable(batch)
        if self._directory.apply(batch) and batch.changes:
            self._on_change()
            await sleep(CHANGE_BATCH_DELAY_S)

    def _record_success(self) -> None:
        self._backoff = INITIAL_BACKOFF_S
        self._failing_since = None
        self._record_answer()

    def _record_answer(self) -> None:
        if not self._store_answers:
            self._store_answers = True
            self.state_since = time()
            directory = self._directory
            log_event(
                logger,
                Event.PLATFORM_UP,
                era=directory.era,
                revision=directory.revision,
            )

    async def _back_off(self, exc: PlatformError) -> None:
        first = self._failing_since is None
        if self._failing_since is None:
            self._failing_since = monotonic()
        if isinstance(exc, StoreBusyError):
            self._record_answer()
            if first:
                log_event(logger, Event.PLATFORM_BUSY, error=exc)
        elif self._store_answers:
            self._store_answers = False
            self.state_since = time()
            log_event(logger, Event.PLATFORM_DOWN, error=exc)
        await sleep(self._backoff * self._rng.uniform(0.5, 1.0))
        self._backoff = min(MAX_BACKOFF_S, self._backoff * 2)


def _position_text(position: StorePosition) -> str:
    return f"revision {position.revision} of era {position.era}"


def _log_unreadable(batch: ChangeBatch) -> None:
    for change in batch.changes:
        if isinstance(change, UnreadableEntry):
            log_event(
                logger, Event.ENTRY_UNREADABLE, key=change.key, reason=change.reason
            )
