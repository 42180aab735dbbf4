"""The ``explain`` command."""

from dataclasses import replace
from pathlib import Path

from anyio import run
from click import UsageError, argument, command, echo, option
from msgspec.json import encode, format

from magnoliaslip.core.address import Address
from magnoliaslip.ops.admin_client import AdminClient
from magnoliaslip.ops.command_line import (
    ADDRESS_PORT,
    DIRECTORY_PATH,
    EXIT_CODES,
    exit_on_error,
    in_force_option,
    json_option,
    load_tables_in_force,
    platform_option,
)
from magnoliaslip.ops.explanations import explain_flow
from magnoliaslip.ops.source import SourceTables
from magnoliaslip.placement.explanation import Explanation


@command(epilog=EXIT_CODES)
@argument("caller", type=ADDRESS_PORT)
@argument("service", type=ADDRESS_PORT)
@option("--tables", type=DIRECTORY_PATH, help="Directory of tables, as for `check`.")
@in_force_option
@platform_option
@option("--instance", type=ADDRESS_PORT, help="Control address of a running instance.")
@json_option
@exit_on_error
def explain(
    caller: Address,
    service: Address,
    tables: Path | None,
    in_force: Path | None,
    platform: tuple[Address, ...],
    instance: Address | None,
    as_json: bool,
) -> None:
    """Show the service and backend server of a flow, and the reason.

    CALLER and SERVICE are the addresses and ports of the two ends of the flow.

    With --tables, --in-force or --platform the command computes the default server
    of a new flow from the tables alone. With --instance a running instance answers,
    which also considers its flow records, load and history.

    \b
    Example:
      magnoliaslip-ops explain 192.0.2.7:40000 198.51.100.10:443 --tables tables
    """
    if sum(map(bool, (tables, in_force, platform, instance))) != 1:
        raise UsageError(
            "specify exactly one of --tables, --in-force, --platform and --instance"
        )
    if instance is not None:
        explanation = run(AdminClient(instance).explain, caller, service)
    elif tables is not None:
        snapshot = replace(SourceTables.load(tables).snapshot, version=0)
        explanation = explain_flow(snapshot, caller, service)
    else:
        in_force_set = load_tables_in_force(in_force, platform)
        assert in_force_set is not None
        explanation = explain_flow(in_force_set.build_snapshot(), caller, service)
    if as_json:
        echo(format(encode(explanation)))
    else:
        echo(format_explanation(explanation))


def format_explanation(explanation: Explanation) -> str:
    """Format an explanation as text."""
    version = explanation.config_version
    lines = [
        f"service         {explanation.service or '-'}",
        f"backend server  {explanation.server or '-'}",
        f"zone            {explanation.zone or '-'}",
        f"reason          {explanation.reason or '-'}",
        f"owner           {explanation.owner or '-'}",
        f"bucket          {explanation.bucket}",
        f"tables          {f'version {version}' if version else 'not published'}",
    ]
    if explanation.steps:
        lines.append("steps:")
        lines += [f"  {n}. {step}" for n, step in enumerate(explanation.steps, start=1)]
    return "\n".join(lines)
