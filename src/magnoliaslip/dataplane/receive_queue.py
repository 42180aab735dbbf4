"""Datagrams that have arrived at a socket, with a bound on the time they waited."""

from collections import deque
from socket import socket as Socket  # noqa: N812

from magnoliaslip.core.clock import Clock
from magnoliaslip.dataplane.udp_socket import BATCH_DATAGRAMS, receive_batch

# Bounds the memory of a process that receives more than it can handle; the rest stays
# in the buffer of the socket.
MAX_QUEUED_BATCHES = 64


class ReceiveQueue:
    """Datagrams of a socket, in batches in the order of their arrival.

    A socket does not tell when a datagram arrived: a process that was frozen, or short
    of processor time, reads old ones as if they were new. Each read therefore empties
    the socket, so that a datagram has arrived after the read before. The bound is
    useful if the socket is read regularly also while nothing arrives.

    Args:
        sock: Non-blocking socket.
        clock: Source of time.
        open_s: Time in seconds for which the socket has been open, unread.
    """

    __slots__ = ("_batches", "_clock", "_emptied_at", "_sock")

    def __init__(self, sock: Socket, clock: Clock, *, open_s: float = 0.0) -> None:
        self._sock = sock
        self._clock = clock
        # Boot time in seconds before the last read that emptied the socket.
        self._emptied_at = clock.boottime() - open_s
        # Datagrams, and the boot time in seconds after which they arrived.
        self._batches: deque[tuple[list[bytes], float]] = deque()

    def read(self) -> None:
        """Move all datagrams from the socket to the queue, up to its limit."""
        now = self._clock.boottime()
        while len(self._batches) < MAX_QUEUED_BATCHES:
            batch = receive_batch(self._sock)
            if batch:
                self._batches.append((batch, self._emptied_at))
            if len(batch) < BATCH_DATAGRAMS:
                self._emptied_at = now
                break

    def next_batch(self) -> tuple[list[bytes], float]:
        """Read, and return the oldest batch of at most `BATCH_DATAGRAMS` datagrams.

        Returns:
            The datagrams, none if nothing has arrived, and the longest time in seconds
            that they may have waited.
        """
        self.read()
        if not self._batches:
            return [], 0.0
        batch, arrived_after = self._batches.popleft()
        return batch, self._clock.boottime() - arrived_after

    def __len__(self) -> int:
        """Return the number of batches that wait."""
        return len(self._batches)
