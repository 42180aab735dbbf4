"""Starts an instance from its settings file."""

from logging import basicConfig
from pathlib import Path
from sys import stderr, stdout

from anyio import run

from magnoliaslip.core.errors import SettingsError
from magnoliaslip.runtime.adapter import PlatformAdapter
from magnoliaslip.runtime.process import SteeringInstance
from magnoliaslip.runtime.settings import SteeringSettings

EXIT_STOPPED = 0
EXIT_INVALID_SETTINGS = 1
EXIT_ADDRESS_IN_USE = 3
LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


def run_with_settings(path: str | Path, adapter: PlatformAdapter) -> int:
    """Run an instance until it is stopped; returns the exit code of the process.

    Args:
        path: Settings file, JSON with comments.
        adapter: Translates to and from the platform.
    """
    try:
        cfg = SteeringSettings.load(path)
    except SettingsError as exc:
        print(exc, file=stderr)
        return EXIT_INVALID_SETTINGS
    basicConfig(stream=stdout, level=cfg.log_level, format=LOG_FORMAT)
    code = EXIT_STOPPED
    try:
        run(SteeringInstance(cfg, adapter).run)
    except* OSError as group:
        print(f"{group.exceptions[0]}. Remedy: check the addresses", file=stderr)
        code = EXIT_ADDRESS_IN_USE
    return code
