"""Guards against responses that raise unexpected errors or never complete."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from magnoliaslip.core.http_exchange import HttpExchange, HttpProtocolError

HEADS = [
    b"",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi",
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
    b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999999\r\n\r\n",
]


def test_response_that_changes_the_protocol_is_rejected():
    exchange = HttpExchange("127.0.0.1:80", "/", max_body_bytes=10)
    with pytest.raises(HttpProtocolError):
        exchange.feed(HEADS[5])


@given(
    st.sampled_from(HEADS),
    st.integers(0, 120),
    st.binary(max_size=40),
    st.integers(1, 200),
)
def test_any_response_is_read_or_rejected(head, cut, text, size):
    data = head[:cut] + text + head[cut:]
    exchange = HttpExchange("127.0.0.1:80", "/", max_body_bytes=10)
    try:
        for start in range(0, len(data), size):
            if exchange.feed(data[start : start + size]):
                break
        else:
            assert exchange.feed(b"")
    except HttpProtocolError:
        return
    assert exchange.complete
    assert len(exchange.response.body) <= 10
