"""A deterministic asyncio event loop in virtual time.

The loop never blocks: when no callback is ready, its selector advances the virtual
time to the next timer. Several simulated processes share one loop. Each handle of
the loop belongs to the process of the context in which it was created, so that one
process can be paused while all others continue.

>>> from anyio import run, sleep
>>> async def measure() -> float:
...     start = get_running_loop().time()
...     await sleep(3600)
...     return get_running_loop().time() - start
>>> run(measure, backend_options={"loop_factory": VirtualEventLoop})
3600.0
"""

from asyncio import AbstractEventLoop, SelectorEventLoop, get_running_loop
from asyncio.events import Handle, TimerHandle
from collections.abc import Callable
from contextvars import Context, ContextVar, copy_context
from heapq import heappush
from selectors import BaseSelector, SelectorKey
from typing import Any

from magnoliaslip.core.clock import Clock
from magnoliaslip.core.errors import MagnoliaslipError

# Timers that are closer together than this fire in the same iteration of the loop. It
# must exceed the rounding error of adding a delay to a time of up to 1e5 s in double
# precision.
CLOCK_RESOLUTION_S = 1e-9
WALL_CLOCK_ORIGIN_S = 1.7e9  # Unix time at the virtual time 0


class VirtualDeadlockError(MagnoliaslipError):
    """All tasks of a virtual loop are waiting, and no timer is set."""

    code = "MS900"


class _VirtualSelector(BaseSelector):
    """Advances the virtual time instead of waiting for file descriptors."""

    def __init__(self) -> None:
        self.now = 0.0
        self._keys: dict[Any, SelectorKey] = {}

    def register(self, fileobj: Any, events: int, data: Any = None) -> SelectorKey:
        """Register a file object; it never becomes ready."""
        fd = fileobj if isinstance(fileobj, int) else fileobj.fileno()
        key = SelectorKey(fileobj, fd, events, data)
        self._keys[fileobj] = key
        return key

    def unregister(self, fileobj: Any) -> SelectorKey:
        """Unregister a file object."""
        return self._keys.pop(fileobj)

    def get_map(self) -> dict[Any, SelectorKey]:
        """Return the registered file objects."""
        return self._keys

    def select(self, timeout: float | None = None) -> list:
        """Advance the virtual time by ``timeout`` seconds; no file becomes ready.

        Raises:
            VirtualDeadlockError: There is no timer to advance to.
        """
        if timeout is None:
            raise VirtualDeadlockError(
                "all tasks of the virtual loop are waiting and no timer is set",
                remedy="set a deadline for the wait, or check for a lost wake-up",
            )
        if timeout > 0:
            self.now += timeout
        return []


class SimProcess:
    """A simulated operating-system process that can be paused.

    While the process is paused, its tasks, timers and deliveries do not run. They run
    in their order when it resumes, as after SIGSTOP and SIGCONT.

    Args:
        name: Name of the process.

    Attributes:
        context: Context in which the code of the process runs.
        paused: Whether the process is paused.
        ended: Whether the process was killed or has stopped. It only marks the process:
            the code that delivers packets and messages must check it.
    """

    __slots__ = ("_backlog", "_loop", "context", "ended", "name", "paused")

    def __init__(self, name: str) -> None:
        self.name = name
        self.paused = False
        self.ended = False
        self.context: Context = copy_context()
        self.context.run(_CURRENT_PROCESS.set, self)
        self._backlog: list[Handle] = []
        self._loop: VirtualEventLoop | None = None

    @property
    def backlog(self) -> int:
        """Number of callbacks that wait for the process to resume."""
        return len(self._backlog)

    def pause(self) -> None:
        """Stop running callbacks of this process."""
        self.paused = True

    def resume(self) -> None:
        """Run the callbacks that became due during the pause, and continue."""
        self.paused = False
        if self._loop is not None:
            self._loop.requeue(self._backlog)
        self._backlog = []

    def defer(self, handle: Handle, loop: "VirtualEventLoop") -> None:
        """Queue a handle that became due during a pause."""
        self._loop = loop
        self._backlog.append(handle)


_CURRENT_PROCESS: ContextVar[SimProcess | None] = ContextVar(
    "current_process", default=None
)


class _ProcessHandle(Handle):
    __slots__ = ("_process",)

    def _run(self) -> None:
        if self._process.paused:
            self._process.defer(self, self._loop)
        else:
            super()._run()


class _VirtualTimerHandle(TimerHandle):
    """A timer handle; timers with equal times fire in the order of their creation."""

    __slots__ = ("_process", "_sequence")

    def __lt__(self, other: "_VirtualTimerHandle") -> bool:
        if self._when == other._when:
            return self._sequence < other._sequence
        return self._when < other._when

    def _run(self) -> None:
        if self._process is not None and self._process.paused:
            self._process.defer(self, self._loop)
        else:
            super()._run()


class VirtualEventLoop(SelectorEventLoop):
    """An event loop whose time advances only through its timers.

    Use it with ``anyio.run(..., backend_options={"loop_factory": VirtualEventLoop})``.
    It supports neither sockets nor threads.
    """

    def __init__(self) -> None:
        self._virtual_selector = _VirtualSelector()
        super().__init__(self._virtual_selector)
        self._clock_resolution = CLOCK_RESOLUTION_S
        self._timer_count = 0

    def time(self) -> float:
        """Return the virtual time in seconds since the loop was created."""
        return self._virtual_selector.now

    def call_at(
        self,
        when: float,
        callback: Callable,
        *args: Any,
        context: Context | None = None,
    ) -> TimerHandle:
        """Schedule a callback in the process of its context."""
        context = copy_context() if context is None else context
        timer = _VirtualTimerHandle(when, callback, args, self, context)
        timer._process = context.get(_CURRENT_PROCESS)
        self._timer_count += 1
        timer._sequence = self._timer_count
        # Does the same as BaseEventLoop.call_at, which has no hook for the class of the
        # handle.
        heappush(self._scheduled, timer)
        timer._scheduled = True
        return timer

    def call_soon(
        self, callback: Callable, *args: Any, context: Context | None = None
    ) -> Handle:
        """Run a callback in the next iteration, in the process of its context."""
        context = copy_context() if context is None else context
        process = context.get(_CURRENT_PROCESS)
        if process is None:
            return super().call_soon(callback, *args, context=context)
        handle = _ProcessHandle(callback, args, self, context)
        handle._process = process
        self._ready.append(handle)
        return handle

    def requeue(self, handles: list[Handle]) -> None:
        """Run handles of a resumed process in the next iteration."""
        self._ready.extend(handles)


class VirtualClock(Clock):
    """A clock that reads the time of a virtual loop.

    Args:
        loop: The loop; the running one when it is not given.
    """

    __slots__ = ("_loop",)

    def __init__(self, loop: AbstractEventLoop | None = None) -> None:
        self._loop = get_running_loop() if loop is None else loop

    def monotonic(self) -> float:
        """Return the virtual time in seconds."""
        return self._loop.time()

    def wall(self) -> float:
        """Return virtual seconds since the Unix epoch."""
        return self._loop.time() + WALL_CLOCK_ORIGIN_S


class ProcessClock(VirtualClock):
    """The clock of one simulated process; its wall clock can be stepped.

    Args:
        loop: The loop; the running one when it is not given.
    """

    __slots__ = ("_wall_offset_s",)

    def __init__(self, loop: AbstractEventLoop | None = None) -> None:
        super().__init__(loop)
        self._wall_offset_s = 0.0

    def wall(self) -> float:
        """Return virtual seconds since the Unix epoch, all steps included."""
        return super().wall() + self._wall_offset_s

    def step_wall_clock(self, seconds: float) -> None:
        """Step the wall clock; the monotonic clock does not change."""
        self._wall_offset_s += seconds
