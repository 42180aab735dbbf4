"""Runs the instances of the lab as child processes."""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from pathlib import Path
from re import compile as compile_pattern
from sys import executable
from typing import Any

from anyio import fail_after
from grpclib.client import Channel
from grpclib.exceptions import GRPCError, StreamTerminatedError
from msgspec.json import decode, encode

from magnoliaslip.core.address import Address
from magnoliaslip.core.group import InstanceEntry
from magnoliaslip.lab.child_processes import ChildProcess, ChildProcesses
from magnoliaslip.peering.proto.peer_grpc import AdminStub
from magnoliaslip.peering.proto.peer_pb2 import StatusRequest

SERVING_MARKER = "state=serving"
STATUS_TIMEOUT_S = 2.0
SHUTDOWN_DEADLINE_S = 10.0
EXIT_MARGIN_S = 5.0  # beyond the shutdown deadline of the instance
# Matches the log event CONFIG_IN_FORCE.
_CONFIG_VERSION_PATTERN = compile_pattern(r"MS200 .*?\bversion=(\d+)")

CommandFactory = Callable[[Path], Sequence[str]]


def instance_command(settings: Path) -> list[str]:
    """Return the command line of an instance."""
    return [executable, "-m", "magnoliaslip.instance", str(settings)]


class InstanceSupervisor:
    """Starts, stops and queries one instance, over several runs of its process.

    Args:
        entry: Entry of the instance in the list of instances.
        settings: Path of its settings file, which the constructor writes.
        values: Further settings by key.
        control: Address on which it accepts control traffic; the list of instances
            contains the address of the control proxy instead.
        children: Starts and ends the process.
        command: Builds the command line from the settings file.

    Attributes:
        config_version: Configuration version in force, from the status or else from
            the log.
        start_count: Number of starts.
        exit_codes: Exit codes of the graceful stops.
        counters: Counters of its status, summed over its runs.
        has_status: Whether any run has reported a status.
    """

    def __init__(
        self,
        entry: InstanceEntry,
        settings: Path,
        values: Mapping[str, object],
        *,
        control: Address,
        children: ChildProcesses,
        command: CommandFactory = instance_command,
    ) -> None:
        self.entry = entry
        self.control = control
        self.config_version = 0
        self.start_count = 0
        self.has_status = False
        self.exit_codes: list[int | None] = []
        self.counters: Counter[str] = Counter()
        self._children = children
        self._argv = list(command(settings))
        self._child: ChildProcess | None = None
        base_settings = {
            "id": entry.id,
            "zone": entry.zone,
            "data": str(entry.data),
            "control": str(control),
            "shutdown_deadline_s": SHUTDOWN_DEADLINE_S,
        }
        settings.write_bytes(encode(base_settings | dict(values)))

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self._child is not None and self._child.exit_code is None

    @property
    def child(self) -> ChildProcess:
        """The process of the current or last run.

        Raises:
            RuntimeError: The instance was never started.
        """
        if self._child is None:
            raise RuntimeError(f"instance {self.entry.id} was never started")
        return self._child

    async def start(self) -> None:
        """Start the process without waiting until the instance serves."""
        self.start_count += 1
        self.config_version = 0
        self._child = await self._children.start(
            self.entry.id,
            self._argv,
            ready_marker=SERVING_MARKER,
            on_line=self._on_line,
        )

    async def wait_serving(self) -> None:
        """Wait until the instance serves.

        Raises:
            ChildError: The process ended, or the instance does not serve in time.
        """
        await self.child.wait_ready()

    async def stop(self) -> None:
        """Stop the instance gracefully and wait until it has ended.

        Raises:
            ChildError: The process still runs after its shutdown deadline.
        """
        await self.collect_status()
        self.child.terminate()
        await self.child.wait_ended(SHUTDOWN_DEADLINE_S + EXIT_MARGIN_S)
        self.exit_codes.append(self.child.exit_code)

    async def status(self) -> Mapping[str, Any]:
        """Return the status of the instance; empty when it does not answer."""
        if not self.is_running:
            return {}
        return await fetch_status(self.control)

    async def collect_status(self) -> None:
        """Record version and counters of the current run; call it once, at the end."""
        status = await self.status()
        self.has_status |= bool(status)
        self.config_version = status.get("config_version", self.config_version)
        self.counters.update(status.get("metrics", {}).get("counters", {}))

    def _on_line(self, line: str) -> None:
        if match := _CONFIG_VERSION_PATTERN.search(line):
            self.config_version = int(match[1])


async def fetch_status(control: Address) -> Mapping[str, Any]:
    """Query the status of an instance; empty when it does not answer within 2 s."""
    channel = Channel(control.host, control.port)
    try:
        with fail_after(STATUS_TIMEOUT_S):
            reply = await AdminStub(channel).Status(StatusRequest())
        return decode(reply.json)
    except (OSError, TimeoutError, GRPCError, StreamTerminatedError):
        return {}
    finally:
        channel.close()
