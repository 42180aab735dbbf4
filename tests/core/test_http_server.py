"""Guards against a request that ends the process that serves it."""

from functools import partial
from random import Random

import anyio
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliaslip.core.http_server import HttpResponse, serve_http
from magnoliaslip.lab.ports import reserve_ports

TIMEOUT_S = 5.0


async def echo_path(req):
    if req.path == "/fail":
        raise RuntimeError("a handler with a fault")
    return HttpResponse(200, req.path.encode())


async def exchange(address, data):
    async with await anyio.connect_tcp(*address) as stream:
        await stream.send(data)
        await stream.send_eof()
        received = b""
        while True:
            try:
                received += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return received


def responses(*requests):
    """Send each request on a connection of its own; return what came back."""

    async def main():
        with reserve_ports(Random()) as ports, anyio.fail_after(TIMEOUT_S):
            address = ports.pick()
            async with anyio.create_task_group() as tasks:
                await tasks.start(partial(serve_http, address, echo_path))
                received = [await exchange(address, data) for data in requests]
                tasks.cancel_scope.cancel()
        return received

    return anyio.run(main)


HEAD = b" HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
GOOD = b"GET /good" + HEAD


@pytest.mark.parametrize(
    "target", [b"//[", b"/?a=%", b"http://[::1", b"/%ff%fe", b"/\xff", b"*", b"/fail"]
)
def test_malformed_target_or_faulty_handler_does_not_end_the_server(target):
    received = responses(b"GET " + target + HEAD, GOOD)
    assert b" 200 " in received[1] and received[1].endswith(b"/good")


def test_target_that_is_no_url_is_answered_with_400():
    (received,) = responses(b"GET //[" + HEAD)
    assert received.startswith(b"HTTP/1.1 400 ")


def test_unexpected_error_of_a_handler_is_logged_and_answered_with_500(caplog):
    (received,) = responses(b"GET /fail" + HEAD)
    assert received.startswith(b"HTTP/1.1 500 ")
    assert "UNEXPECTED_ERROR" in caplog.text
    assert "a handler with a fault" in caplog.text


@settings(deadline=None, max_examples=25)
@given(st.lists(st.binary(max_size=60), min_size=1, max_size=5))
def test_any_bytes_leave_the_server_running(requests):
    received = responses(*requests, *[b"GET " + each + HEAD for each in requests], GOOD)
    assert received[-1].endswith(b"/good")
