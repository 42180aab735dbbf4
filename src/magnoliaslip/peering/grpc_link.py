"""Peer messages over gRPC streams.

Each instance dials every instance to which it sends heartbeats, and sends on its own
stream. The accepting side answers with empty messages, at most one per
`MIN_ANSWER_INTERVAL_S`. They show the dialling side that its stream still works.

The headers of a stream carry the sender and its incarnation, so its own messages omit
them. Messages that it forwards carry those of the original sender.
"""

import asyncio
from collections.abc import Callable, Iterable, Sequence
from logging import getLogger
from random import Random
from typing import Any

import anyio
from google.protobuf.message import DecodeError
from grpclib import GRPCError, Status
from grpclib.client import Stream as ClientStream
from grpclib.server import Stream as ServerStream

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.core.links import PeerLink
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.peering.counting_transport import CountingChannel, CountingServer
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.proto.peer_grpc import PeeringBase, PeeringStub
from magnoliaslip.peering.proto.peer_pb2 import PeerMessage
from magnoliaslip.peering.send_queue import SendQueue

STREAM_IDLE_TIMEOUT_S = 1.5  # three heartbeats without an answer
# Below the heartbeat interval, so that each heartbeat is answered.
MIN_ANSWER_INTERVAL_S = 0.4
IDLE_CHECK_INTERVAL_S = 0.1
CONNECT_TIMEOUT_S = 1.0  # also bounds the wait for tasks and the server to end
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0  # heartbeats arrive within 2 s after a path is restored
TARGETS_CHECK_INTERVAL_S = 0.2
SENDER_HEADER = "magnoliaslip-sender"
INCARNATION_HEADER = "magnoliaslip-incarnation"

logger = getLogger(__name__)

OnMessage = Callable[[PeerMessage], None]


class GrpcPeerLink(PeerLink):
    """Sends to other instances over gRPC streams and accepts their streams.

    Args:
        control: Address on which the server listens; its host is also the source
            address of outgoing connections.
        membership: Provides the addresses of members and decides whom to accept.
        clock: Source of monotonic time.
        rng: Source of jitter.
        metrics: Counts bytes, messages and streams.
    """

    __slots__ = ("_clock", "_control", "_membership", "_metrics", "_queues", "_rng")

    def __init__(
        self,
        control: Address,
        *,
        membership: Membership,
        clock: Clock,
        rng: Random,
        metrics: Metrics,
    ) -> None:
        self._control = control
        self._membership = membership
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._queues: dict[str, SendQueue] = {}

    def send(self, instance_id: str, msg: PeerMessage) -> None:
        """Queue a message; drop it if the membership has no entry of the instance.

        A newly listed member is dialled within `TARGETS_CHECK_INTERVAL_S`. Its messages
        are queued until then; otherwise a joining instance would have to repeat its
        first requests.
        """
        queue = self._queues.get(instance_id)
        if queue is None and self._membership.entry(instance_id) is not None:
            queue = self._queues[instance_id] = SendQueue()
        if queue is None:
            self._metrics.counters["peer_messages_unaddressed"] += 1
            return
        self._metrics.counters["peer_messages_sent"] += 1
        self._metrics.counters["peer_messages_dropped"] += queue.put(msg)

    async def run(self, on_message: OnMessage, services: Iterable[Any] = ()) -> None:
        """Accept streams and dial members until cancelled.

        Args:
            on_message: Handles each received message.
            services: Additional gRPC services on the same port.

        Raises:
            OSError: The control address can't be bound.
        """
        service = PeeringService(
            on_message,
            membership=self._membership,
            clock=self._clock,
            metrics=self._metrics,
        )
        server = CountingServer([service, *services], metrics=self._metrics)
        await server.start(self._control.host, self._control.port)
        try:
            await self._dial_all()
        finally:
            server.close()
            with anyio.CancelScope(shield=True), anyio.move_on_after(CONNECT_TIMEOUT_S):
                await server.wait_closed()

    async def _dial_all(self) -> None:
        """Run one task for each instance to which heartbeats are sent."""
        scopes: dict[tuple[str, Address], anyio.CancelScope] = {}
        async with anyio.create_task_group() as tasks:
            while True:
                targets = set()
                for peer in self._membership.heartbeat_targets():
                    entry = self._membership.entry(peer)
                    if entry is not None:
                        targets.add((peer, entry.control))
                for target in scopes.keys() - targets:
                    scopes.pop(target).cancel()
                    self._queues.pop(target[0], None)
                for peer in self._queues.keys() - {peer for peer, _ in targets}:
                    del self._queues[peer]
                for peer, address in sorted(targets - scopes.keys()):
                    scope = scopes[(peer, address)] = anyio.CancelScope()
                    tasks.start_soon(self._maintain_stream, peer, address, scope)
                await anyio.sleep(TARGETS_CHECK_INTERVAL_S)

    async def _maintain_stream(
        self, peer: str, address: Address, scope: anyio.CancelScope
    ) -> None:
        """Send queued messages to a peer; dial it again whenever the stream ends."""
        queue = self._queues.setdefault(peer, SendQueue())
        backoff = INITIAL_BACKOFF_S
        with scope:
            while True:
                stream = _PeerStream(queue, self._membership, clock=self._clock)
                reason = await stream.run(address, self._control.host, self._metrics)
                self._metrics.counters["peer_streams_replaced"] += 1
                if stream.answered:
                    backoff = INITIAL_BACKOFF_S
                    log_event(
                        logger,
                        Event.PEER_LINK_REPLACED,
                        peer=peer,
                        address=address,
                        reason=repr(reason),
                    )
                queue.clear()
                await anyio.sleep(backoff * self._rng.uniform(0.5, 1.0))
                backoff = min(2 * backoff, MAX_BACKOFF_S)


class _PeerStream:
    """One stream to a peer, from connecting until it ends.

    Attributes:
        answered: Whether the peer has answered on the stream.
    """

    __slots__ = (
        "_clock",
        "_idle_deadline",
        "_incarnation",
        "_queue",
        "_sender",
        "answered",
    )

    def __init__(
        self, queue: SendQueue, membership: Membership, *, clock: Clock
    ) -> None:
        self._queue = queue
        self._sender = membership.instance_id
        self._incarnation = membership.incarnation
        self._clock = clock
        self._idle_deadline = 0.0
        self.answered = False

    async def run(self, address: Address, local_host: str, metrics: Metrics) -> str:
        """Send until the stream fails or gets no answers; return the reason.

        When a connection is lost, the gRPC library cancels the task that it runs in.
        The stream has a task of its own, so that no scope of the caller is cancelled.
        """
        channel = CountingChannel(address, local_host=local_host, metrics=metrics)
        stream_task = asyncio.ensure_future(self._run_stream(channel))
        try:
            await asyncio.wait((stream_task,))
        finally:
            await _cancel_tasks((stream_task,))
            channel.close()
        return _end_reason(stream_task)

    async def _run_stream(self, channel: CountingChannel) -> None:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            await channel.__connect__()
        headers = {
            SENDER_HEADER: self._sender,
            INCARNATION_HEADER: str(self._incarnation),
        }
        async with PeeringStub(channel).Exchange.open(metadata=headers) as stream:
            await stream.send_request()
            await self._exchange(stream)

    async def _exchange(self, stream: ClientStream) -> None:
        self._idle_deadline = self._clock.monotonic() + STREAM_IDLE_TIMEOUT_S
        tasks = [
            asyncio.ensure_future(part)
            for part in (
                self._send(stream),
                self._receive(stream),
                self._check_idle(),
            )
        ]
        try:
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            await _cancel_tasks(tasks)
        for task in done:
            task.result()

    async def _receive(self, stream: ClientStream) -> None:
        while await stream.recv_message() is not None:
            self.answered = True
            self._idle_deadline = self._clock.monotonic() + STREAM_IDLE_TIMEOUT_S

    async def _send(self, stream: ClientStream) -> None:
        while True:
            msg = await self._queue.get()
            if (msg.sender, msg.incarnation) == (self._sender, self._incarnation):
                # Copy it: the same message may be in the queues of other peers.
                stripped = PeerMessage()
                stripped.CopyFrom(msg)
                stripped.ClearField("sender")
                stripped.ClearField("incarnation")
                msg = stripped
            await stream.send_message(msg)

    async def _check_idle(self) -> None:
        while self._clock.monotonic() < self._idle_deadline:
            await anyio.sleep(IDLE_CHECK_INTERVAL_S)
        raise TimeoutError(f"no answer for {STREAM_IDLE_TIMEOUT_S} s")


async def _cancel_tasks(tasks: Sequence[asyncio.Future[None]]) -> None:
    """Cancel tasks and wait a bounded time for them to end."""
    for task in tasks:
        task.cancel()
    with anyio.CancelScope(shield=True):
        await asyncio.wait(tasks, timeout=CONNECT_TIMEOUT_S)


def _end_reason(task: asyncio.Future[None]) -> str:
    if not task.done() or task.cancelled():
        return "the stream was cancelled"
    exc = task.exception()
    return "the peer closed the stream" if exc is None else repr(exc)


class PeeringService(PeeringBase):
    """Receives messages over the streams of members.

    Args:
        on_message: Handles each message.
        membership: Decides whom to accept.
        clock: Source of monotonic time.
        metrics: Counts messages and rejected input.
    """

    def __init__(
        self,
        on_message: OnMessage,
        *,
        membership: Membership,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._on_message = on_message
        self._membership = membership
        self._clock = clock
        self._metrics = metrics

    async def Exchange(  # noqa: N802
        self, stream: ServerStream[PeerMessage, PeerMessage]
    ) -> None:
        """Handle the messages of one stream until it ends.

        Raises:
            GRPCError: The source address is not accepted, or the headers don't name
                the sender.
        """
        address = stream.peer.addr()
        if address is None or not self._membership.accepts_address(address[0]):
            self._metrics.counters["peer_streams_rejected"] += 1
            log_event(logger, Event.PEER_REJECTED, address=address)
            raise GRPCError(
                Status.PERMISSION_DENIED, "the source address is not that of a member"
            )
        sender, incarnation = _sender_from_headers(stream)
        if not sender:
            self._metrics.counters["peer_streams_rejected"] += 1
            log_event(logger, Event.PEER_REJECTED, address=address)
            raise GRPCError(
                Status.INVALID_ARGUMENT,
                f"the headers {SENDER_HEADER} and {INCARNATION_HEADER} are required",
            )
        next_answer_at = float("-inf")
        while True:
            try:
                msg = await stream.recv_message()
            except DecodeError:
                self._metrics.counters["peer_messages_malformed"] += 1
                continue
            if msg is None:
                return
            if not msg.sender:
                msg.sender, msg.incarnation = sender, incarnation
            self._handle_message(msg)
            now = self._clock.monotonic()
            if now >= next_answer_at:
                next_answer_at = now + MIN_ANSWER_INTERVAL_S
                self._membership.record_stream(address[0])
                await stream.send_message(PeerMessage())

    def _handle_message(self, msg: PeerMessage) -> None:
        self._metrics.counters["peer_messages_received"] += 1
        try:
            self._on_message(msg)
        except Exception:
            # An error in one message must not end the stream or the process.
            self._metrics.counters["peer_messages_failed"] += 1
            logger.exception("error while handling a message from %r", msg.sender)


def _sender_from_headers(stream: ServerStream) -> tuple[str, int]:
    """Return the sender and incarnation of a stream; empty and 0 if not valid."""
    metadata = stream.metadata or {}
    sender = str(metadata.get(SENDER_HEADER, ""))
    number = str(metadata.get(INCARNATION_HEADER, ""))
    if not (number.isascii() and number.isdigit() and int(number) < 2**64):
        return "", 0
    return sender, int(number)
