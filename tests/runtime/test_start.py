"""Guards against start failures that are not logged, and sockets left open by them."""

from socket import AF_INET, SOCK_DGRAM
from socket import socket as Socket  # noqa: N812

import pytest

from magnoliaslip.core.clock import SystemClock
from magnoliaslip.core.errors import PlatformError
from magnoliaslip.registry.store_client import StoreClient
from magnoliaslip.runtime.forwarder import TagForwarder
from magnoliaslip.runtime.listeners import Listeners
from magnoliaslip.runtime.start import _read_store_once
from magnoliaslip.runtime.start_times import StartTimes
from tests.steering.harness import RecordingLink, RecordingLog


class UnresponsiveStoreClient(StoreClient):
    def list_blocking(self, *, timeout_s):
        raise PlatformError("no answer", place="store")

    async def list(self):
        raise AssertionError("the event loop does not run")

    async def watch(self, *, after, wait_s):
        raise AssertionError("the event loop does not run")


def test_first_read_that_fails_is_logged():
    with Socket(AF_INET, SOCK_DGRAM) as sock:
        forwarder = TagForwarder(
            "a", sock=sock, link=RecordingLink(), decode=None, clock=SystemClock()
        )
        forwarder.router.log = log = RecordingLog()
        _read_store_once(UnresponsiveStoreClient(), forwarder)
    ((event, _, fields),) = log.decisions
    assert event == "PLATFORM_DOWN" and "no answer" in fields["error"]
    assert not forwarder.ready


def test_start_times_are_measured_from_the_opening_of_the_sockets():
    times = StartTimes(0.0)
    times.record("imported")
    times.record("read")
    fields = times.fields()
    assert 0 < fields["imported_ms"] <= fields["read_ms"]


@pytest.mark.parametrize(
    ("address", "reason"),
    [
        ("127.0.0.1", "ADDRESS:PORT"),
        ("127.0.0.1:x", "ADDRESS:PORT"),
        ("127.0.0.1:0", "port 0"),
        (":", "ADDRESS:PORT"),
        ("localhost:1", "not an IP address"),
    ],
)
def test_invalid_address_is_an_error(address, reason):
    with pytest.raises(ValueError, match=reason):
        Listeners(address, "127.0.0.1:1")


def test_address_in_use_closes_the_other_socket():
    with Socket() as occupied:
        occupied.bind(("127.0.0.1", 0))
        occupied.listen()
        used = f"127.0.0.1:{occupied.getsockname()[1]}"
        with Socket(AF_INET, SOCK_DGRAM) as probe:
            probe.bind(("127.0.0.1", 0))
            packets = probe.getsockname()
        with pytest.raises(OSError, match="in use"):
            Listeners(f"{packets[0]}:{packets[1]}", used)
        with Socket(AF_INET, SOCK_DGRAM) as again:
            again.bind(packets)
