"""HTTP/2 endpoints that count the bytes of the control streams and set TCP keep-alive.

The counts cover the payload written to and read from TCP, without TCP and IP headers.
"""

from asyncio import BaseTransport, Transport
from socket import (
    IPPROTO_TCP,
    SO_KEEPALIVE,
    SOL_SOCKET,
    TCP_KEEPCNT,
    TCP_KEEPIDLE,
    TCP_KEEPINTVL,
    TCP_USER_TIMEOUT,
)
from typing import Any, cast

from grpclib.client import Channel
from grpclib.protocol import H2Protocol
from grpclib.server import Server

from magnoliaslip.core.address import Address
from magnoliaslip.core.metrics import Metrics

SENT_COUNTER = "control_bytes_sent"
RECEIVED_COUNTER = "control_bytes_received"
# With these options the accepting side detects that the path to the dialling side is
# lost. Otherwise the connections of each partition would stay open until the process
# ends.
KEEPALIVE = (
    (SOL_SOCKET, SO_KEEPALIVE, 1),
    (IPPROTO_TCP, TCP_KEEPIDLE, 10),  # s
    (IPPROTO_TCP, TCP_KEEPINTVL, 5),  # s
    (IPPROTO_TCP, TCP_KEEPCNT, 3),
    (IPPROTO_TCP, TCP_USER_TIMEOUT, 25_000),  # ms
)


class _CountingTransport:
    """Counts the bytes written and delegates everything to the transport."""

    __slots__ = ("_metrics", "_transport")

    def __init__(self, transport: Transport, metrics: Metrics) -> None:
        self._transport = transport
        self._metrics = metrics

    def write(self, data: bytes) -> None:
        self._metrics.counters[SENT_COUNTER] += len(data)
        self._transport.write(data)

    def __getattr__(self, name: str) -> Any:
        return getattr(self._transport, name)


class _CountingProtocol(H2Protocol):
    """Counts the bytes sent and received, and sets the keep-alive options."""

    def __init__(self, protocol: H2Protocol, metrics: Metrics) -> None:
        super().__init__(protocol.handler, protocol.config, protocol.h2_config)
        self._metrics = metrics

    def connection_made(self, transport: BaseTransport) -> None:
        sock = transport.get_extra_info("socket")
        for level, option, value in KEEPALIVE:
            sock.setsockopt(level, option, value)
        counting = _CountingTransport(cast(Transport, transport), self._metrics)
        super().connection_made(cast(BaseTransport, counting))

    def data_received(self, data: bytes) -> None:
        self._metrics.counters[RECEIVED_COUNTER] += len(data)
        super().data_received(data)


class CountingChannel(Channel):
    """A client channel that dials from a given local address and counts bytes.

    Peers accept connections by source address. Without the local address the
    operating system would choose one by route.

    Args:
        remote: Address to connect to.
        local_host: IP address to connect from.
        metrics: Receives the counters.
    """

    def __init__(self, remote: Address, *, local_host: str, metrics: Metrics) -> None:
        super().__init__(remote.host, remote.port)
        self._local_host = local_host
        self._metrics = metrics

    def _protocol_factory(self) -> H2Protocol:
        return _CountingProtocol(super()._protocol_factory(), self._metrics)

    async def _create_connection(self) -> H2Protocol:
        # Channel has no option for the local address.
        _, protocol = await self._loop.create_connection(
            self._protocol_factory,
            self._host,
            self._port,
            local_addr=(self._local_host, 0),
        )
        return protocol


class CountingServer(Server):
    """A server that counts the bytes of its connections.

    Args:
        services: The gRPC services of the server.
        metrics: Receives the counters.
    """

    def __init__(self, services: list, *, metrics: Metrics) -> None:
        super().__init__(services)
        self._metrics = metrics

    def _protocol_factory(self) -> H2Protocol:
        return _CountingProtocol(super()._protocol_factory(), self._metrics)
