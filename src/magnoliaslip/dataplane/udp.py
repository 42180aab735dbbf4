"""Tasks that read UDP sockets in batches."""

from collections.abc import Callable
from socket import socket as Socket  # noqa: N812

from anyio import wait_readable
from anyio.lowlevel import checkpoint

from magnoliaslip.core.address import Address
from magnoliaslip.dataplane.udp_socket import receive_batch, receive_batch_from


async def read_batches(
    sock: Socket, handle_batch: Callable[[list[bytes]], None]
) -> None:
    """Hand each batch of a socket to ``handle_batch`` until cancelled."""
    while True:
        await wait_readable(sock)
        while batch := receive_batch(sock):
            handle_batch(batch)
            # Other tasks, heartbeats among them, run between two full batches.
            await checkpoint()


async def read_batches_from(
    sock: Socket, handle: Callable[[bytes, Address], None]
) -> None:
    """Hand each datagram with its source to ``handle`` until cancelled."""
    while True:
        await wait_readable(sock)
        while batch := receive_batch_from(sock):
            for payload, source in batch:
                handle(payload, source)
            await checkpoint()
