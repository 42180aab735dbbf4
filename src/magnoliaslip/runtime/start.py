"""Starts an instance from its settings file.

On a small machine, importing an event loop takes far longer than all other steps up to
the first forwarded packet. The start therefore has two phases. First, a blocking loop
forwards packets based on a directory that was read once, and imports the remaining
modules between packets. Then the event loop continues with the same sockets, directory
and router.

Backend servers answer callers directly, so the packet socket receives only packets of
callers. A caller gets the tag of its server from the server's answer to the SYN into
which an instance wrote it.
"""

from contextlib import closing
from os import PathLike
from signal import SIG_IGN, SIGHUP, SIGTERM, signal
from sys import stderr
from types import FrameType

from magnoliaslip.core.clock import SystemClock
from magnoliaslip.core.errors import PlatformError, SettingsError
from magnoliaslip.registry.store_client import StoreClient
from magnoliaslip.runtime.adapter import PlatformAdapter
from magnoliaslip.runtime.deferred_imports import import_event_loop
from magnoliaslip.runtime.forwarder import TagForwarder
from magnoliaslip.runtime.listeners import Listeners
from magnoliaslip.runtime.settings import SteeringSettings
from magnoliaslip.runtime.start_times import StartTimes
from magnoliaslip.runtime.startup_loop import StartupLoop

EXIT_STOPPED = 0
EXIT_INVALID_SETTINGS = 1
EXIT_ADDRESS_ERROR = 3

# Time-out in seconds of each request of the first read of the store, which normally
# answers in milliseconds. If it does not, the event loop reads the store again and
# requests a snapshot from other instances.
FIRST_READ_TIMEOUT_S = 0.4


class StopRequest:
    """Records a SIGTERM before the event loop runs; the instance then stops gracefully.

    Attributes:
        requested: Whether the signal was received.
    """

    __slots__ = ("requested",)

    def __init__(self) -> None:
        self.requested = False

    def handle_signal(self, signum: int, frame: FrameType | None) -> None:
        """Record the signal; installed as a signal handler."""
        self.requested = True


def run_with_settings(
    path: str | PathLike[str], adapter: PlatformAdapter, listeners: Listeners
) -> int:
    """Run an instance until it stops; returns the exit code of the process.

    Args:
        path: Settings file, JSON with comments.
        adapter: Adapter of the platform.
        listeners: Open sockets; they are closed on return.
    """
    times = StartTimes(listeners.opened_at)
    times.record("imported")
    # SIGHUP would end the process. The settings are read below, and the event loop
    # installs a handler that reads them again.
    signal(SIGHUP, SIG_IGN)
    stop = StopRequest()
    signal(SIGTERM, stop.handle_signal)
    with closing(listeners):
        try:
            cfg = SteeringSettings.load(path)
        except SettingsError as exc:
            print(exc, file=stderr)
            return EXIT_INVALID_SETTINGS
        clock = SystemClock()
        forwarder = TagForwarder(
            cfg.zone,
            sock=listeners.packets,
            link=adapter.link(listeners.packets),
            decode=adapter.decode,
            clock=clock,
            open_s=clock.monotonic() - listeners.opened_at,
        )
        store_client = adapter.store_client(cfg.store)
        _read_store_once(store_client, forwarder)
        times.record("read")
        _forward_during_imports(StartupLoop(forwarder, listeners.readiness))
        times.record("event_loop")
        return _run_event_loop(
            path, cfg, adapter, store_client, forwarder, listeners, stop, times
        )


def _read_store_once(store_client: StoreClient, forwarder: TagForwarder) -> None:
    try:
        batch = store_client.list_blocking(timeout_s=FIRST_READ_TIMEOUT_S)
    except PlatformError as exc:
        # The event loop retries the read and requests snapshots from other instances.
        forwarder.router.log.record("PLATFORM_DOWN", error=str(exc), first_read=True)
        return
    forwarder.directory.replace(batch)
    forwarder.apply_directory()


def _forward_during_imports(startup_loop: StartupLoop) -> None:
    if startup_loop.forwarder.ready:
        startup_loop.run_until_idle()
    for _ in import_event_loop():
        if startup_loop.forwarder.ready:
            startup_loop.serve_pending()


def _run_event_loop(
    path: str | PathLike[str],
    cfg: SteeringSettings,
    adapter: PlatformAdapter,
    store_client: StoreClient,
    forwarder: TagForwarder,
    listeners: Listeners,
    stop: StopRequest,
    times: StartTimes,
) -> int:
    from anyio import run

    from magnoliaslip.runtime.process import SteeringInstance

    instance = SteeringInstance(
        cfg,
        forwarder,
        adapter=adapter,
        store_client=store_client,
        settings_path=path,
        readiness=listeners.readiness,
        stop_requested=lambda: stop.requested,
        start_times=times,
    )
    code = EXIT_STOPPED
    try:
        run(instance.run)
    except* OSError as group:
        print(
            f"{group.exceptions[0]}. Remedy: check the addresses in the settings",
            file=stderr,
        )
        code = EXIT_ADDRESS_ERROR
    # The event loop took time to end, and packets have arrived meanwhile.
    forwarder.handle_pending()
    return code
