"""The binary ``magnoliaslip-ops``."""

from click import group, version_option

from magnoliaslip import __version__
from magnoliaslip.ops.check import check
from magnoliaslip.ops.command_line import EXIT_CODES
from magnoliaslip.ops.explain import explain
from magnoliaslip.ops.render import render
from magnoliaslip.ops.status import status
from magnoliaslip.ops.steering import steering


@group(epilog=EXIT_CODES)
@version_option(__version__)
def main() -> None:
    """Check and render tables, and ask running instances of magnoliaslip.

    A change of tables is checked (`check`), rendered (`render`) and published with
    the tool of the platform. `status` then shows the version that each instance has
    in force, and `explain` where a flow goes. `steering` holds the commands for
    instances that steer by server tags.
    """


for subcommand in (check, render, explain, status, steering):
    main.add_command(subcommand)

if __name__ == "__main__":
    main()
