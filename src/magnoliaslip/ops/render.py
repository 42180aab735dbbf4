"""The command ``render``."""

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
    help="Directory for the values; made if it does not exist.",
)
@in_force_option
@platform_option
@option("--first", is_flag=True, help="Nothing was published yet; start at version 1.")
@exit_on_error
def render(
    tables: Path,
    output: Path,
    in_force: Path | None,
    platform: tuple[Address, ...],
    first: bool,
) -> None:
    """Write the values to publish, with versions above those in force.

    TABLES is checked as `check` does. The values are index.json, zones.json and the
    shards routes/<k>.json and pools/<k>.json, sharded by service and each below the
    limit of the platform. Values that do not change keep their version.

    The command prints the values to publish in the order in which to do so. Publish
    the index last: it names the versions that belong together.
    """
    if first == bool(in_force or platform):
        raise UsageError("state exactly one of --first, --in-force and --platform")
    source = SourceTables.load(tables)
    rendered = render_tables(source, load_tables_in_force(in_force, platform))
    for key, data in rendered.tables.values.items():
        path = output / f"{key}{FILE_SUFFIX}"
        path.parent.mkdir(parents=True, exist_ok=True)
        path.write_bytes(data)
    if not rendered.changed:
        echo(f"nothing to publish: version {rendered.tables.version} is the same")
        return
    echo(f"version {rendered.tables.version}; publish in this order:")
    for key in rendered.changed:
        echo(f"  {key}")
