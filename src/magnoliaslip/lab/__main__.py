"""Command line of the lab: ``magnoliaslip-lab``."""

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


def _parse_address(ctx: Context, param: Parameter, value: str) -> Address:
    try:
        return Address.parse(value)
    except ValueError as exc:
        raise BadParameter(str(exc)) from exc


def _parse_addresses(
    ctx: Context, param: Parameter, values: tuple[str]
) -> list[Address]:
    return [_parse_address(ctx, param, value) for value in values]


def _parse_named_addresses(
    ctx: Context, param: Parameter, values: tuple[str]
) -> dict[str, Address]:
    pairs = [value.partition("=") for value in values]
    return {name: _parse_address(ctx, param, address) for name, _, address in pairs}


_until_eof = option(
    "--until-eof", is_flag=True, help="Also exit when standard input is closed."
)
_record_to = option(
    "--record-to",
    type=PathType(dir_okay=False, path_type=Path),
    help="File to which history records are appended, as JSON lines.",
)
_seed = option(
    "--seed", default=1, show_default=True, help="Seed of the random source."
)
_deployment = option(
    "--deployment",
    type=Choice(list(DEPLOYMENTS)),
    default="karaganda",
    show_default=True,
    help="Deployment to start.",
)
_logs = option(
    "--logs",
    type=PathType(file_okay=False, path_type=Path),
    help="Directory for the output of each process; created if missing.",
)
_records = option(
    "--records",
    type=PathType(file_okay=False, path_type=Path),
    help="Directory for the history records of each process; created if missing.",
)


@group(
    epilog="Exit codes: 0 success, 1 a request was not answered in full or a process "
    "failed, 2 wrong usage, 3 invalid experiment file, 130 interrupted."
)
def main() -> None:
    """Run magnoliaslip in a simulated environment on loopback.

    `demo` and `experiment` start instances together with simulators of the platform,
    the fabric, backend servers and callers, each as a process of its own. The other
    commands start one simulator.

    \b
    Examples:
      magnoliaslip-lab demo --deployment sicily
      magnoliaslip-lab experiment examples/experiments/faults.jsonc
    """


@main.command()
@option(
    "--listen",
    "listeners",
    multiple=True,
    required=True,
    callback=_parse_named_addresses,
    help="Group of readers, for example a zone, and its address, as GROUP=ADDRESS:PORT."
    " Repeat it for each group.",
)
@_record_to
@_until_eof
def platform(
    listeners: dict[str, Address], *, record_to: Path | None, until_eof: bool
) -> None:
    """Run the simulator of the platform.

    It serves values over HTTP/1.1 with long polls until it is interrupted.

    \b
    Lab-only endpoints:
      PUT /lab/values/KEY  publish a value
      PUT /lab/mode        set how the platform answers a group or all groups, with
                           {"mode": "up" | "stale" | "down" | "silent",
                           "group": ...}
      GET /lab/reads       number of reads by group, and the peak per second

    \b
    Example:
      magnoliaslip-lab platform --listen admin=127.0.0.1:9000 \\
        --listen a=127.0.0.1:9001 --listen b=127.0.0.1:9002
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
    help="Settings file of the fabric, in JSON.",
)
@_until_eof
def fabric(settings: Path, *, until_eof: bool) -> None:
    """Run the simulator of the router fabric.

    It sprays packets at random over the instances and forwards the control traffic
    between them until it is interrupted.

    \b
    Lab-only endpoints, on the admin address of the settings:
      PUT /lab/instances  replace the list of instances
      PUT /lab/rules      replace the impairments of paths
      GET /lab/counters   number of packets by outcome

    \b
    Example:
      magnoliaslip-lab fabric --settings fabric.json
    """
    from magnoliaslip.lab.fabric_process import FabricProcess

    _run(FabricProcess.load(settings).run, until_eof=until_eof)


@main.command()
@option("--name", required=True, help="Name of the server in its pool.")
@option("--service", required=True, help="Service to which the server belongs.")
@option("--zone", required=True, help="Availability zone of the server.")
@option(
    "--listen",
    required=True,
    callback=_parse_address,
    help="Address on which the server listens, for UDP and for HTTP.",
)
@option(
    "--address",
    "addresses",
    multiple=True,
    required=True,
    callback=_parse_addresses,
    help="Service address inside the tunnel. Repeat it for each address.",
)
@option(
    "--returns",
    required=True,
    callback=_parse_address,
    help="Address of the fabric for answers.",
)
@option(
    "--slots",
    default=4,
    show_default=True,
    help="Number of requests that run at the same time.",
)
@option(
    "--connections",
    default=2000,
    show_default=True,
    help="Maximum number of open flows.",
)
@option(
    "--cold", is_flag=True, help="Start with the reduced capacity of a cold server."
)
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
    """Run the simulator of one backend server.

    It serves requests until it is interrupted. GET /v1/health reports its health and
    load.

    \b
    Lab-only endpoints:
      GET /lab/status  state and counters
      PUT /lab/fault   apply a fault, with one of:
        {"fault": "cold" | "drain" | "silent" | "audible" | "silent_flows"}
        {"fault": "health", "mode": "honest" | "lagging" | "lying"}

    \b
    Example:
      magnoliaslip-lab backend --name kd-1 --service kit-desk --zone a \\
        --listen 127.0.0.1:9100 --address 198.51.100.10:443 \\
        --returns 127.0.0.1:9200
    """
    from magnoliaslip.config.snapshot import BackendServer
    from magnoliaslip.lab.backend_process import BackendProcess

    server = BackendServer(name, listen, zone, slots, connections)
    process = BackendProcess(
        server, service, addresses, returns, seed=seed, cold=cold, record_to=record_to
    )
    _run(process.run, until_eof=until_eof)


@main.command()
@option(
    "--name",
    required=True,
    help="Name of the caller, which is the prefix of its request identifiers.",
)
@option("--host", required=True, help="IPv4 source address of the flows.")
@option(
    "--listen",
    required=True,
    callback=_parse_address,
    help="Address on which the caller listens, for UDP and for HTTP.",
)
@option(
    "--fabric",
    required=True,
    callback=_parse_address,
    help="Address of the fabric for packets of callers.",
)
@option(
    "--service",
    "services",
    multiple=True,
    required=True,
    callback=_parse_named_addresses,
    help="Service and its address, as NAME=ADDRESS:PORT. Repeat it for each service.",
)
@option(
    "--load",
    type=PathType(dir_okay=False, exists=True, path_type=Path),
    help="JSON file with the workload. Without it, the default workload is used.",
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
    """Run the simulator of one caller.

    It runs until it is interrupted and sends requests between start and stop of its
    workload.

    \b
    Lab-only endpoints:
      PUT /lab/start   start the workload
      PUT /lab/stop    stop the workload
      GET /lab/status  counters and answers

    \b
    Example:
      magnoliaslip-lab caller --name c1 --host 10.1.0.1 --listen 127.0.0.1:9300 \\
        --fabric 127.0.0.1:9400 --service kit-desk=198.51.100.10:443
    """
    from msgspec.json import decode

    from magnoliaslip.lab.caller_process import CallerProcess
    from magnoliaslip.lab.workload import WorkloadConfig

    cfg = decode(load.read_bytes(), type=WorkloadConfig) if load else WorkloadConfig()
    process = CallerProcess(
        name,
        host,
        listen,
        fabric,
        services,
        workload=cfg,
        seed=seed,
        record_to=record_to,
    )
    _run(process.run, until_eof=until_eof)


@main.command()
@_deployment
@option(
    "--rate",
    default=15.0,
    show_default=True,
    help="New sessions per second of each caller.",
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
    """Restart all 7 instances under a workload.

    The demo starts a deployment, restarts its instances while callers send requests,
    and prints a report.

    The exit code is 0 when all requests were answered in full and all instances
    restarted cleanly, and 1 otherwise or when the demo exceeds its time limit.

    \b
    Example:
      magnoliaslip-lab demo --deployment sicily --callers 4 --logs logs
    """
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
        echo(
            "the demo exceeded its time limit; use a lower --rate or fewer --callers",
            err=True,
        )
        exit_process(EXIT_FAILED)
    echo("\n".join(report.lines()))
    exit_process(0 if Demo.has_succeeded(report) else EXIT_FAILED)


@main.command()
@argument("file", type=PathType(dir_okay=False, path_type=Path))
@option("--check", is_flag=True, help="Only check the file, then exit.")
@option(
    "--report",
    type=PathType(dir_okay=False, path_type=Path),
    help="File for the report. Without it, the report goes to standard output.",
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
    """Run an experiment and write its report in JSON.

    FILE describes the deployment, the workload and the timed faults, in JSON with
    comments.

    The exit code is 0 when the experiment ran to its end, whatever its results, 1
    when a process failed, and 3 when FILE is invalid.

    \b
    Examples:
      magnoliaslip-lab experiment --check examples/experiments/faults.jsonc
      magnoliaslip-lab experiment examples/experiments/faults.jsonc \\
        --report report.json
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
    experiment_run = Experiment(
        content, record_dir=_directory(records), log_dir=_directory(logs)
    )
    text = format(encode(_run(experiment_run.run)))
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
    """Run until completion, a signal or, with ``until_eof``, the end of input.

    All child processes have ended on return. Exits with `EXIT_FAILED` after a
    `MagnoliaslipError` or `OSError` and, without ``until_eof``, with
    `EXIT_INTERRUPTED` after a signal.
    """
    runner = _Runner(main, until_eof=until_eof)
    try:
        run(runner.run)
    except (OSError, ExceptionGroup) as exc:
        # Task groups wrap errors in groups. `except*` would also wrap SystemExit.
        error = _first_error(exc)
        if not isinstance(error, (MagnoliaslipError, OSError)):
            raise
        echo(error, err=True)
        exit_process(EXIT_FAILED)
    if runner.interrupted:
        exit_process(EXIT_INTERRUPTED)
    return runner.result


def _first_error(exc: BaseException) -> BaseException:
    """Return the first exception in nested groups that is not itself a group."""
    while isinstance(exc, BaseExceptionGroup):
        exc = exc.exceptions[0]
    return exc


class _Runner:
    """Runs a coroutine function until it returns, a signal comes or input ends."""

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
