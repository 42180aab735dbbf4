"""The ``render`` command."""

from pathlib import Path

from click import Path as ClickPath
from click import UsageError, argument, command, echo, option

from magnoliaslip.core.address import Address
from magnoliaslip.ops.command_line import (
    DIRECTORY_PATH,
    EXIT_CODES,
    exit_on_error,
    in_force_option,
    load_tables_in_force,
    platform_option,
)
from magnoliaslip.ops.published import FILE_SUFFIX
from magnoliaslip.ops.rendering import render_tables
from magnoliaslip.ops.source import SourceTables


@command(epilog=EXIT_CODES)
@argument("tables", type=DIRECTORY_PATH)
@option(
    "--to",
    "output",
    type=ClickPath(file_okay=False, path_type=Path),
    required=True,
    help="Output directory for the values; created if it does not exist.",
)
@in_force_option
@platform_option
@option("--first", is_flag=True, help="First publication: start at version 1.")
@exit_on_error
def render(
    tables: Path,
    output: Path,
    in_force: Path | None,
    platform: tuple[Address, ...],
    first: bool,
) -> None:
    """Write the values to publish, with versions above those in force.

    TABLES is a directory of tables and is checked as by `check`. The output is
    index.json, zones.json and the shards routes/<k>.json and pools/<k>.json. Services
    are spread over the shards so that each value stays below the platform's size
    limit. Values that do not change keep their version.

    The command prints the values to publish, in order. Publish the index last: it
    lists the versions that belong together.

    \b
    Example:
      magnoliaslip-ops render tables --to published --first
    """
    if first == bool(in_force or platform):
        raise UsageError("specify exactly one of --first, --in-force and --platform")
    source = SourceTables.load(tables)
    rendered = render_tables(source, load_tables_in_force(in_force, platform))
    for key, data in rendered.tables.values.items():
        path = output / f"{key}{FILE_SUFFIX}"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(data)
    if not rendered.changed:
        echo(f"nothing to publish: version {rendered.tables.version} is unchanged")
        return
    echo(f"version {rendered.tables.version}; publish in this order:")
    for key in rendered.changed:
        echo(f"  {key}")
