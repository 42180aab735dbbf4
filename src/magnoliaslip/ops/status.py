"""The ``status`` command."""

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
from magnoliaslip.ops.command_line import (
    ADDRESS_PORT,
    EXIT_CODES,
    EXIT_UNREACHABLE,
    exit_on_error,
    json_option,
    platform_option,
    timeout_option,
)
from magnoliaslip.ops.published import read_instances
from magnoliaslip.ops.queries import query_all
from magnoliaslip.ops.text_table import format_table

HISTOGRAM_COLUMNS = ("count", "p50", "p90", "p99", "p99.9", "p100")


@dataclass(slots=True, frozen=True)
class InstanceReply:
    """The reply of one instance.

    Attributes:
        address: Control address of the instance.
        status: Status of the instance; None if the query failed.
        error: Why the query failed.
    """

    address: str
    status: InstanceStatus | None = None
    error: str = ""


@command(epilog=EXIT_CODES)
@argument("instances", type=ADDRESS_PORT, nargs=-1)
@platform_option
@json_option
@timeout_option
@exit_on_error
def status(
    instances: tuple[Address, ...],
    platform: tuple[Address, ...],
    as_json: bool,
    timeout: float,
) -> None:
    """Show the state of running instances.

    INSTANCES are control addresses. With --platform the command queries all
    instances on the platform's list instead. The output shows members, versions in
    force, numbers of flows and exceptions, the in-flight load (`work`) of each backend
    server, and histograms in microseconds.

    In the table of instances, `list` is the version of the list of instances,
    `unheard` are the listed members that are not live and did not announce a stop,
    and `out` the availability zones out of service.

    If an instance does not reply, the command still shows the others and exits
    with 3.

    \b
    Example:
      magnoliaslip-ops status 10.0.0.1:7100 10.0.0.2:7100
      magnoliaslip-ops status --platform 10.0.0.9:8500 --json
    """
    if bool(instances) == bool(platform):
        raise UsageError("specify either control addresses or --platform")
    if platform:
        listed = run(read_instances, HttpPlatform(platform)).entries
        instances = tuple(entry.control for entry in listed)
    replies = run(query_instances, instances, timeout)
    echo(format(encode(replies)) if as_json else format_replies(replies))
    if any(reply.status is None for reply in replies):
        exit_process(EXIT_UNREACHABLE)


async def query_instances(
    addresses: Sequence[Address], timeout_s: float
) -> list[InstanceReply]:
    """Query instances concurrently; the replies are in the order of the addresses."""

    async def query(address: Address) -> InstanceReply:
        try:
            client = AdminClient(address, timeout_s=timeout_s)
            return InstanceReply(str(address), await client.status())
        except PeerError as exc:
            return InstanceReply(str(address), error=str(exc))

    return await query_all(addresses, query)


def format_replies(replies: Sequence[InstanceReply]) -> str:
    """Format the status of all instances as text."""
    statuses = [reply.status for reply in replies if reply.status is not None]
    parts = [
        _instance_table(statuses),
        _server_table(statuses),
        _histogram_table(statuses),
    ]
    parts += [reply.error for reply in replies if reply.status is None]
    return "\n\n".join(part for part in parts if part)


def _instance_table(statuses: Sequence[InstanceStatus]) -> str:
    headings = "instance zone state config list flows exceptions members unheard out"
    rows = [_instance_row(status) for status in statuses]
    return format_table(headings.split(), rows) if rows else ""


def _instance_row(status: InstanceStatus) -> tuple[object, ...]:
    return (
        status.id,
        status.zone,
        status.state,
        status.config_version,
        status.instances_version,
        status.router.flows,
        status.router.exceptions,
        len(status.members),
        ",".join(status.unheard) or "-",
        ",".join(status.zones_out) or "-",
    )


def _server_table(statuses: Sequence[InstanceStatus]) -> str:
    """Format the in-flight load of each backend server, summed over the owners."""
    in_flight: dict[tuple[str, str], int] = {}
    server_states: dict[tuple[str, str], set[str]] = {}
    for status in statuses:
        for server in status.router.servers:
            key = server.service, server.server
            in_flight[key] = in_flight.get(key, 0) + server.work
            server_states.setdefault(key, set()).add(server.state)
    rows = [
        (
            *key,
            in_flight[key],
            ",".join(sorted(server_states[key] - {"warm"})) or "warm",
        )
        for key in sorted(in_flight)
    ]
    return format_table(("service", "server", "work", "state"), rows) if rows else ""


def _histogram_table(statuses: Sequence[InstanceStatus]) -> str:
    def rows() -> Iterator[tuple[object, ...]]:
        for status in statuses:
            for name, values in status.metrics.get("histograms", {}).items():
                columns = (values.get(column, "-") for column in HISTOGRAM_COLUMNS)
                yield (status.id, name, *columns)

    lines = list(rows())
    headings = ("instance", "histogram (us)", *HISTOGRAM_COLUMNS)
    return format_table(headings, lines) if lines else ""
