"""The ``check`` command."""

from collections.abc import Sequence
from pathlib import Path

from click import UsageError, argument, command, echo, option

from magnoliaslip.config.errors import SettingsValueError
from magnoliaslip.config.settings import InstanceSettings
from magnoliaslip.config.snapshot import Snapshot
from magnoliaslip.core.address import Address
from magnoliaslip.ops.command_line import (
    DIRECTORY_PATH,
    EXIT_CODES,
    FILE_PATH,
    exit_on_error,
    in_force_option,
    load_tables_in_force,
    platform_option,
)
from magnoliaslip.ops.diff import TableDiff, compare_tables, find_warnings
from magnoliaslip.ops.source import SourceTables
from magnoliaslip.ops.text_table import format_table
from magnoliaslip.placement.bucket_table import BUCKETS


@command(epilog=EXIT_CODES)
@argument("tables", type=DIRECTORY_PATH, required=False)
@option(
    "--settings",
    "settings_files",
    type=FILE_PATH,
    multiple=True,
    help="Settings file of an instance; repeat the option to check several.",
)
@in_force_option
@platform_option
@exit_on_error
def check(
    tables: Path | None,
    settings_files: tuple[Path, ...],
    in_force: Path | None,
    platform: tuple[Address, ...],
) -> None:
    """Check tables and instance settings before they are published or used.

    TABLES is a directory with the files zones, routes* and pools*, in JSON (.json)
    or JSON with comments (.jsonc). With --in-force or --platform the command also
    lists the changes from the tables in force and, for each service, the share of
    new flows that moves to another backend server, next to the least possible share.

    Warnings do not change the exit code.

    \b
    Example:
      magnoliaslip-ops check tables --platform 10.0.0.9:8500
      magnoliaslip-ops check --settings i1.jsonc --settings i2.jsonc
    """
    if tables is None and not settings_files:
        raise UsageError("specify a directory of tables, --settings, or both")
    if tables is None and (in_force or platform):
        raise UsageError("--in-force and --platform need a directory of tables")
    snapshot = SourceTables.load(tables).snapshot if tables else None
    _check_settings(settings_files, snapshot)
    if settings_files:
        echo(f"settings are valid: {len(settings_files)} files")
    if snapshot is None:
        return
    echo(_summary(snapshot))
    for warning in find_warnings(snapshot):
        echo(f"warning: {warning}")
    in_force_tables = load_tables_in_force(in_force, platform)
    if in_force_tables is not None:
        echo(f"changes against version {in_force_tables.version}:")
        echo(format_diff(compare_tables(in_force_tables.build_snapshot(), snapshot)))


def format_diff(diff: TableDiff) -> str:
    """Format the differences as text."""
    lines = [f"  {line}" for line in diff.lines] or ["  none"]
    rows = [
        (
            move.service,
            f"{move.share:.2%}",
            f"{move.min_share:.2%}",
            "all" if move.buckets == BUCKETS else f"{move.buckets} of {BUCKETS}",
        )
        for move in diff.moves
    ]
    if rows:
        lines.append("new flows that move to another backend server:")
        headings = ("service", "moves", "least possible", "buckets compared")
        lines.append(format_table(headings, rows, indent="  "))
    return "\n".join(lines)


def _summary(snapshot: Snapshot) -> str:
    servers = sum(len(pool.servers) for pool in snapshot.pools.values())
    zones_out = ", ".join(sorted(snapshot.zones_out)) or "none"
    return (
        f"tables are valid: {len(snapshot.routes)} routes, {len(snapshot.pools)} "
        f"pools, {servers} backend servers; zones out: {zones_out}"
    )


def _check_settings(files: Sequence[Path], snapshot: Snapshot | None) -> None:
    """Check each settings file, and that ids and addresses are unique.

    Raises:
        SettingsError: A file is invalid, or two instances share an id or address.
    """
    first_paths: dict[tuple[str, str], Path] = {}
    server_zones = {
        server.zone
        for pool in (snapshot.pools.values() if snapshot else ())
        for server in pool.servers
    }
    for path in files:
        settings = InstanceSettings.load(path)
        for key in ("id", "data", "control"):
            value = str(getattr(settings, key))
            other = first_paths.setdefault((key, value), path)
            if other != path:
                raise SettingsValueError(
                    f"{value} is already the {key} of {other}",
                    place=f"{path}: {key}",
                    remedy="give each instance its own id and addresses",
                )
        if server_zones and settings.zone not in server_zones:
            echo(f"warning: {path}: no backend server is in zone {settings.zone}")
