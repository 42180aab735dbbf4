"""The simulated platform: published values, watches, outages and stale reads."""

from collections import Counter
from collections.abc import Mapping
from random import Random

from anyio import Event, move_on_after, sleep

from magnoliaslip.config.platform import Platform, PlatformValue
from magnoliaslip.core.errors import PlatformError
from magnoliaslip.proof.network import PLATFORM, Network
from magnoliaslip.proof.virtual_loop import VirtualEventLoop

# `Platform` raises an error when an answer takes longer.
ANSWER_TIMEOUT_S = 2.0


class SimPlatform:
    """The values in the store of the platform, with their publication times.

    Args:
        loop: The virtual event loop.
        rng: Random source of the lag of each reader.

    Attributes:
        down: Whether it answers no requests.
        reads: Number of reads by reader; a waiting watch counts as one read.
    """

    def __init__(self, loop: VirtualEventLoop, rng: Random) -> None:
        self.down = False
        self.reads: Counter[str] = Counter()
        self._loop = loop
        self._rng = rng
        self._values: dict[str, list[tuple[float, PlatformValue]]] = {}
        self._changed = Event()
        self._stale_since: float | None = None
        self._max_lag_s = 0.0
        self._reader_lags: dict[tuple[str, str], float] = {}

    @property
    def stale(self) -> bool:
        """Whether readers get only values from before the staleness began."""
        return self._stale_since is not None

    def publish(self, values: Mapping[str, bytes]) -> None:
        """Store new values by key."""
        now = self._loop.time()
        for key, data in values.items():
            entries = self._values.setdefault(key, [])
            index = entries[-1][1].index + 1 if entries else 1
            entries.append((now, PlatformValue(key, data, index)))
        self.notify_watches()

    def set_stale(self, stale: bool) -> None:
        """Freeze the values that readers see, or show the newest values again."""
        self._stale_since = self._loop.time() if stale else None
        self.notify_watches()

    def set_max_reader_lag(self, max_lag_s: float) -> None:
        """Show updates to each reader after a random lag for each reader and key.

        Args:
            max_lag_s: Largest lag in seconds; 0 shows all updates immediately.
        """
        self._max_lag_s = max_lag_s
        self._reader_lags.clear()
        self.notify_watches()

    def notify_watches(self) -> None:
        """Let all waiting watches read their values again."""
        changed, self._changed = self._changed, Event()
        changed.set()

    def visible_value(self, reader: str, key: str) -> PlatformValue | None:
        """Return the value of a key that is visible to a reader now."""
        now = self._loop.time() - self._reader_lag_s(reader, key)
        if self._stale_since is not None:
            now = min(now, self._stale_since)
        visible = [value for since, value in self._values.get(key, ()) if since <= now]
        return visible[-1] if visible else None

    async def wait_newer(self, reader: str, key: str, after: int) -> PlatformValue:
        """Wait until a reader sees a value whose index is above ``after``."""
        while True:
            changed = self._changed
            value = self.visible_value(reader, key)
            if value is not None and value.index > after:
                return value
            newest = self._values.get(key)
            if newest and newest[-1][1].index > after and not self.stale:
                wait_s = (
                    newest[-1][0] + self._reader_lag_s(reader, key) - self._loop.time()
                )
                await sleep(max(wait_s, 0.001))
            else:
                await changed.wait()

    def _reader_lag_s(self, reader: str, key: str) -> float:
        if not self._max_lag_s:
            return 0.0
        pair = (reader, key)
        if pair not in self._reader_lags:
            self._reader_lags[pair] = self._rng.random() * self._max_lag_s
        return self._reader_lags[pair]


class SimPlatformClient(Platform):
    """A client of one instance for the simulated platform.

    Args:
        reader: The instance.
        network: The simulated network.
        platform: The simulated platform.
    """

    __slots__ = ("_network", "_platform", "_reader", "_watch_generation")

    def __init__(self, reader: str, network: Network, platform: SimPlatform) -> None:
        self._reader = reader
        self._network = network
        self._platform = platform
        self._watch_generation = 0

    def stall_watches(self) -> None:
        """Leave the waiting watches of this reader unanswered; new watches work."""
        self._watch_generation += 1

    async def read(self, key: str) -> PlatformValue | None:
        """Return the value of a key that is visible to this reader.

        Raises:
            PlatformError: The platform did not answer within 2 s.
        """
        now = self._network.loop.time()
        await self._wait_one_way(now + ANSWER_TIMEOUT_S)
        self._platform.reads[self._reader] += 1
        value = self._platform.visible_value(self._reader, key)
        await self._wait_one_way(now + ANSWER_TIMEOUT_S)
        return value

    async def watch(
        self, key: str, *, after: int, deadline: float
    ) -> PlatformValue | None:
        """Wait until this reader sees a value whose index is above ``after``.

        Returns None when none is visible by the deadline.

        Raises:
            PlatformError: The platform did not answer within 2 s after the deadline.
        """
        generation = self._watch_generation
        last = deadline + ANSWER_TIMEOUT_S
        await self._wait_one_way(last)
        self._platform.reads[self._reader] += 1
        value = None
        with move_on_after(max(0.0, deadline - self._network.loop.time())):
            value = await self._platform.wait_newer(self._reader, key, after)
        if generation != self._watch_generation:
            await self._time_out(last)
        await self._wait_one_way(last)
        return value

    async def _wait_one_way(self, deadline: float) -> None:
        """Wait for the one-way network delay, or time out at the deadline."""
        delay = self._network.delay_s(self._reader, PLATFORM)
        if delay is None or self._platform.down:
            await self._time_out(deadline)
        else:
            await sleep(delay)

    async def _time_out(self, deadline: float) -> None:
        await sleep(max(0.0, deadline - self._network.loop.time()))
        raise PlatformError(
            "the platform did not answer",
            place=self._reader,
            remedy="check the path from the instance to the platform",
        )
