"""Exit codes, parameter types, options and error handling shared by the commands."""

from collections.abc import Callable
from functools import wraps
from pathlib import Path
from sys import exit as exit_process
from typing import Any, ParamSpec

from anyio import run
from click import Context, Parameter, ParamType, UsageError, echo, option
from click import Path as ClickPath

from magnoliaslip.config.http_platform import HttpPlatform
from magnoliaslip.config.tables import TableSet
from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import MagnoliaslipError, PeerError, PlatformError
from magnoliaslip.ops.admin_client import DEFAULT_TIMEOUT_S
from magnoliaslip.ops.published import load_published, read_published

EXIT_OK = 0
EXIT_INVALID = 1
EXIT_USAGE = 2  # set by click
EXIT_UNREACHABLE = 3
EXIT_CODES = (
    "Exit codes: 0 success, 1 invalid tables or settings, 2 invalid usage, "
    "3 platform or instance unreachable."
)

Params = ParamSpec("Params")

DIRECTORY_PATH = ClickPath(exists=True, file_okay=False, path_type=Path)
FILE_PATH = ClickPath(dir_okay=False, path_type=Path)


class AddressType(ParamType):
    """Parameter type for ADDRESS:PORT."""

    name = "address:port"

    def convert(
        self, value: Any, param: Parameter | None, ctx: Context | None
    ) -> Address:
        """Parse the address; an invalid one is a usage error."""
        if isinstance(value, Address):
            return value
        try:
            return Address.parse(value)
        except ValueError as exc:
            self.fail(str(exc), param, ctx)


ADDRESS_PORT = AddressType()

in_force_option = option(
    "--in-force",
    type=DIRECTORY_PATH,
    help="Directory with the tables in force, as written by `render`.",
)
platform_option = option(
    "--platform",
    type=ADDRESS_PORT,
    multiple=True,
    help="Address of the platform; repeat the option to try several in turn.",
)
json_option = option(
    "--json", "as_json", is_flag=True, help="Print JSON instead of text."
)
timeout_option = option(
    "--timeout",
    default=DEFAULT_TIMEOUT_S,
    show_default=True,
    help="Time-out in seconds for each instance.",
)


def exit_on_error(command: Callable[Params, None]) -> Callable[Params, None]:
    """Print errors of this project to standard error and set the exit code."""

    @wraps(command)
    def wrapped(*args: Params.args, **kwargs: Params.kwargs) -> None:
        try:
            command(*args, **kwargs)
        except (PlatformError, PeerError) as exc:
            echo(exc, err=True)
            exit_process(EXIT_UNREACHABLE)
        except MagnoliaslipError as exc:
            echo(exc, err=True)
            exit_process(EXIT_INVALID)

    return wrapped


def load_tables_in_force(
    directory: Path | None, platform: tuple[Address, ...]
) -> TableSet | None:
    """Load the tables in force from files or the platform; None without either.

    Raises:
        MagnoliaslipError: The tables cannot be read, or are invalid.
        UsageError: Both a directory and the platform are specified.
    """
    if directory is not None and platform:
        raise UsageError("specify only one of --in-force and --platform")
    if directory is not None:
        return load_published(directory)
    return run(read_published, HttpPlatform(platform)) if platform else None
