"""Queue of messages for the stream to one peer."""

from collections import deque

import anyio

from magnoliaslip.peering.proto.peer_pb2 import PeerMessage

MAX_MESSAGES = 256
MAX_BYTES = 1024 * 1024  # four pieces of a configuration transfer


class SendQueue:
    """A bounded queue that drops its oldest messages.

    The oldest messages are outdated first. Heartbeats and log entries are sent again,
    and pieces of a transfer are requested again.

    >>> queue = SendQueue(max_messages=1)
    >>> queue.put(PeerMessage(sender="a")), queue.put(PeerMessage(sender="b"))
    (0, 1)
    """

    __slots__ = ("_arrived", "_bytes", "_max_bytes", "_max_messages", "_messages")

    def __init__(
        self, *, max_messages: int = MAX_MESSAGES, max_bytes: int = MAX_BYTES
    ) -> None:
        self._max_messages = max_messages
        self._max_bytes = max_bytes
        self._messages: deque[tuple[int, PeerMessage]] = deque()
        self._bytes = 0
        self._arrived = anyio.Event()

    def put(self, msg: PeerMessage) -> int:
        """Add a message and return how many older ones were dropped."""
        size = msg.ByteSize()
        dropped = 0
        while self._messages and (
            len(self._messages) >= self._max_messages
            or self._bytes + size > self._max_bytes
        ):
            self._bytes -= self._messages.popleft()[0]
            dropped += 1
        self._messages.append((size, msg))
        self._bytes += size
        self._arrived.set()
        return dropped

    async def get(self) -> PeerMessage:
        """Wait for the oldest message and remove it."""
        while not self._messages:
            self._arrived = anyio.Event()
            await self._arrived.wait()
        size, msg = self._messages.popleft()
        self._bytes -= size
        return msg

    def clear(self) -> None:
        """Discard all messages, for example after their stream has ended."""
        self._messages.clear()
        self._bytes = 0
