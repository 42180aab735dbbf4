"""Starts an instance from its settings file.

An instance of a small machine forwards its first packet long before an event loop
could be imported there. So the start has two parts: a plain loop forwards packets by
a directory that was read once, while a thread imports what the rest needs; then the
event loop takes over socket, directory and router.
"""

from os import PathLike
from select import select
from sys import getswitchinterval, setswitchinterval, stderr

from magnoliaslip.core.clock import SystemClock
from magnoliaslip.core.errors import PlatformError, SettingsError
from magnoliaslip.dataplane.udp_socket import open_udp, receive_batch
from magnoliaslip.registry.source import RegistrySource
from magnoliaslip.runtime.adapter import PlatformAdapter
from magnoliaslip.runtime.forwarder import Forwarder
from magnoliaslip.runtime.settings import SteeringSettings

EXIT_STOPPED = 0
EXIT_INVALID_SETTINGS = 1
EXIT_ADDRESS_IN_USE = 3

# Time in seconds for the first read of the store. It answers in milliseconds; when it
# does not, other instances may, and they are asked by the event loop.
FIRST_READ_S = 0.4
# Time in seconds after which the plain loop looks whether the imports are done.
POLL_S = 0.02
# Time in seconds after which the importing thread hands the interpreter to a packet
# that waits; the default of 5 ms is 20 ms on a quarter of a core.
SWITCH_INTERVAL_S = 0.0005


def run_with_settings(path: str | PathLike[str], adapter: PlatformAdapter) -> int:
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
    try:
        sock = open_udp(cfg.packets)
    except OSError as exc:
        print(f"{exc}. Remedy: check the addresses", file=stderr)
        return EXIT_ADDRESS_IN_USE
    with sock:
        forwarder = Forwarder(
            cfg.zone,
            sock=sock,
            link=adapter.link(sock),
            decode=adapter.decode,
            clock=SystemClock(),
        )
        source = adapter.source(cfg.store)
        _read_once(source, forwarder)
        _forward_during_imports(forwarder)
        return _run_event_loop(path, cfg, adapter, source, forwarder)


def _read_once(source: RegistrySource, forwarder: Forwarder) -> None:
    try:
        changes = source.list_blocking(timeout_s=FIRST_READ_S)
    except PlatformError:
        return  # the event loop's reader tries again, and asks other instances
    forwarder.directory.apply(changes)
    forwarder.apply_directory()


def _forward_during_imports(forwarder: Forwarder) -> None:
    forwarder.handle_batch(receive_batch(forwarder.sock))
    # Imported here, as the first packets do not need it.
    from threading import Thread

    thread = Thread(target=_import_event_loop, daemon=True)
    interval = getswitchinterval()
    setswitchinterval(SWITCH_INTERVAL_S)
    thread.start()
    while thread.is_alive():
        if select([forwarder.sock], [], [], POLL_S)[0]:
            forwarder.handle_batch(receive_batch(forwarder.sock))
    thread.join()
    setswitchinterval(interval)


def _import_event_loop() -> None:
    import anyio._backends._asyncio  # noqa: F401

    import magnoliaslip.runtime.process  # noqa: F401


def _run_event_loop(
    path: str | PathLike[str],
    cfg: SteeringSettings,
    adapter: PlatformAdapter,
    source: RegistrySource,
    forwarder: Forwarder,
) -> int:
    from anyio import run

    from magnoliaslip.runtime.process import SteeringInstance

    instance = SteeringInstance(
        cfg,
        forwarder,
        adapter=adapter,
        source=source,
        settings_path=path,
    )
    code = EXIT_STOPPED
    try:
        run(instance.run)
    except* OSError as group:
        print(f"{group.exceptions[0]}. Remedy: check the addresses", file=stderr)
        code = EXIT_ADDRESS_IN_USE
    return code
