"""Entry point of the ``magnoliaslip-ops`` command."""

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
    """Check and render tables, and query running instances of magnoliaslip.

    To change tables, check them with `check`, write the new values with `render` and
    publish these with the platform's own tool. Then `status` shows the version that
    each instance has in force, and `explain` shows where a flow goes. `steering`
    groups the commands for instances that steer by server tags.

    \b
    Example:
      magnoliaslip-ops check tables --in-force published
      magnoliaslip-ops render tables --to published --in-force published
      magnoliaslip-ops status 10.0.0.1:7100 10.0.0.2:7100
    """


for subcommand in (check, render, explain, status, steering):
    main.add_command(subcommand)

if __name__ == "__main__":
    main()
