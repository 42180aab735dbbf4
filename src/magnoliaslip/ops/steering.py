"""The commands ``steering check``, ``steering status`` and ``steering explain``."""

from collections.abc import Iterable
from datetime import UTC, datetime
from pathlib import Path
from sys import exit as exit_process

from anyio import run
from click import argument, echo, group, option
from msgspec.json import encode, format

from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import PeerError
from magnoliaslip.ops.asking import ask_all
from magnoliaslip.ops.command_line import (
    ADDRESS,
    EXIT_CODES,
    EXIT_UNREACHABLE,
    FILE,
    json_option,
    reports_errors,
    timeout_option,
)
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
    """Check and ask instances that steer by server tags."""


@steering.command(epilog=EXIT_CODES)
@argument("settings", type=FILE, nargs=-1, required=True)
@reports_errors
def check(settings: tuple[Path, ...]) -> None:
    """Check settings files, as the platform fills them in, before they are used."""
    for path in settings:
        cfg = SteeringSettings.load(path)
        echo(f"{path}: valid, instance {cfg.id} in zone {cfg.zone}")


@steering.command(epilog=EXIT_CODES)
@argument("instances", type=ADDRESS, nargs=-1, required=True)
@json_option
@timeout_option
@reports_errors
def status(instances: tuple[Address, ...], as_json: bool, timeout: float) -> None:
    """Show what running instances believe, and since when.

    INSTANCES are control addresses. The exit code is 3 when one did not answer; the
    others are shown.
    """

    async def ask(address: Address) -> SteeringStatus | PeerError:
        try:
            return await SteeringClient(address, timeout_s=timeout).status()
        except PeerError as exc:
            return exc

    answers = run(ask_all, instances, ask)
    states = [answer for answer in answers if isinstance(answer, SteeringStatus)]
    errors = [answer for answer in answers if isinstance(answer, PeerError)]
    if as_json:
        echo(format(encode(states)))
    else:
        echo("\n\n".join(format_status(state) for state in states))
    for error in errors:
        echo(error, err=True)
    if errors:
        exit_process(EXIT_UNREACHABLE)


@steering.command(epilog=EXIT_CODES)
@argument("caller", type=ADDRESS)
@argument("endpoint", type=ADDRESS)
@option(
    "--instance",
    type=ADDRESS,
    required=True,
    help="Control address of a running instance.",
)
@json_option
@timeout_option
@reports_errors
def explain(
    caller: Address, endpoint: Address, instance: Address, as_json: bool, timeout: float
) -> None:
    """Tell where packets of a flow go at an instance, and why.

    CALLER and ENDPOINT are the addresses and ports of both ends, as log lines have
    them in `flow`, such as 100.64.0.7:40001 198.18.0.1:443.
    """
    client = SteeringClient(instance, timeout_s=timeout)
    answer = run(client.explain, caller, endpoint)
    echo(format(encode(answer)) if as_json else format_explanation(answer))


def format_status(state: SteeringStatus) -> str:
    """Return the state of an instance for an operator to read."""
    answers = "answers" if state.store_answers else "does not answer"
    watches = ", watched from here" if state.watches_store else ""
    lines = [
        f"instance   {state.id}, zone {state.zone}, "
        f"{'ready' if state.ready else 'not ready'}, {state.flows} flows",
        f"directory  revision {state.revision}, routes version {state.routes_version}, "
        f"changed {_at(state.changed_at)}",
        f"zones out  {', '.join(state.zones_out) or 'none'}",
        f"store      {answers} since {_at(state.store_since)}{watches}",
    ]
    if state.instances:
        lines += ["", _instance_table(state.instances)]
    if state.servers:
        lines += ["", _server_table(state.servers)]
    return "\n".join(lines)


def format_explanation(answer: FlowExplanation) -> str:
    """Return an explanation for an operator to read."""
    lines = [
        f"instance    {answer.id}",
        f"tables      revision {answer.revision}, routes {answer.routes_version}",
        f"service     {answer.service or '-'}",
        f"new flow    {answer.server or '-'}",
        f"remembered  {answer.remembered or '-'}",
        "steps:",
        *(f"  {n}. {step}" for n, step in enumerate(answer.steps, start=1)),
    ]
    if answer.servers:
        lines += ["", _server_table(answer.servers)]
    return "\n".join(lines)


def _instance_table(beliefs: Iterable[SteeringPeerStatus]) -> str:
    rows = [
        (
            belief.host,
            belief.zone or "-",
            "live" if belief.live else "not heard",
            _at(belief.heard_at),
        )
        for belief in beliefs
    ]
    return format_table(("instance", "zone", "state", "last heard"), rows)


def _server_table(beliefs: Iterable[SteeringServerStatus]) -> str:
    rows = [
        (
            belief.service,
            belief.id,
            belief.zone,
            belief.state + (f" ({belief.suspected_by})" if belief.suspected_by else ""),
            _at(belief.since),
            f"{belief.load:.2f}",
            f"{belief.cold_s:g}",
        )
        for belief in beliefs
    ]
    headings = ("service", "server", "zone", "state", "since", "load", "cold s")
    return format_table(headings, rows)


def _at(unix_s: float) -> str:
    """Return a time of day in UTC; a dash for none."""
    if not unix_s:
        return "-"
    text = datetime.fromtimestamp(unix_s, UTC).isoformat(timespec="milliseconds")
    return text.replace("+00:00", "Z")
