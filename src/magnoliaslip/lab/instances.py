"""The instances of the lab as child processes."""

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

SERVING_TEXT = "state=serving"
STATUS_TIMEOUT_S = 2.0
SHUTDOWN_DEADLINE_S = 10.0
EXIT_MARGIN_S = 5.0  # beyond the shutdown deadline of the instance
_VERSION_PATTERN = compile_pattern(r"MS200 .*?\bversion=(\d+)")

CommandFactory = Callable[[Path], Sequence[str]]


def instance_command(settings: Path) -> list[str]:
    """Return the command line of an instance."""
    return [executable, "-m", "magnoliaslip.instance", str(settings)]


class InstanceSupervisor:
    """One instance that can be stopped and started again.

    Args:
        entry: Its line in the list of instances.
        control: Where it listens; the list names its front at the fabric.
        settings: Its settings file; written here.
        values: Further settings.
        children: Owner of the process.
        command: Makes the command line from the settings file.

    Attributes:
        config_version: Version in force by its status, or else by its log.
        starts: How often it was started.
        counters: Counters of its status, summed over its runs.
        has_status: Whether any run stated its counters.
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
        self.starts = 0
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
        """The present process.

        Raises:
            RuntimeError: It was never started.
        """
        if self._child is None:
            raise RuntimeError(f"{self.entry.id} was never started")
        return self._child

    async def start(self) -> None:
        """Start the process without waiting until it serves."""
        self.starts += 1
        self.config_version = 0
        self._child = await self._children.start(
            self.entry.id, self._argv, ready=SERVING_TEXT, on_line=self._on_line
        )

    async def wait_serving(self) -> None:
        """Wait until the instance serves.

        Raises:
            ChildError: It ended or does not serve in time.
        """
        await self.child.wait_ready()

    async def stop(self) -> None:
        """Stop the instance gracefully and wait until it has ended.

        Raises:
            ChildError: It does not end after its shutdown deadline.
        """
        await self.collect_status()
        self.child.terminate()
        await self.child.wait_ended(SHUTDOWN_DEADLINE_S + EXIT_MARGIN_S)
        self.exit_codes.append(self.child.exit_code)

    async def status(self) -> Mapping[str, Any]:
        """Return the status of the running instance; empty when it answers none."""
        if not self.is_running:
            return {}
        return await fetch_status(self.control)

    async def collect_status(self) -> None:
        """Note version and counters of the present run; called once at its end."""
        status = await self.status()
        self.has_status |= bool(status)
        self.config_version = status.get("config_version", self.config_version)
        self.counters.update(status.get("metrics", {}).get("counters", {}))

    def _on_line(self, line: str) -> None:
        if match := _VERSION_PATTERN.search(line):
            self.config_version = int(match[1])


async def fetch_status(control: Address) -> Mapping[str, Any]:
    """Ask an instance for its status; empty when it does not answer in 2 s."""
    channel = Channel(control.host, control.port)
    try:
        with fail_after(STATUS_TIMEOUT_S):
            reply = await AdminStub(channel).Status(StatusRequest())
        return decode(reply.json)
    except (OSError, TimeoutError, GRPCError, StreamTerminatedError):
        return {}
    finally:
        channel.close()
