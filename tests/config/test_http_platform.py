"""Guards against a platform client that hangs or misreads a response."""

from contextlib import suppress
from functools import partial

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaslip.config.http_client import MAX_BODY_BYTES
from magnoliaslip.config.http_platform import HttpPlatform
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.errors import PlatformError

FIRST, SECOND = Address("127.0.0.1", 1), Address("127.0.0.1", 2)


class FakeStream:
    """A byte stream that returns fixed bytes in pieces and ends, or only blocks."""

    def __init__(self, response, *, unresponsive=False):
        self.response, self.unresponsive, self.sent = response, unresponsive, b""

    async def send(self, data):
        self.sent += data

    async def receive(self, max_bytes):
        if self.unresponsive:
            await anyio.sleep_forever()
        piece, self.response = self.response[:max_bytes], self.response[max_bytes:]
        if not piece:
            raise anyio.EndOfStream
        return piece

    async def __aenter__(self):
        return self

    async def __aexit__(self, *exc_info):
        pass


def response(status, body=b"", index=b"X-Index: 7\r\n"):
    length = b"" if status == 304 else b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 %d x\r\n%s%s\r\n%s" % (status, index, length, body)


def make_client(streams, **options):
    """A client whose connections, by port, are the given streams."""
    requested_ports = []

    async def connect(host, port):
        requested_ports.append(port)
        if port not in streams:
            raise ConnectionRefusedError("refused")
        return streams[port]

    options = {"clock": ManualClock(start=50.0), "connect": connect} | options
    return HttpPlatform([FIRST, SECOND], **options), requested_ports


def test_read_returns_value_and_index():
    stream = FakeStream(response(200, b"{}"))
    client, _ = make_client({1: stream})
    value = anyio.run(client.read, "pools/0")
    assert (value.key, value.data, value.index) == ("pools/0", b"{}", 7)
    assert stream.sent.startswith(b"GET /v1/values/pools/0 HTTP/1.1\r\n")


def test_absent_key_is_none():
    client, _ = make_client({1: FakeStream(response(404))})
    assert anyio.run(client.read, "zones") is None


def test_watch_sends_its_wait_time_and_returns_none_on_304():
    stream = FakeStream(response(304))
    client, _ = make_client({1: stream})
    assert anyio.run(partial(client.watch, "index", after=7, deadline=80.0)) is None
    assert b"index?after=7&wait_ms=30000 " in stream.sent


def test_refused_address_is_replaced_by_the_next_and_stays_last():
    client, requested_ports = make_client({2: FakeStream(response(200, b"{}"))})
    anyio.run(client.read, "zones")
    with pytest.raises(PlatformError):
        anyio.run(client.read, "zones")  # the stream has ended
    assert requested_ports == [1, 2, 2, 1]


def test_unresponsive_address_times_out():
    """Guards against a read that blocks forever on an unresponsive connection."""
    unresponsive = FakeStream(b"", unresponsive=True)
    client, requested_ports = make_client(
        {1: unresponsive, 2: unresponsive}, read_timeout_s=0.0
    )
    with pytest.raises(PlatformError, match="no answer") as caught:
        anyio.run(client.read, "zones")
    assert caught.value.remedy
    assert requested_ports == [1, 2]


def test_unresponsive_watch_times_out_after_its_grace():
    client, _ = make_client({1: FakeStream(b"", unresponsive=True)}, watch_grace_s=0.0)
    with pytest.raises(PlatformError):
        anyio.run(partial(client.watch, "index", after=7, deadline=50.0))


@pytest.mark.parametrize(
    "data",
    [
        response(500),
        response(200, b"{}", index=b""),
        response(200, b"{}", index=b"X-Index: new\r\n"),
        response(200, b"{}")[:-1],
        b"\x00\x01\r\n\r\n",
        b"",
    ],
)
def test_invalid_answer_raises_a_platform_error(data):
    client, _ = make_client({1: FakeStream(data)})
    with pytest.raises(PlatformError):
        anyio.run(client.read, "zones")


def test_endless_body_is_truncated():
    """Guards against memory use that grows with the response."""
    client, _ = make_client({1: FakeStream(response(200, bytes(2 * MAX_BODY_BYTES)))})
    assert len(anyio.run(client.read, "zones").data) == MAX_BODY_BYTES


@settings(max_examples=150, deadline=None)
@given(
    head=st.sampled_from(
        [b"", b"HTTP/1.1 200 OK\r\n", response(200, b"{}"), response(304)]
    ),
    cut=st.integers(0, 60),
    tail=st.binary(max_size=60),
)
def test_any_answer_is_read_or_rejected_with_a_platform_error(head, cut, tail):
    client, _ = make_client({1: FakeStream(head[:cut] + tail + head[cut:])})
    with suppress(PlatformError):
        anyio.run(client.read, "zones")


class ResettingStream(FakeStream):
    """A byte stream whose peer resets the connection before it answers."""

    async def receive(self, max_bytes):
        raise anyio.BrokenResourceError


def test_reset_connection_is_a_platform_error():
    # Guards against a client that raises another exception, which callers don't
    # handle, when the platform resets the connection.
    client, _ = make_client({1: ResettingStream(b"")})
    with pytest.raises(PlatformError, match="request of"):
        anyio.run(client.read, "index")
