"""Processing slots of a backend server and their reduced number when cold."""

from collections import deque
from dataclasses import dataclass
from enum import Enum, auto
from typing import Generic, TypeVar

T = TypeVar("T")


@dataclass(slots=True, frozen=True)
class SlotConfig:
    """Capacity of a backend server.

    Attributes:
        slots: Concurrent requests when warm.
        queue: Requests that can wait for a slot when warm.
        cold_capacity: Concurrent requests right after a cold start.
        warm_up_s: Time over which the capacity rises to ``slots``.
        fails_when_overloaded: Whether load beyond its capacity makes a cold server
            fail.
    """

    slots: int = 4
    queue: int = 8
    cold_capacity: int = 2
    warm_up_s: float = 15.0
    fails_when_overloaded: bool = True


class Admission(Enum):
    """Outcome of admitting a request.

    Attributes:
        STARTED: It runs in a slot.
        QUEUED: It waits for a slot.
        SHED: It is refused without being run.
        OVERLOADED: It makes the cold server fail.
    """

    STARTED = auto()
    QUEUED = auto()
    SHED = auto()
    OVERLOADED = auto()


class Slots(Generic[T]):
    """Requests in progress and waiting.

    Attributes:
        running: Number of requests in progress.

    >>> slots = Slots(SlotConfig(slots=1, queue=1))
    >>> [slots.admit(item, now=0.0).name for item in "abc"]
    ['STARTED', 'QUEUED', 'SHED']
    >>> slots.release(now=1.0)
    ['b']
    """

    __slots__ = ("_cfg", "_cold_since", "_queue", "running")

    def __init__(self, cfg: SlotConfig) -> None:
        self._cfg = cfg
        self._cold_since: float | None = None
        self._queue: deque[T] = deque()
        self.running = 0

    @property
    def load(self) -> float:
        """Requests in progress and waiting, relative to the slots."""
        return (self.running + len(self._queue)) / self._cfg.slots

    @property
    def is_full(self) -> bool:
        """Whether a further request would be shed by a warm server."""
        return self.running + len(self._queue) >= self._cfg.slots + self._cfg.queue

    def restart(self, *, cold_since: float | None) -> None:
        """Discard all requests; ``cold_since`` of None starts the server warm."""
        self._queue.clear()
        self.running = 0
        self._cold_since = cold_since

    def is_cold(self, now: float) -> bool:
        """Check whether the warm-up is still in progress."""
        if self._cold_since is None:
            return False
        if now - self._cold_since >= self._cfg.warm_up_s:
            self._cold_since = None
        return self._cold_since is not None

    def capacity(self, now: float) -> int:
        """Return how many concurrent requests the server can handle now."""
        if not self.is_cold(now):
            return self._cfg.slots
        ramp = (now - self._cold_since) / self._cfg.warm_up_s
        capacity = max(self._cfg.cold_capacity, int(self._cfg.slots * ramp))
        return min(capacity, self._cfg.slots)

    def admit(self, item: T, *, now: float) -> Admission:
        """Start, queue or shed a request; a cold server does not queue."""
        if self.running < self.capacity(now):
            self.running += 1
            return Admission.STARTED
        if self.is_cold(now):
            return (
                Admission.OVERLOADED
                if self._cfg.fails_when_overloaded
                else Admission.SHED
            )
        if len(self._queue) >= self._cfg.queue:
            return Admission.SHED
        self._queue.append(item)
        return Admission.QUEUED

    def withdraw(self, item: T) -> bool:
        """Remove a waiting request; return False if it is not waiting."""
        if item not in self._queue:
            return False
        self._queue.remove(item)
        return True

    def release(self, *, now: float) -> list[T]:
        """Free the slot of a finished request; return the waiting ones that start."""
        self.running -= 1
        started = []
        while self._queue and self.running < self.capacity(now):
            started.append(self._queue.popleft())
            self.running += 1
        return started
