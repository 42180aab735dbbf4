"""The command ``magnoliaslip-instance``."""

from logging import basicConfig
from pathlib import Path
from sys import exit as exit_process
from sys import stderr

from anyio import run
from click import Path as PathType
from click import argument, command, echo, option

from magnoliaslip.config.settings import InstanceSettings
from magnoliaslip.core.errors import MagnoliaslipError

EXIT_INVALID_SETTINGS = 1
EXIT_ADDRESS_ERROR = 3
LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


@command(
    epilog="Exit codes: 0 drained and stopped, 1 invalid settings, 2 usage error, "
    "3 an address can't be bound, 130 terminated by a second signal."
)
@argument("settings", type=PathType(dir_okay=False, path_type=Path))
@option("--check", is_flag=True, help="Check the settings and exit.")
def main(settings: Path, *, check: bool) -> None:
    """Run one instance with the SETTINGS file (JSON with comments).

    The first SIGTERM or SIGINT drains the instance: it hands over the state that only
    it holds and forwards until traffic ends. A second one terminates it immediately.
    """
    try:
        cfg = InstanceSettings.load(settings)
    except MagnoliaslipError as exc:
        echo(exc, err=True)
        exit_process(EXIT_INVALID_SETTINGS)
    if check:
        echo(f"{settings}: settings are valid")
        return
    basicConfig(stream=stderr, level=cfg.log_level, format=LOG_FORMAT)
    from magnoliaslip.instance.process import run_instance

    try:
        run(run_instance, cfg)
    except* OSError as group:
        echo(
            f"{group.exceptions[0]}. Remedy: check the addresses 'data' and 'control' "
            "and the file 'record_to' in the settings",
            err=True,
        )
        exit_process(EXIT_ADDRESS_ERROR)


if __name__ == "__main__":
    main()
