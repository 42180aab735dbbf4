"""Values of the simulated platform and its failure modes."""

from collections import Counter
from collections.abc import Mapping
from enum import StrEnum
from json import loads

from anyio import Event, move_on_after, sleep_forever

from magnoliaslip.config.platform import PlatformValue
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.recorder import NullRecorder, Recorder


class PlatformMode(StrEnum):
    """How the platform answers a group of readers.

    Attributes:
        UP: With the current values.
        STALE: With the values from the time when the mode was set.
        DOWN: Closes connections without an answer.
        UNRESPONSIVE: Keeps connections open and never answers.
    """

    UP = "up"
    STALE = "stale"
    DOWN = "down"
    UNRESPONSIVE = "silent"


class PlatformDownError(Exception):
    """The platform is down for this group of readers."""


class PlatformStore:
    """Values by key, with a mode for each group of readers.

    A group consists of the readers on the same listener, for example those in an
    availability zone.

    Args:
        clock: Source of time for the count of reads per second.
        recorder: Receives a ``publish`` record for each new value of the key ``index``.

    Attributes:
        reads: Number of reads by group.
        peak_reads_per_s: Highest number of reads in one second, summed over the groups.
    """

    def __init__(self, *, clock: Clock, recorder: Recorder | None = None) -> None:
        self.reads: Counter[str] = Counter()
        self.peak_reads_per_s = 0
        self._clock = clock
        self._recorder = recorder or NullRecorder()
        self._values: dict[str, PlatformValue] = {}
        self._modes: dict[str, PlatformMode] = {}
        self._stale_values: dict[str, dict[str, PlatformValue]] = {}
        self._changed = Event()
        self._second = 0
        self._reads_in_second = 0

    def publish(self, key: str, data: bytes) -> int:
        """Store a value and return its modification counter.

        Raises:
            ValueError: The value is not valid JSON.
        """
        value = loads(data)
        index = self._values[key].index + 1 if key in self._values else 1
        self._values[key] = PlatformValue(key, data, index)
        if key == "index":
            self._record_publication(value)
        self._notify_readers()
        return index

    def set_mode(self, mode: PlatformMode, groups: list[str]) -> None:
        """Set the mode in which the platform answers the groups."""
        for group in groups:
            self._modes[group] = mode
            self._stale_values.pop(group, None)
            if mode is PlatformMode.STALE:
                self._stale_values[group] = dict(self._values)
        self._notify_readers()

    async def read(
        self, key: str, *, group: str, after: int = -1, wait_s: float = 0.0
    ) -> PlatformValue | None:
        """Return a value, waiting until it is newer than ``after``.

        Args:
            key: Key of the value.
            group: Group of the reader.
            after: Modification counter that the value must exceed.
            wait_s: Time to wait for a newer value, in seconds.

        Returns:
            The value, or None when it is not newer after the wait.

        Raises:
            KeyError: The key does not exist.
            PlatformDownError: The mode of the group is ``down``.
        """
        self._count_read(group)
        with move_on_after(wait_s):
            while True:
                value = await self._current_value(key, group)
                if value.index > after:
                    return value
                changed = self._changed
                if wait_s <= 0:
                    return None
                await changed.wait()
        await self._current_value(key, group)
        return None

    async def _current_value(self, key: str, group: str) -> PlatformValue:
        mode = self._modes.get(group, PlatformMode.UP)
        if mode is PlatformMode.DOWN:
            raise PlatformDownError
        if mode is PlatformMode.UNRESPONSIVE:
            await sleep_forever()
        return self._stale_values.get(group, self._values)[key]

    def _notify_readers(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.set()

    def _count_read(self, group: str) -> None:
        self.reads[group] += 1
        second = int(self._clock.monotonic())
        if second != self._second:
            self._second, self._reads_in_second = second, 0
        self._reads_in_second += 1
        self.peak_reads_per_s = max(self.peak_reads_per_s, self._reads_in_second)

    def _record_publication(self, index: Mapping[str, object]) -> None:
        zones = self._values.get("zones")
        states = loads(zones.data).get("zones", {}) if zones else {}
        self._recorder.record(
            "publish",
            version=index.get("version"),
            values=index.get("values"),
            zones_out=sorted(zone for zone, state in states.items() if state == "out"),
        )
