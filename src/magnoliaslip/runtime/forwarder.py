"""The packet path of an instance: socket, decoder and router."""

from collections import Counter
from collections.abc import Callable
from socket import socket as Socket  # noqa: N812

from magnoliaslip.core.clock import Clock
from magnoliaslip.core.error_text import error_text
from magnoliaslip.core.errors import PacketError
from magnoliaslip.dataplane.receive_queue import ReceiveQueue
from magnoliaslip.dataplane.udp_socket import BATCH_DATAGRAMS
from magnoliaslip.registry.directory import Directory
from magnoliaslip.steering.decisions import DecisionBuffer
from magnoliaslip.steering.link import TaggedLink
from magnoliaslip.steering.packet import TaggedPacket
from magnoliaslip.steering.router import TagRouter

# The receive queue is read after this time in seconds also if nothing arrives. Well
# below the 200 ms after which callers repeat a SYN.
MAX_READ_INTERVAL_S = 0.05


class TagForwarder:
    """Forwards packets of callers; does not need an event loop.

    Args:
        zone: Availability zone of this instance.
        sock: Socket that receives packets.
        link: Sends packets.
        decode: Decodes a datagram; raises `PacketError` if it is not a packet that
            callers send.
        clock: Source of time.
        open_s: Time in seconds for which the socket has been open, unread.

    Attributes:
        counters: Packets by outcome (``forwarded``, ``drop_*``, ``reset_*``), and
            unanswered SYNs (``unanswered_opens``) and retransmissions (``repeated``).
        directory: Routes, servers and zones as published.
        router: Decides where packets go.
        sock: The socket that receives packets; the startup loop, then the event loop,
            wait for it and call `handle_next_batch`.
    """

    __slots__ = (
        "_clock",
        "_decode",
        "_queue",
        "counters",
        "directory",
        "router",
        "sock",
    )

    def __init__(
        self,
        zone: str,
        *,
        sock: Socket,
        link: TaggedLink,
        decode: Callable[[bytes], TaggedPacket],
        clock: Clock,
        open_s: float = 0.0,
    ) -> None:
        self._clock = clock
        self._decode = decode
        self.sock = sock
        self._queue = ReceiveQueue(sock, clock, open_s=open_s)
        self.counters: Counter[str] = Counter()
        self.directory = Directory()
        self.router = TagRouter(
            zone,
            directory=self.directory,
            link=link,
            counters=self.counters,
            log=DecisionBuffer(),
        )

    @property
    def ready(self) -> bool:
        """Whether the directory has routes and servers."""
        return self.directory.ready

    def handle_next_batch(self) -> bool:
        """Handle at most `BATCH_DATAGRAMS` of the datagrams that have arrived.

        Called at least every `MAX_READ_INTERVAL_S`, so that the time for which a packet
        waited is known to that precision.

        Returns:
            Whether any had arrived.
        """
        datagrams, max_wait_s = self._queue.next_batch()
        if not datagrams:
            return False
        self.handle_batch(datagrams, max_wait_s)
        return True

    def handle_batch(self, datagrams: list[bytes], max_wait_s: float = 0.0) -> None:
        """Handle the datagrams of one batch.

        A batch that is not full shows that the receive queue is empty, unless another
        one was read with it.

        Args:
            datagrams: Datagrams in the order of their arrival.
            max_wait_s: Longest time in seconds for which one of them may have waited.
        """
        now = self._clock.monotonic()
        self.router.queued_packets = len(datagrams)
        self.router.max_wait_s = max_wait_s
        for datagram in datagrams:
            try:
                self.router.handle(self._decode(datagram), now)
            except PacketError:
                self.counters["drop_malformed"] += 1
            except Exception:
                self._record_error(datagram=datagram[:64].hex())
        is_queue_empty = len(datagrams) < BATCH_DATAGRAMS and not self._queue
        finish = (
            self.router.on_receive_queue_empty
            if is_queue_empty
            else self.router.on_backlog
        )
        # After an error with one deferred packet, the next call goes on with the rest.
        for _ in range(len(datagrams) + 1):
            try:
                finish(now)
                break
            except Exception:
                self._record_error()

    def _record_error(self, **fields: str) -> None:
        """Record the current exception: one packet's fault must not stop all others."""
        self.counters["drop_error"] += 1
        self.router.log.record("UNEXPECTED_ERROR", **fields, error=error_text())

    def handle_pending(self) -> None:
        """Handle all datagrams that have arrived."""
        while self.handle_next_batch():
            pass

    def apply_directory(self) -> None:
        """Apply changes of the directory to the router."""
        self.router.apply_directory(self._clock.monotonic())
