"""Runs the soak for some seeds; the exit code is 1 if a promise was broken."""

from pathlib import Path
from sys import exit as sys_exit
from tempfile import TemporaryDirectory

import anyio
import click

from tests.soak.schedule import Schedule
from tests.soak.site import Site


async def soak(folder, seed, seconds):
    """Run one seed; returns the promises and the faults that were injected."""
    async with Site(folder, seed) as site:
        schedule = Schedule(site)
        await schedule.run(seconds)
    return site.promises, schedule.log


@click.command()
@click.option("--first", default=1, help="First seed.")
@click.option("--seeds", default=1, help="Number of seeds, one after another.")
@click.option("--seconds", default=20.0, help="Time in seconds in which faults begin.")
@click.option("--keep", type=click.Path(), help="Folder that keeps the logs.")
def main(first, seeds, seconds, keep):
    """Inject faults into instances and check what callers and servers see."""
    failed = 0
    for seed in range(first, first + seeds):
        with TemporaryDirectory() as temporary:
            folder = Path(keep or temporary) / str(seed)
            folder.mkdir(parents=True, exist_ok=True)
            promises, log = anyio.run(soak, folder, seed, seconds)
        failed += bool(promises.violations)
        click.echo(
            f"seed {seed}: {len(promises.violations)} violations, "
            f"{promises.served} served, {promises.unserved} not"
        )
        for line in (*promises.violations, *(log if promises.violations else ())):
            click.echo(f"  {line}")
    click.echo(f"{seeds - failed} of {seeds} seeds kept every promise")
    sys_exit(1 if failed else 0)


if __name__ == "__main__":
    main()
