"""Tests of the link over loopback sockets; waits end on events, not delays."""

from contextlib import asynccontextmanager
from ipaddress import ip_network
from random import Random
from socket import SOCK_STREAM, socket

import anyio
import pytest

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import SystemClock
from magnoliaslip.core.group import InstanceEntry
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.peering import grpc_link
from magnoliaslip.peering.grpc_link import GrpcPeerLink
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.proto.peer_pb2 import Heartbeat, PeerMessage

TEST_TIMEOUT_S = 10


def free_addresses(count):
    sockets = [socket(type=SOCK_STREAM) for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    found = [Address(*sock.getsockname()) for sock in sockets]
    for sock in sockets:
        sock.close()
    return found


class Endpoint:
    def __init__(self, name, addresses, *, listed=None):
        clock = SystemClock()
        self.membership = Membership(name, "a", 1, clock=clock)
        self.membership.apply_list(
            [
                InstanceEntry(peer, "a", address, address)
                for peer, address in addresses.items()
                if listed is None or peer in listed
            ],
            1,
        )
        self.metrics = Metrics()
        self.link = GrpcPeerLink(
            addresses[name],
            membership=self.membership,
            clock=clock,
            rng=Random(1),
            metrics=self.metrics,
        )
        self.received = []
        self.arrived = anyio.Event()

    def on_message(self, msg):
        self.received.append(msg)
        self.arrived.set()
        if msg.sender == "bad":
            raise ValueError("error in a handler")


@asynccontextmanager
async def two_endpoints(**options):
    addresses = dict(zip(("i1", "i2"), free_addresses(2), strict=True))
    first, second = Endpoint("i1", addresses), Endpoint("i2", addresses, **options)
    with anyio.fail_after(TEST_TIMEOUT_S):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(first.link.run, first.on_message)
            tasks.start_soon(second.link.run, second.on_message)
            yield first, second
            tasks.cancel_scope.cancel()


async def send_until(link, peer, msg, condition):
    while not condition():
        link.send(peer, msg)
        await anyio.sleep(0.01)


def test_messages_arrive_and_bytes_are_counted():
    async def main():
        async with two_endpoints() as (first, second):
            heartbeat = Heartbeat(number=3)
            msg = PeerMessage(sender="i1", incarnation=1, heartbeat=heartbeat)
            await send_until(first.link, "i2", msg, lambda: second.received)
            assert second.received[0] == msg
            sent = first.metrics.counters["control_bytes_sent"]
            received = second.metrics.counters["control_bytes_received"]
            assert sent >= received > msg.ByteSize()

    anyio.run(main)


def test_message_to_a_newly_listed_member_is_queued():
    # Guards against an instance that joins a second late because its requests to
    # newly listed peers were dropped.
    async def main():
        addresses = dict(zip(("i1", "i2"), free_addresses(2), strict=True))
        first = Endpoint("i1", addresses, listed=("i1",))
        second = Endpoint("i2", addresses)
        msg = PeerMessage(sender="i1", incarnation=1, heartbeat=Heartbeat(number=3))
        with anyio.fail_after(TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                for endpoint in (first, second):
                    tasks.start_soon(endpoint.link.run, endpoint.on_message)
                other = PeerMessage(sender="i2")
                await send_until(second.link, "i1", other, lambda: first.received)
                entries = [InstanceEntry(n, "a", a, a) for n, a in addresses.items()]
                first.membership.apply_list(entries, 2)
                first.link.send("i2", msg)
                await second.arrived.wait()
                assert second.received == [msg]
                tasks.cancel_scope.cancel()

    anyio.run(main)


def test_handler_exception_keeps_the_stream_open(caplog):
    # Guards against a message that ends a stream or the process.
    async def main():
        async with two_endpoints() as (first, second):
            failing, good = PeerMessage(sender="bad"), PeerMessage(sender="good")
            await send_until(first.link, "i2", failing, lambda: second.received)
            await send_until(
                first.link, "i2", good, lambda: second.received[-1].sender == "good"
            )
            assert second.metrics.counters["peer_messages_failed"] >= 1
            assert first.metrics.counters["peer_streams_replaced"] == 0

    anyio.run(main)


def test_connections_from_non_members_are_rejected():
    # Guards against control connections from outside the group.
    async def main():
        async with two_endpoints(listed=()) as (first, second):
            rejected = second.metrics.counters
            msg = PeerMessage(sender="i1")
            await send_until(
                first.link, "i2", msg, lambda: rejected["peer_streams_rejected"]
            )
            assert not second.received

    anyio.run(main)


def test_relays_of_an_unlisted_instance_are_accepted_after_its_first_message():
    # It is not on the list yet, and relays packets to their owners.
    async def main():
        async with two_endpoints(listed=()) as (first, second):
            second.membership._allowed_networks = (ip_network("127.0.0.0/8"),)
            assert not second.membership.accepts_relay("127.0.0.1")
            msg = PeerMessage(heartbeat=Heartbeat(number=1))
            await send_until(first.link, "i2", msg, lambda: second.received)
            while not second.membership.accepts_relay("127.0.0.1"):
                await anyio.sleep(0.01)

    anyio.run(main)


def test_stream_with_invalid_headers_is_rejected():
    # Guards against messages that are taken for those of an instance named "".
    async def main():
        async with two_endpoints() as (first, second):
            first.membership.incarnation = "none"
            rejected = second.metrics.counters
            msg = PeerMessage(sender="i1")
            await send_until(
                first.link, "i2", msg, lambda: rejected["peer_streams_rejected"]
            )
            assert not second.received

    anyio.run(main)


def test_malformed_messages_are_counted_and_dropped(monkeypatch):
    # Guards against invalid bytes from a peer that end the stream.
    async def main():
        async with two_endpoints() as (first, second):
            good = PeerMessage(sender="good")
            await send_until(first.link, "i2", good, lambda: second.received)
            counters = second.metrics.counters
            monkeypatch.setattr(
                "grpclib.encoding.proto.ProtoCodec.encode",
                lambda self, msg, kind: (
                    b"\xff\xff\xff\xff"
                    if msg.forward_to == "junk"
                    else msg.SerializeToString()
                ),
            )
            first.link.send("i2", PeerMessage(forward_to="junk"))
            second.received.clear()
            await send_until(first.link, "i2", good, lambda: second.received)
            assert counters["peer_messages_malformed"] == 1

    anyio.run(main)


@pytest.mark.parametrize(
    "invalid_bytes", [b"GET / HTTP/1.1\r\n\r\n", bytes(64)], ids=["http1", "zeros"]
)
def test_invalid_protocol_bytes_do_not_affect_other_streams(invalid_bytes):
    # Guards against a port scan that stops the control server.
    async def main():
        async with two_endpoints() as (first, second):
            msg = PeerMessage(sender="i1")
            await send_until(first.link, "i2", msg, lambda: second.received)
            stream = await anyio.connect_tcp(*first.membership.entry("i2").control)
            await stream.send(invalid_bytes)
            with pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)):
                while True:
                    await stream.receive()
            await stream.aclose()
            second.received.clear()
            await send_until(first.link, "i2", msg, lambda: second.received)

    anyio.run(main)


def test_idle_stream_is_replaced(monkeypatch):
    # Guards against a connection that is open but delivers nothing.
    monkeypatch.setattr(grpc_link, "STREAM_IDLE_TIMEOUT_S", 0.2)

    async def main():
        async with two_endpoints() as (first, second):
            msg = PeerMessage(sender="i1")
            await send_until(first.link, "i2", msg, lambda: second.received)
            # Without messages there are no answers, as on an idle connection.
            while not first.metrics.counters["peer_streams_replaced"]:
                await anyio.sleep(0.01)
            second.received.clear()
            await send_until(first.link, "i2", msg, lambda: second.received)

    anyio.run(main)


def test_link_survives_restarts_and_delisting_of_a_peer():
    """Guards against a cancellation inside the gRPC library that ends the link.

    The library cancels the task that it runs in when a connection is lost. Without a
    separate task, this ended the dialling tasks and the server of an instance without
    an error.
    """

    async def main():
        addresses = dict(zip(("i1", "i2", "i3"), free_addresses(3), strict=True))
        first, third = Endpoint("i1", addresses), Endpoint("i3", addresses)
        msg, reply = PeerMessage(sender="i1"), PeerMessage(sender="i3")
        with anyio.fail_after(2 * TEST_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(first.link.run, first.on_message)
                tasks.start_soon(third.link.run, third.on_message)
                for version in range(2, 8):
                    second = Endpoint("i2", addresses)
                    async with anyio.create_task_group() as restarted_tasks:
                        restarted_tasks.start_soon(second.link.run, second.on_message)
                        await send_until(first.link, "i2", msg, lambda: second.received)  # noqa: B023
                        if version % 2:
                            kept = [
                                InstanceEntry(
                                    name, "a", addresses[name], addresses[name]
                                )
                                for name in ("i1", "i2", "i3")
                                if name != "i2"
                            ]
                            first.membership.apply_list(kept, 2 * version)
                        restarted_tasks.cancel_scope.cancel()
                    entries = [
                        InstanceEntry(name, "a", address, address)
                        for name, address in addresses.items()
                    ]
                    first.membership.apply_list(entries, 2 * version + 1)
                    first.received.clear()
                    third.received.clear()
                    await send_until(third.link, "i1", reply, lambda: first.received)
                    await send_until(first.link, "i3", msg, lambda: third.received)
                tasks.cancel_scope.cancel()

    anyio.run(main)
