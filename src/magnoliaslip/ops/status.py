"""The command ``status``."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from sys import exit as exit_process

from anyio import run
from click import UsageError, argument, command, echo
from msgspec.json import encode, format

from magnoliaslip.config.http_platform import HttpPlatform
from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import PeerError
from magnoliaslip.instance.status import InstanceStatus
from magnoliaslip.ops.admin_client import AdminClient
from magnoliaslip.ops.asking import ask_all
from magnoliaslip.ops.command_line import (
    ADDRESS,
    EXIT_CODES,
    EXIT_UNREACHABLE,
    json_option,
    platform_option,
    reports_errors,
    timeout_option,
)
from magnoliaslip.ops.published import read_instances
from magnoliaslip.ops.text_table import format_table

HISTOGRAM_COLUMNS = ("count", "p50", "p90", "p99", "p99.9", "p100")


@dataclass(slots=True, frozen=True)
class InstanceAnswer:
    """The answer of one instance.

    Attributes:
        address: Its control address.
        status: Its status; None when it did not answer.
        error: Why it did not answer.
    """

    address: str
    status: InstanceStatus | None = None
    error: str = ""


@command(epilog=EXIT_CODES)
@argument("instances", type=ADDRESS, nargs=-1)
@platform_option
@json_option
@timeout_option
@reports_errors
def status(
    instances: tuple[Address, ...],
    platform: tuple[Address, ...],
    as_json: bool,
    timeout: float,
) -> None:
    """Show the state of running instances.

    INSTANCES are control addresses. With --platform the instances of its list are
    asked instead. The output shows members, versions in force, flows and exceptions
    held, work in flight on each backend server, and histograms in microseconds.

    The exit code is 3 when an instance did not answer; the others are shown.
    """
    if bool(instances) == bool(platform):
        raise UsageError("state control addresses, or --platform")
    if platform:
        listed = run(read_instances, HttpPlatform(platform)).entries
        instances = tuple(entry.control for entry in listed)
    answers = run(ask_instances, instances, timeout)
    echo(format(encode(answers)) if as_json else format_answers(answers))
    if any(answer.status is None for answer in answers):
        exit_process(EXIT_UNREACHABLE)


async def ask_instances(
    addresses: Sequence[Address], timeout_s: float
) -> list[InstanceAnswer]:
    """Ask instances at the same time; the answers are in order of the addresses."""

    async def ask(address: Address) -> InstanceAnswer:
        try:
            client = AdminClient(address, timeout_s=timeout_s)
            return InstanceAnswer(str(address), await client.status())
        except PeerError as exc:
            return InstanceAnswer(str(address), error=str(exc))

    return await ask_all(addresses, ask)


def format_answers(answers: Sequence[InstanceAnswer]) -> str:
    """Return the state of all instances for an operator to read."""
    states = [answer.status for answer in answers if answer.status is not None]
    parts = [
        _instance_table(states),
        _server_table(states),
        _histogram_table(states),
    ]
    parts += [answer.error for answer in answers if answer.status is None]
    return "\n\n".join(part for part in parts if part)


def _instance_table(states: Sequence[InstanceStatus]) -> str:
    headings = "instance zone state config list flows exceptions members unheard out"
    rows = [_row(state) for state in states]
    return format_table(headings.split(), rows) if rows else ""


def _row(state: InstanceStatus) -> tuple[object, ...]:
    return (
        state.id,
        state.zone,
        state.state,
        state.config_version,
        state.instances_version,
        state.router.flows,
        state.router.exceptions,
        len(state.members),
        ",".join(state.unheard) or "-",
        ",".join(state.zones_out) or "-",
    )


def _server_table(states: Sequence[InstanceStatus]) -> str:
    """Return the work on each backend server, summed over the owners."""
    work: dict[tuple[str, str], int] = {}
    marks: dict[tuple[str, str], set[str]] = {}
    for state in states:
        for server in state.router.servers:
            key = server.service, server.server
            work[key] = work.get(key, 0) + server.work
            marks.setdefault(key, set()).add(server.state)
    rows = [
        (*key, work[key], ",".join(sorted(marks[key] - {"warm"})) or "warm")
        for key in sorted(work)
    ]
    return format_table(("service", "server", "work", "state"), rows) if rows else ""


def _histogram_table(states: Sequence[InstanceStatus]) -> str:
    def rows() -> Iterator[tuple[object, ...]]:
        for state in states:
            for name, values in state.metrics.get("histograms", {}).items():
                columns = (values.get(column, "-") for column in HISTOGRAM_COLUMNS)
                yield (state.id, name, *columns)

    lines = list(rows())
    headings = ("instance", "histogram (us)", *HISTOGRAM_COLUMNS)
    return format_table(headings, lines) if lines else ""
