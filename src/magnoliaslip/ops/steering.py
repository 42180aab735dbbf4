"""The ``steering check``, ``steering status`` and ``steering explain`` commands."""

from collections.abc import Iterable
from datetime import UTC, datetime
from pathlib import Path
from sys import exit as exit_process

from anyio import run
from click import argument, echo, group, option
from msgspec.json import encode, format

from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import PeerError
from magnoliaslip.ops.command_line import (
    ADDRESS_PORT,
    EXIT_CODES,
    EXIT_UNREACHABLE,
    FILE_PATH,
    exit_on_error,
    json_option,
    timeout_option,
)
from magnoliaslip.ops.queries import query_all
from magnoliaslip.ops.steering_client import SteeringClient
from magnoliaslip.ops.text_table import format_table
from magnoliaslip.runtime.settings import SteeringSettings
from magnoliaslip.runtime.status import (
    FlowExplanation,
    SteeringPeerStatus,
    SteeringServerStatus,
    SteeringStatus,
)


@group(epilog=EXIT_CODES)
def steering() -> None:
    """Check and query instances that steer by server tags."""


@steering.command(epilog=EXIT_CODES)
@argument("settings", type=FILE_PATH, nargs=-1, required=True)
@exit_on_error
def check(settings: tuple[Path, ...]) -> None:
    """Check settings files in which the platform has filled in the template fields.

    \b
    Example:
      magnoliaslip-ops steering check i1.jsonc i2.jsonc
    """
    for path in settings:
        loaded = SteeringSettings.load(path)
        echo(f"{path}: valid, instance {loaded.id} in zone {loaded.zone}")


@steering.command(epilog=EXIT_CODES)
@argument("instances", type=ADDRESS_PORT, nargs=-1, required=True)
@json_option
@timeout_option
@exit_on_error
def status(instances: tuple[Address, ...], as_json: bool, timeout: float) -> None:
    """Show how running instances assess servers, peers and the store.

    INSTANCES are control addresses. The output includes since when each server and
    the store have been in their state. If an instance does not reply, the command
    still shows the others and exits with 3.

    \b
    Example:
      magnoliaslip-ops steering status 10.0.0.1:7100 10.0.0.2:7100
    """

    async def query(address: Address) -> SteeringStatus | PeerError:
        try:
            return await SteeringClient(address, timeout_s=timeout).status()
        except PeerError as exc:
            return exc

    replies = run(query_all, instances, query)
    statuses = [reply for reply in replies if isinstance(reply, SteeringStatus)]
    errors = [reply for reply in replies if isinstance(reply, PeerError)]
    if as_json:
        echo(format(encode(statuses)))
    else:
        echo("\n\n".join(format_status(status) for status in statuses))
    for error in errors:
        echo(error, err=True)
    if errors:
        exit_process(EXIT_UNREACHABLE)


@steering.command(epilog=EXIT_CODES)
@argument("caller", type=ADDRESS_PORT)
@argument("endpoint", type=ADDRESS_PORT)
@option(
    "--instance",
    type=ADDRESS_PORT,
    required=True,
    help="Control address of a running instance.",
)
@json_option
@timeout_option
@exit_on_error
def explain(
    caller: Address, endpoint: Address, instance: Address, as_json: bool, timeout: float
) -> None:
    """Show where an instance sends the packets of a flow, and the reason.

    CALLER and ENDPOINT are the addresses and ports of the two ends, as in the key
    `flow` of log lines.

    \b
    Example:
      magnoliaslip-ops steering explain 100.64.0.7:40001 198.18.0.1:443 \\
          --instance 10.0.0.1:7100
    """
    client = SteeringClient(instance, timeout_s=timeout)
    explanation = run(client.explain, caller, endpoint)
    echo(format(encode(explanation)) if as_json else format_explanation(explanation))


def format_status(status: SteeringStatus) -> str:
    """Format the status of an instance as text."""
    store_state = "answers" if status.store_answers else "does not answer"
    watches = ", watched from here" if status.watches_store else ""
    lines = [
        f"instance   {status.id}, zone {status.zone}, "
        f"{'ready' if status.ready else 'not ready'}, {status.flows} flows",
        f"directory  revision {status.revision} of era {status.era}, "
        f"routes version {status.routes_version}, "
        f"changed {_format_time(status.changed_at)}",
        f"zones out  {', '.join(status.zones_out) or 'none'}",
        f"store      {store_state} since {_format_time(status.store_since)}{watches}",
    ]
    if status.instances:
        lines += ["", _instance_table(status.instances)]
    if status.servers:
        lines += ["", _server_table(status.servers)]
    return "\n".join(lines)


def format_explanation(explanation: FlowExplanation) -> str:
    """Format an explanation as text."""
    lines = [
        f"instance    {explanation.id}",
        f"tables      revision {explanation.revision} of era {explanation.era}, "
        f"routes {explanation.routes_version}",
        f"service     {explanation.service or '-'}",
        f"new flow    {explanation.server or '-'}",
        f"remembered  {explanation.remembered or '-'}",
        "steps:",
        *(f"  {n}. {step}" for n, step in enumerate(explanation.steps, start=1)),
    ]
    if explanation.servers:
        lines += ["", _server_table(explanation.servers)]
    return "\n".join(lines)


def _instance_table(peers: Iterable[SteeringPeerStatus]) -> str:
    rows = [
        (
            peer.host,
            peer.zone or "-",
            "live" if peer.live else "not live",
            _format_time(peer.heard_at),
        )
        for peer in peers
    ]
    return format_table(("instance", "zone", "state", "last received"), rows)


def _server_table(servers: Iterable[SteeringServerStatus]) -> str:
    rows = [
        (
            server.service,
            server.id,
            server.zone,
            server.state + (f" ({server.suspected_by})" if server.suspected_by else ""),
            _format_time(server.since),
            f"{server.load:.2f}",
            f"{server.cold_s:g}",
        )
        for server in servers
    ]
    headings = ("service", "server", "zone", "state", "since", "load", "cold s")
    return format_table(headings, rows)


def _format_time(unix_s: float) -> str:
    """Format a Unix time as ISO 8601 in UTC; a dash for 0."""
    if not unix_s:
        return "-"
    text = datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="milliseconds")
    return text.replace("+00:00", "Z")
