"""Tasks that read UDP sockets in batches."""

from collections.abc import Callable
from socket import socket as Socket  # noqa: N812

from anyio import wait_readable
from anyio.lowlevel import checkpoint

from magnoliaslip.core.address import Address
from magnoliaslip.dataplane.udp_socket import (
    BATCH_DATAGRAMS,
    MAX_DATAGRAM_BYTES,
    receive_batch,
)


async def read_batches(
    sock: Socket, handle_batch: Callable[[list[bytes]], None]
) -> None:
    """Pass each batch of a socket to ``handle_batch`` until cancelled."""
    while True:
        await wait_readable(sock)
        while batch := receive_batch(sock):
            handle_batch(batch)
            # Lets other tasks, such as heartbeats, run between two full batches.
            await checkpoint()


async def read_datagrams_with_source(
    sock: Socket, handle: Callable[[bytes, Address], None]
) -> None:
    """Pass each datagram with its source to ``handle`` until cancelled."""
    while True:
        await wait_readable(sock)
        while batch := receive_batch_with_source(sock):
            for payload, source in batch:
                handle(payload, source)
            await checkpoint()


def receive_batch_with_source(sock: Socket) -> list[tuple[bytes, Address]]:
    """Return pending datagrams with their sources, at most `BATCH_DATAGRAMS`."""
    datagrams: list[tuple[bytes, Address]] = []
    try:
        for _ in range(BATCH_DATAGRAMS):
            payload, source = sock.recvfrom(MAX_DATAGRAM_BYTES)
            datagrams.append((payload, Address(*source[:2])))
    except (BlockingIOError, ConnectionRefusedError):
        pass  # nothing is pending, or an earlier datagram met a closed port
    return datagrams
