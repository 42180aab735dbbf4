"""Child processes that are all ended when their context exits."""

from collections import deque
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager, suppress
from os import environ, kill, pathsep
from pathlib import Path
from signal import SIGCONT, SIGKILL, SIGSTOP, SIGTERM
from subprocess import PIPE

from anyio import (
    BrokenResourceError,
    CancelScope,
    ClosedResourceError,
    EndOfStream,
    Event,
    create_task_group,
    fail_after,
    move_on_after,
    open_process,
)
from anyio.abc import ByteReceiveStream, Process, TaskGroup

import magnoliaslip
from magnoliaslip.core.errors import MagnoliaslipError

START_TIMEOUT_S = 15.0
SECOND_SIGNAL_DELAY_S = 0.3  # two signals sent at once would be delivered as one
STOP_TIMEOUT_S = 3.0
OUTPUT_TAIL_LINES = 30
RECEIVE_BYTES = 65_536

LineHandler = Callable[[str], None]


class ChildError(MagnoliaslipError):
    """A child process did not become ready or did not end in time."""

    code = "MS800"


class ChildProcess:
    """One child process.

    Attributes:
        name: Name for messages.
        lines: The last lines of its output, at most `OUTPUT_TAIL_LINES`.
        ready: Set once the ready marker appeared in its output.
        ended: Set once the process has ended and its output has been read.
    """

    def __init__(self, name: str, process: Process, ready_marker: str) -> None:
        self.name = name
        self.lines: deque[str] = deque(maxlen=OUTPUT_TAIL_LINES)
        self.ready = Event()
        self.ended = Event()
        self._process = process
        self._ready_marker = ready_marker

    @property
    def exit_code(self) -> int | None:
        """The exit code, or None while the process runs."""
        return self._process.returncode

    def on_line(self, line: str) -> None:
        """Record a line of output; sets `ready` when it has the ready marker."""
        self.lines.append(line)
        if self._ready_marker in line:
            self.ready.set()

    def terminate(self) -> None:
        """Send SIGTERM."""
        self._send_signal(SIGTERM)

    def kill(self) -> None:
        """Send SIGKILL."""
        self._send_signal(SIGKILL)

    def pause(self) -> None:
        """Send SIGSTOP."""
        self._send_signal(SIGSTOP)

    def resume(self) -> None:
        """Send SIGCONT."""
        self._send_signal(SIGCONT)

    async def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Wait until the ready marker appears in the output.

        Raises:
            ChildError: The process ended, or the marker did not appear in time.
        """
        with move_on_after(timeout_s):
            async with create_task_group() as tasks:
                for event in (self.ready, self.ended):
                    tasks.start_soon(_cancel_after, event, tasks.cancel_scope)
        if not self.ready.is_set():
            output = "\n  ".join(self.lines) or "(no output)"
            raise ChildError(
                f"{self.name} ended or was not ready in time (exit code "
                f"{self.exit_code}, None if it still runs)",
                remedy=f"check the last lines of its output:\n  {output}",
            )

    async def wait_ended(self, timeout_s: float) -> None:
        """Wait until the process has ended.

        Raises:
            ChildError: The process still runs after the time-out.
        """
        try:
            with fail_after(timeout_s):
                await self.ended.wait()
        except TimeoutError:
            raise ChildError(
                f"{self.name} did not end within {timeout_s:g} s",
                remedy="check its log for the operation that it waits for",
            ) from None

    def _send_signal(self, number: int) -> None:
        if self.exit_code is None:
            # `Popen.send_signal` would reap an ended process. The event loop would
            # then miss its exit code and report 255.
            with suppress(ProcessLookupError):
                kill(self._process.pid, number)


class ChildProcesses:
    """Starts child processes, collects their output and ends all of them.

    Args:
        tasks: Runs the tasks that read the output.
        log_dir: Directory for a log file of the output of each child, or None.
    """

    def __init__(self, tasks: TaskGroup, log_dir: Path | None = None) -> None:
        self._tasks = tasks
        self._log_dir = log_dir
        self._children: list[ChildProcess] = []

    async def start(
        self,
        name: str,
        argv: Sequence[str],
        *,
        ready_marker: str,
        on_line: LineHandler | None = None,
    ) -> ChildProcess:
        """Start a process without waiting until it is ready.

        Args:
            name: Name for messages and for the log file.
            argv: Command line.
            ready_marker: Text in the output line that shows that the process is ready.
            on_line: Called with each line of output.
        """
        # Standard input is a pipe, because the simulators end when it closes: they also
        # end when this process is killed and can't clean up.
        # Shielded, because a process that is started but not yet registered would
        # never be ended.
        with CancelScope(shield=True):
            process = await open_process(
                argv, stdin=PIPE, stdout=PIPE, stderr=PIPE, env=_child_environment()
            )
            child = ChildProcess(name, process, ready_marker)
            self._children.append(child)
        self._tasks.start_soon(self._collect_output, child, process, on_line)
        return child

    async def terminate_all(self) -> None:
        """End all children: SIGTERM twice, then SIGKILL after `STOP_TIMEOUT_S`."""
        running = [child for child in self._children if child.exit_code is None]
        for child in running:
            child.resume()
            child.terminate()
        await _wait_until_ended(running, SECOND_SIGNAL_DELAY_S)
        for child in running:
            child.terminate()  # an instance exits immediately on the second signal
        await _wait_until_ended(running, STOP_TIMEOUT_S)
        for child in running:
            child.kill()
        await _wait_until_ended(running, STOP_TIMEOUT_S)

    async def _collect_output(
        self, child: ChildProcess, process: Process, on_line: LineHandler | None
    ) -> None:
        def handle(line: str) -> None:
            child.on_line(line)
            if on_line:
                on_line(line)
            if self._log_dir:
                with (self._log_dir / f"{child.name}.log").open("a") as file:
                    file.write(line + "\n")

        # Shielded from cancellation, so that the last lines and the exit code are
        # always collected; `terminate_all` bounds the wait.
        with CancelScope(shield=True):
            async with create_task_group() as tasks:
                tasks.start_soon(_read_output, process.stdout, handle)
                tasks.start_soon(_read_output, process.stderr, handle)
            await process.wait()
            child.ended.set()
            await process.aclose()


@asynccontextmanager
async def open_child_processes(
    log_dir: Path | None = None,
) -> AsyncIterator[ChildProcesses]:
    """Provide child processes; all have ended when the block is left."""
    async with create_task_group() as tasks:
        children = ChildProcesses(tasks, log_dir)
        try:
            yield children
        finally:
            with CancelScope(shield=True):
                await children.terminate_all()


async def _wait_until_ended(children: Sequence[ChildProcess], timeout_s: float) -> None:
    with move_on_after(timeout_s):
        for child in children:
            await child.ended.wait()


def _child_environment() -> dict[str, str]:
    """Return an environment in which children import this copy of the package."""
    source = str(Path(magnoliaslip.__file__).parent.parent)
    paths = [source, *filter(None, [environ.get("PYTHONPATH")])]
    return dict(environ) | {"PYTHONPATH": pathsep.join(paths)}


async def _cancel_after(event: Event, scope: CancelScope) -> None:
    await event.wait()
    scope.cancel()


async def _read_output(stream: ByteReceiveStream | None, handle: LineHandler) -> None:
    rest = b""
    with suppress(EndOfStream, BrokenResourceError, ClosedResourceError):
        while stream is not None:
            *lines, rest = (rest + await stream.receive(RECEIVE_BYTES)).split(b"\n")
            for line in lines:
                handle(line.decode(errors="replace"))
    if rest:
        handle(rest.decode(errors="replace"))
