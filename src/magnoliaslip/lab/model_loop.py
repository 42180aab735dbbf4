"""Event loops that run the models of the lab on sockets and the system clock."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from socket import socket as Socket  # noqa: N812
from typing import Protocol

from anyio import move_on_after, sleep, wait_readable

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.history_file import FileRecorder
from magnoliaslip.core.recorder import NullRecorder, Recorder
from magnoliaslip.dataplane.udp_reader import receive_batch_with_source

# Limits how late `poll` runs when another task sets an earlier deadline in a wait.
MAX_POLL_INTERVAL_S = 0.02


class Model(Protocol):
    """A model with timers."""

    @property
    def next_deadline(self) -> float | None:
        """When `poll` must run next, in monotonic seconds, or None."""

    def poll(self, now: float) -> None:
        """Handle the timers that are due."""


async def run_timers(model: Model, clock: Clock) -> None:
    """Poll a model at its deadlines until cancelled."""
    while True:
        now = clock.monotonic()
        model.poll(now)
        deadline = model.next_deadline
        wait_s = (
            MAX_POLL_INTERVAL_S
            if deadline is None
            else min(deadline - now, MAX_POLL_INTERVAL_S)
        )
        await sleep(max(0.0, wait_s))


async def run_model(
    model: Model,
    clock: Clock,
    sock: Socket,
    on_packet: Callable[[bytes], None],
) -> None:
    """Pass packets of a socket to a model and poll it, until cancelled."""
    while True:
        deadline = model.next_deadline
        wait_s = MAX_POLL_INTERVAL_S
        if deadline is not None:
            wait_s = min(max(0.0, deadline - clock.monotonic()), MAX_POLL_INTERVAL_S)
        with move_on_after(wait_s):
            await wait_readable(sock)
        for packet, _ in receive_batch_with_source(sock):
            on_packet(packet)
        model.poll(clock.monotonic())


def make_sender(sock: Socket, address: Address) -> Callable[[bytes], None]:
    """Return a function that sends packets to an address and ignores errors."""

    def send(packet: bytes) -> None:
        send_to(sock, packet, address)

    return send


def send_to(sock: Socket, packet: bytes, address: Address) -> None:
    """Send a datagram, or drop it on an error such as a full buffer."""
    try:
        sock.sendto(packet, address)
    except OSError:
        return


@contextmanager
def open_recorder(path: Path | None, *, who: str, clock: Clock) -> Iterator[Recorder]:
    """Open the history file of a process; without a path nothing is recorded."""
    if path is None:
        yield NullRecorder()
        return
    with path.open("ab", buffering=0) as file:
        yield FileRecorder(file, process_name=who, clock=clock)
