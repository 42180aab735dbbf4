"""Modules that an instance imports after it has forwarded its first packets.

They are imported one by one in the thread that forwards packets; pending packets are
forwarded in between. A second thread would take half of the processor time from the
packets; where system calls are intercepted, processes with one occasionally ended with
SIGILL.
"""

from collections.abc import Iterator
from importlib import import_module

# Ordered by dependency, so that each import takes only a few milliseconds.
_EVENT_LOOP = (
    "logging",
    "inspect",
    "dataclasses",
    "ssl",
    "subprocess",
    "concurrent.futures.thread",
    "asyncio",
    "typing_extensions",
    "ipaddress",
    "uuid",
    "anyio",
    "anyio._backends._asyncio",
    "h11._events",
    "h11",
    "msgspec",
    "msgspec.json",
    "msgspec.msgpack",
    "hdrh.histogram",
    "magnoliaslip.core.json_log",
    "magnoliaslip.gossip.exchange",
    "magnoliaslip.runtime.process",
)
_METRICS_PAGE = (
    "http.client",
    "urllib.request",
    "http.server",
    "wsgiref.simple_server",
    "prometheus_client.core",
    "prometheus_client",
)


def import_event_loop() -> Iterator[None]:
    """Import the modules that the event loop needs, one per iteration."""
    yield from _import_each(_EVENT_LOOP)


def import_metrics_page() -> Iterator[None]:
    """Import the modules of the metrics page, one per iteration."""
    yield from _import_each(_METRICS_PAGE)


def _import_each(names: tuple[str, ...]) -> Iterator[None]:
    for name in names:
        import_module(name)
        yield
