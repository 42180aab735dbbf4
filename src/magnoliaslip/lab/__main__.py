"""The binary ``magnoliaslip-lab``."""

from collections.abc import Awaitable, Callable
from contextlib import suppress
from os import read
from pathlib import Path
from signal import SIGINT, SIGTERM
from sys import exit as exit_process
from sys import stdin
from typing import Any

from anyio import (
    CancelScope,
    create_task_group,
    open_signal_receiver,
    run,
    wait_readable,
)
from click import (
    BadParameter,
    Choice,
    Context,
    Parameter,
    argument,
    echo,
    group,
    option,
)
from click import Path as PathType

from magnoliaslip.core.address import Address
from magnoliaslip.core.errors import MagnoliaslipError
from magnoliaslip.lab.deployment import DEPLOYMENTS

EXIT_FAILED = 1
EXIT_INVALID = 3
EXIT_INTERRUPTED = 130

AsyncMain = Callable[[], Awaitable[Any]]


def _address(ctx: Context, param: Parameter, value: str) -> Address:
    try:
        return Address.parse(value)
    except ValueError as exc:
        raise BadParameter(str(exc)) from exc


def _addresses(ctx: Context, param: Parameter, values: tuple[str]) -> list[Address]:
    return [_address(ctx, param, value) for value in values]


def _named_addresses(
    ctx: Context, param: Parameter, values: tuple[str]
) -> dict[str, Address]:
    pairs = [value.partition("=") for value in values]
    return {name: _address(ctx, param, address) for name, _, address in pairs}


_until_eof = option(
    "--until-eof", is_flag=True, help="Also end when standard input is closed."
)
_record_to = option(
    "--record-to",
    type=PathType(dir_okay=False, path_type=Path),
    help="File that receives history records as JSON lines.",
)
_seed = option("--seed", default=1, show_default=True, help="Seed of random choices.")
_deployment = option(
    "--deployment",
    type=Choice(list(DEPLOYMENTS)),
    default="karaganda",
    show_default=True,
    help="What is set up.",
)
_logs = option(
    "--logs",
    type=PathType(file_okay=False, path_type=Path),
    help="Directory that receives the output of each process.",
)
_records = option(
    "--records",
    type=PathType(file_okay=False, path_type=Path),
    help="Directory that receives the history records of each process.",
)


@group(
    epilog="Exit codes: 0 success, 1 a request was not answered in full or a process "
    "failed, 2 wrong usage, 3 an invalid file, 130 interrupted."
)
def main() -> None:
    """Stand-ins of the environment of magnoliaslip, on loopback.

    The platform, the fabric, backend servers and callers run as plain processes.
    `demo` and `experiment` start all of them together with the instances.
    """


@main.command()
@option(
    "--listen",
    "listeners",
    multiple=True,
    required=True,
    callback=_named_addresses,
    help="GROUP=ADDRESS:PORT for each group of readers, for example a zone.",
)
@_record_to
@_until_eof
def platform(
    listeners: dict[str, Address], *, record_to: Path | None, until_eof: bool
) -> None:
    """Run the platform: values over HTTP/1.1 with long polls.

    Lab only: PUT /lab/values/KEY publishes a value, PUT /lab/mode with
    {"mode": "up" | "stale" | "down" | "silent", "group": ...} changes how it
    answers, GET /lab/reads counts reads.
    """
    from magnoliaslip.core.clock import SystemClock
    from magnoliaslip.lab.model_loop import open_recorder
    from magnoliaslip.lab.platform_server import PlatformServer
    from magnoliaslip.lab.platform_store import PlatformStore

    clock = SystemClock()
    with open_recorder(record_to, who="platform", clock=clock) as recorder:
        store = PlatformStore(clock=clock, recorder=recorder)
        _run(PlatformServer(store, listeners).run, until_eof=until_eof)


@main.command()
@option(
    "--settings",
    type=PathType(dir_okay=False, exists=True, path_type=Path),
    required=True,
    help="Settings file in JSON.",
)
@_until_eof
def fabric(settings: Path, *, until_eof: bool) -> None:
    """Run the router fabric, which sprays packets over the instances.

    Lab only, on its admin address: PUT /lab/instances, PUT /lab/rules,
    GET /lab/counters.
    """
    from magnoliaslip.lab.fabric_process import FabricProcess

    _run(FabricProcess.load(settings).run, until_eof=until_eof)


@main.command()
@option("--name", required=True, help="Name in the pool.")
@option("--service", required=True, help="Service that it belongs to.")
@option("--zone", required=True, help="Its availability zone.")
@option("--listen", required=True, callback=_address, help="UDP and HTTP address.")
@option(
    "--address",
    "addresses",
    multiple=True,
    required=True,
    callback=_addresses,
    help="Service address inside the tunnel.",
)
@option("--returns", required=True, callback=_address, help="Fabric's return address.")
@option("--slots", default=4, show_default=True, help="Requests at a time.")
@option("--connections", default=2000, show_default=True, help="Open flows.")
@option("--cold", is_flag=True, help="Start cold.")
@_seed
@_record_to
@_until_eof
def backend(
    name: str,
    service: str,
    zone: str,
    listen: Address,
    addresses: list[Address],
    returns: Address,
    slots: int,
    connections: int,
    *,
    cold: bool,
    seed: int,
    record_to: Path | None,
    until_eof: bool,
) -> None:
    """Run one backend server.

    GET /v1/health states its health and load. Lab only: PUT /lab/fault with
    {"fault": "cold" | "drain" | "silent" | "audible" | "silent_flows"} or
    {"fault": "health", "mode": "honest" | "lagging" | "lying"}.
    """
    from magnoliaslip.config.snapshot import BackendServer
    from magnoliaslip.lab.backend_process import BackendProcess

    server = BackendServer(name, listen, zone, slots, connections)
    process = BackendProcess(
        server, service, addresses, returns, seed=seed, cold=cold, record_to=record_to
    )
    _run(process.run, until_eof=until_eof)


@main.command()
@option("--name", required=True, help="Prefix of request identifiers.")
@option("--host", required=True, help="IPv4 address of its flows.")
@option("--listen", required=True, callback=_address, help="UDP and HTTP address.")
@option("--fabric", required=True, callback=_address, help="Fabric's caller address.")
@option(
    "--service",
    "services",
    multiple=True,
    required=True,
    callback=_named_addresses,
    help="NAME=ADDRESS:PORT of a service.",
)
@option(
    "--load",
    type=PathType(dir_okay=False, exists=True, path_type=Path),
    help="File in JSON with the load; the default load otherwise.",
)
@_seed
@_record_to
@_until_eof
def caller(
    name: str,
    host: str,
    listen: Address,
    fabric: Address,
    services: dict[str, Address],
    *,
    load: Path | None,
    seed: int,
    record_to: Path | None,
    until_eof: bool,
) -> None:
    """Run one caller; PUT /lab/start starts its load, PUT /lab/stop ends it."""
    from msgspec.json import decode

    from magnoliaslip.lab.caller_process import CallerProcess
    from magnoliaslip.lab.load import LoadConfig

    cfg = decode(load.read_bytes(), type=LoadConfig) if load else LoadConfig()
    process = CallerProcess(
        name, host, listen, fabric, services, load=cfg, seed=seed, record_to=record_to
    )
    _run(process.run, until_eof=until_eof)


@main.command()
@_deployment
@option(
    "--rate", default=15.0, show_default=True, help="New sessions/s of each caller."
)
@option("--callers", default=2, show_default=True, help="Number of callers.")
@_seed
@_logs
@_records
def demo(
    deployment: str,
    *,
    rate: float,
    callers: int,
    seed: int,
    logs: Path | None,
    records: Path | None,
) -> None:
    """Serve real requests through 7 instances and restart them all meanwhile."""
    from magnoliaslip.lab.demo import Demo, demo_workload
    from magnoliaslip.lab.site import SiteOptions

    options = SiteOptions(
        callers=callers,
        workload=demo_workload(rate),
        seed=seed,
        log_dir=_directory(logs),
        record_dir=_directory(records),
    )
    report = _run(Demo(DEPLOYMENTS[deployment], options).run)
    if report is None:
        echo("the demo did not end within its time limit", err=True)
        exit_process(EXIT_FAILED)
    echo("\n".join(report.lines()))
    exit_process(0 if Demo.has_succeeded(report) else EXIT_FAILED)


@main.command()
@argument("file", type=PathType(dir_okay=False, path_type=Path))
@option("--check", is_flag=True, help="Check the file and exit.")
@option(
    "--report",
    type=PathType(dir_okay=False, path_type=Path),
    help="File that receives the report; standard output otherwise.",
)
@_logs
@_records
def experiment(
    file: Path,
    *,
    check: bool,
    report: Path | None,
    logs: Path | None,
    records: Path | None,
) -> None:
    """Run the experiment FILE (JSON with comments) and report in JSON.

    The exit code tells whether the experiment ran, not how the system did.
    """
    from msgspec.json import encode, format

    from magnoliaslip.core.errors import SettingsError
    from magnoliaslip.lab.experiment import Experiment, load_experiment

    try:
        content = load_experiment(file)
    except SettingsError as exc:
        echo(exc, err=True)
        exit_process(EXIT_INVALID)
    if check:
        echo(f"{file}: experiment is valid")
        return
    lab = Experiment(content, record_dir=_directory(records), log_dir=_directory(logs))
    text = format(encode(_run(lab.run)))
    if report is None:
        echo(text)
    else:
        report.write_bytes(text + b"\n")


def _directory(path: Path | None) -> Path | None:
    if path is not None:
        path.mkdir(parents=True, exist_ok=True)
        return path.resolve()
    return None


def _run(main: AsyncMain, *, until_eof: bool = False) -> Any:
    """Run until done or until a signal; all children are ended before it returns."""
    runner = _Runner(main, until_eof=until_eof)
    try:
        run(runner.run)
    except (OSError, ExceptionGroup) as exc:
        # Task groups wrap errors, and `except*` would wrap SystemExit as well.
        cause = _first_cause(exc)
        if not isinstance(cause, (MagnoliaslipError, OSError)):
            raise
        echo(cause, err=True)
        exit_process(EXIT_FAILED)
    if runner.interrupted:
        exit_process(EXIT_INTERRUPTED)
    return runner.result


def _first_cause(exc: BaseException) -> BaseException:
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


class _Runner:
    """Runs a coroutine function that ends early on a signal or a closed input."""

    def __init__(self, main: AsyncMain, *, until_eof: bool) -> None:
        self.result: Any = None
        self.interrupted = False
        self._main = main
        self._until_eof = until_eof

    async def run(self) -> None:
        async with create_task_group() as tasks:
            tasks.start_soon(self._cancel_on_signal, tasks.cancel_scope)
            if self._until_eof:
                tasks.start_soon(_cancel_on_eof, tasks.cancel_scope)
            self.result = await self._main()
            tasks.cancel_scope.cancel()

    async def _cancel_on_signal(self, scope: CancelScope) -> None:
        with open_signal_receiver(SIGTERM, SIGINT) as signals:
            async for _ in signals:
                self.interrupted = not self._until_eof
                scope.cancel()
                return


async def _cancel_on_eof(scope: CancelScope) -> None:
    with suppress(OSError):
        while True:
            await wait_readable(stdin)
            if not read(stdin.fileno(), 4096):
                break
    scope.cancel()


if __name__ == "__main__":
    main()
