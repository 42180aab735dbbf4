"""Control traffic between instances, carried by the fabric.

The list of instances names a front address for each instance. Streams and relays to
a front are carried to the instance with the delay of the path from the sender, and
wait or get lost while that path is cut. Each instance has its own loopback address,
by which a front knows the sender; the receiver sees the sender's front address.
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
from magnoliaslip.dataplane.udp import read_batches_from
from magnoliaslip.dataplane.udp_socket import open_udp
from magnoliaslip.lab.fabric import FabricModel
from magnoliaslip.lab.model_loop import send_to

RECEIVE_BYTES = 65_536
CUT_POLL_S = 0.05
RETRANSMISSION_S = 0.2  # a lost segment of a stream arrives this much later

Chunk = tuple[float, bytes]


class FrontLine(Struct, frozen=True, forbid_unknown_fields=True):
    """An instance: listed with ``front``, listening on ``control``."""

    id: str
    zone: str
    front: str
    control: str


class ControlFronts:
    """The fronts of all instances.

    Args:
        lines: The instances.
        fabric: Knows delays, losses and cuts of the paths.
        clock: Source of time.
    """

    def __init__(
        self, lines: list[FrontLine], *, fabric: FabricModel, clock: Clock
    ) -> None:
        self._lines = lines
        self._fabric = fabric
        self._clock = clock
        self._by_host = {Address.parse(line.control).host: line for line in lines}

    async def run(self) -> None:
        """Carry streams and relays until cancelled."""
        sockets = {line.id: open_udp(Address.parse(line.front)) for line in self._lines}
        try:
            async with create_task_group() as tasks:
                for line in self._lines:
                    handle = partial(self._on_relay, sockets, line)
                    tasks.start_soon(read_batches_from, sockets[line.id], handle)
                    tasks.start_soon(self._serve, line)
        finally:
            for sock in sockets.values():
                sock.close()

    def _on_relay(
        self,
        sockets: Mapping[str, Socket],
        line: FrontLine,
        packet: bytes,
        source: Address,
    ) -> None:
        sender = self._by_host.get(source.host)
        if sender is not None:
            send = partial(send_to, sockets[sender.id])
            control = Address.parse(line.control)
            self._fabric.carry(sender.zone, line.zone, packet, control, send=send)

    async def _serve(self, line: FrontLine) -> None:
        front = Address.parse(line.front)
        async with await create_tcp_listener(
            local_host=front.host, local_port=front.port
        ) as listener:
            await listener.serve(partial(self._on_stream, line))

    async def _on_stream(self, line: FrontLine, stream: SocketStream) -> None:
        async with stream:
            host = stream.extra(SocketAttribute.remote_address)[0]
            sender = self._by_host.get(host)
            if sender is None:
                return
            there, back = (sender.zone, line.zone), (line.zone, sender.zone)
            while self._fabric.is_cut(*there) or self._fabric.is_cut(*back):
                await sleep(CUT_POLL_S)
            with suppress(OSError):
                async with await self._connect(sender, line) as onward:
                    async with create_task_group() as tasks:
                        tasks.start_soon(self._carry, stream, onward, there)
                        await self._carry(onward, stream, back)
                        tasks.cancel_scope.cancel()

    @staticmethod
    async def _connect(sender: FrontLine, line: FrontLine) -> SocketStream:
        control = Address.parse(line.control)
        local_host = Address.parse(sender.front).host
        return await connect_tcp(control.host, control.port, local_host=local_host)

    async def _carry(
        self, source: SocketStream, target: SocketStream, path: tuple[str, str]
    ) -> None:
        """Carry one direction of a stream until either end closes."""
        write, read = create_memory_object_stream[Chunk](inf)
        with suppress(EndOfStream, BrokenResourceError, ClosedResourceError):
            async with create_task_group() as tasks:
                tasks.start_soon(self._deliver, read, target, path)
                await self._receive(source, write, path)
        # An end that closed ends the other one as well.
        await source.aclose()
        await target.aclose()

    async def _receive(
        self,
        source: SocketStream,
        write: MemoryObjectSendStream[Chunk],
        path: tuple[str, str],
    ) -> None:
        async with write:
            with suppress(EndOfStream, BrokenResourceError, ClosedResourceError):
                while True:
                    chunk = await source.receive(RECEIVE_BYTES)
                    delay = self._fabric.draw_delay_s(*path)
                    if delay is None:
                        delay = RETRANSMISSION_S
                    write.send_nowait((self._clock.monotonic() + delay, chunk))

    async def _deliver(
        self,
        read: MemoryObjectReceiveStream[Chunk],
        target: SocketStream,
        path: tuple[str, str],
    ) -> None:
        async with read:
            async for due, chunk in read:
                await sleep(max(0.0, due - self._clock.monotonic()))
                while self._fabric.is_cut(*path):
                    await sleep(CUT_POLL_S)
                with suppress(BrokenResourceError, ClosedResourceError):
                    await target.send(chunk)
