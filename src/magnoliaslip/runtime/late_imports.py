"""Modules that an instance imports after its first packets.

They are imported one by one in the thread that forwards packets, with the waiting
packets in between. A second thread was ruled out: it takes half of the processor from
the packets, and now and then processes ended with SIGILL where system calls are
intercepted.
"""

from collections.abc import Iterator
from importlib import import_module

# In the order of their dependencies, so that each takes a few milliseconds.
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
    """Import what the event loop needs, one module a step."""
    yield from _import(_EVENT_LOOP)


def import_metrics_page() -> Iterator[None]:
    """Import what the page of metrics needs, one module a step."""
    yield from _import(_METRICS_PAGE)


def _import(names: tuple[str, ...]) -> Iterator[None]:
    for name in names:
        import_module(name)
        yield
