"""Guards against datagrams that waited while the process was frozen but seem new."""

from contextlib import contextmanager
from socket import AF_INET, SOCK_DGRAM
from socket import socket as Socket  # noqa: N812

from magnoliaslip.core.clock import ManualClock, SystemClock
from magnoliaslip.dataplane.receive_queue import MAX_QUEUED_BATCHES, ReceiveQueue
from magnoliaslip.dataplane.udp_socket import BATCH_DATAGRAMS, open_udp


@contextmanager
def queue_and_sender(**fields):
    clock = ManualClock(start=100.0)
    with open_udp(("127.0.0.1", 0)) as sock, Socket(AF_INET, SOCK_DGRAM) as sender:
        sender.connect(sock.getsockname())
        yield ReceiveQueue(sock, clock, **fields), sender, clock


def test_wait_is_bounded_by_the_last_read_that_emptied_the_socket():
    with queue_and_sender() as (queue, sender, clock):
        clock.advance(0.05)
        assert queue.next_batch() == ([], 0.0)
        sender.send(b"1")
        clock.advance(0.5)
        batch, max_wait_s = queue.next_batch()
        assert batch == [b"1"]
        assert abs(max_wait_s - 0.5) < 1e-9


def test_datagrams_wait_from_the_opening_of_the_socket():
    with queue_and_sender(open_s=0.3) as (queue, sender, clock):
        sender.send(b"1")
        clock.advance(0.1)
        assert abs(queue.next_batch()[1] - 0.4) < 1e-9


def test_datagrams_behind_a_backlog_have_not_waited_since_its_begin():
    with queue_and_sender() as (queue, sender, clock):
        for _ in range(2 * BATCH_DATAGRAMS):
            sender.send(b"old")
        clock.advance(0.5)
        assert queue.next_batch() == ([b"old"] * BATCH_DATAGRAMS, 0.5)
        sender.send(b"new")
        clock.advance(0.01)
        batch, max_wait_s = queue.next_batch()
        assert batch == [b"old"] * BATCH_DATAGRAMS
        assert abs(max_wait_s - 0.51) < 1e-9
        batch, max_wait_s = queue.next_batch()
        assert batch == [b"new"]
        assert max_wait_s < 0.02
        assert len(queue) == 0


def test_full_queue_leaves_the_rest_in_the_socket():
    with queue_and_sender() as (queue, sender, clock):
        for number in range(MAX_QUEUED_BATCHES + 2):
            sender.send(b"%d" % number)
            queue.read()
            clock.advance(0.001)
        assert len(queue) == MAX_QUEUED_BATCHES
        taken = [queue.next_batch()[0] for _ in range(MAX_QUEUED_BATCHES + 2)]
        # The two that were left waited in the socket together.
        assert [each for batch in taken for each in batch] == [
            b"%d" % number for number in range(MAX_QUEUED_BATCHES + 2)
        ]


def test_time_of_a_suspended_machine_counts():
    clock = SystemClock()
    before = clock.monotonic()
    assert clock.boottime() >= before
