"""Proxy for the control traffic between instances, with the impairments of the fabric.

The list of instances contains an address of the proxy for each instance. The proxy
forwards TCP streams and relays (datagrams with a packet for another instance) to the
instance with the delay of the path from the sender.
While that path is partitioned, streams wait and relays are lost. Each instance has its
own loopback address, by which the proxy identifies the sender. To the receiver, the
traffic comes from the proxy address of the sender.
"""

from collections.abc import Mapping
from contextlib import suppress
from functools import partial
from math import inf
from socket import socket as Socket  # noqa: N812

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    EndOfStream,
    connect_tcp,
    create_memory_object_stream,
    create_task_group,
    create_tcp_listener,
    sleep,
)
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream
from msgspec import Struct

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.dataplane.udp_reader import read_datagrams_with_source
from magnoliaslip.dataplane.udp_socket import open_udp
from magnoliaslip.lab.fabric import FabricModel
from magnoliaslip.lab.model_loop import send_to

RECEIVE_BYTES = 65_536
PARTITION_POLL_S = 0.05
RETRANSMISSION_DELAY_S = 0.2  # delay of a stream segment that was lost once

TimedChunk = tuple[float, bytes]  # when to forward it, in monotonic seconds; data


class ControlEndpoint(Struct, frozen=True, forbid_unknown_fields=True):
    """Control addresses of an instance.

    Attributes:
        id: Identifier of the instance.
        zone: Its availability zone.
        front: Address of the proxy for it, as in the list of instances.
        control: Address on which the instance listens.
    """

    id: str
    zone: str
    front: str
    control: str


class ControlProxy:
    """Forwards the control traffic of all instances.

    Args:
        endpoints: The instances.
        fabric: Model with the delay, loss and partitions of the paths.
        clock: Source of time.
    """

    def __init__(
        self, endpoints: list[ControlEndpoint], *, fabric: FabricModel, clock: Clock
    ) -> None:
        self._endpoints = endpoints
        self._fabric = fabric
        self._clock = clock
        self._endpoint_by_host = {
            Address.parse(endpoint.control).host: endpoint for endpoint in endpoints
        }

    async def run(self) -> None:
        """Forward streams and relays until cancelled."""
        sockets = {
            endpoint.id: open_udp(Address.parse(endpoint.front))
            for endpoint in self._endpoints
        }
        try:
            async with create_task_group() as tasks:
                for endpoint in self._endpoints:
                    handle = partial(self._forward_relay, sockets, endpoint)
                    tasks.start_soon(
                        read_datagrams_with_source, sockets[endpoint.id], handle
                    )
                    tasks.start_soon(self._serve, endpoint)
        finally:
            for sock in sockets.values():
                sock.close()

    def _forward_relay(
        self,
        sockets: Mapping[str, Socket],
        endpoint: ControlEndpoint,
        packet: bytes,
        source: Address,
    ) -> None:
        sender = self._endpoint_by_host.get(source.host)
        if sender is not None:
            send = partial(send_to, sockets[sender.id])
            control = Address.parse(endpoint.control)
            self._fabric.forward(sender.zone, endpoint.zone, packet, control, send=send)

    async def _serve(self, endpoint: ControlEndpoint) -> None:
        proxy_address = Address.parse(endpoint.front)
        async with await create_tcp_listener(
            local_host=proxy_address.host, local_port=proxy_address.port
        ) as listener:
            await listener.serve(partial(self._proxy_stream, endpoint))

    async def _proxy_stream(
        self, endpoint: ControlEndpoint, stream: SocketStream
    ) -> None:
        async with stream:
            host = stream.extra(SocketAttribute.remote_address)[0]
            sender = self._endpoint_by_host.get(host)
            if sender is None:
                return
            request_path, reply_path = (
                (sender.zone, endpoint.zone),
                (endpoint.zone, sender.zone),
            )
            while self._fabric.is_partitioned(
                *request_path
            ) or self._fabric.is_partitioned(*reply_path):
                await sleep(PARTITION_POLL_S)
            with suppress(OSError):
                async with await self._connect(sender, endpoint) as target_stream:
                    async with create_task_group() as tasks:
                        tasks.start_soon(
                            self._forward_direction, stream, target_stream, request_path
                        )
                        await self._forward_direction(target_stream, stream, reply_path)
                        tasks.cancel_scope.cancel()

    @staticmethod
    async def _connect(
        sender: ControlEndpoint, endpoint: ControlEndpoint
    ) -> SocketStream:
        control = Address.parse(endpoint.control)
        local_host = Address.parse(sender.front).host
        return await connect_tcp(control.host, control.port, local_host=local_host)

    async def _forward_direction(
        self, source: SocketStream, target: SocketStream, path: tuple[str, str]
    ) -> None:
        """Forward one direction of a stream until either end closes."""
        write, read = create_memory_object_stream[TimedChunk](inf)
        with suppress(EndOfStream, BrokenResourceError, ClosedResourceError):
            async with create_task_group() as tasks:
                tasks.start_soon(self._send_when_due, read, target, path)
                await self._queue_received(source, write, path)
        # When one end has closed, the other one is closed as well.
        await source.aclose()
        await target.aclose()

    async def _queue_received(
        self,
        source: SocketStream,
        write: MemoryObjectSendStream[TimedChunk],
        path: tuple[str, str],
    ) -> None:
        async with write:
            with suppress(EndOfStream, BrokenResourceError, ClosedResourceError):
                while True:
                    chunk = await source.receive(RECEIVE_BYTES)
                    delay_s = self._fabric.draw_delay_s(*path)
                    if delay_s is None:
                        delay_s = RETRANSMISSION_DELAY_S
                    write.send_nowait((self._clock.monotonic() + delay_s, chunk))

    async def _send_when_due(
        self,
        read: MemoryObjectReceiveStream[TimedChunk],
        target: SocketStream,
        path: tuple[str, str],
    ) -> None:
        async with read:
            async for due, chunk in read:
                await sleep(max(0.0, due - self._clock.monotonic()))
                while self._fabric.is_partitioned(*path):
                    await sleep(PARTITION_POLL_S)
                with suppress(BrokenResourceError, ClosedResourceError):
                    await target.send(chunk)
