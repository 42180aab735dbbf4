"""Decisions that are made before logging is available."""

from time import time

from magnoliaslip.steering.decisions import (
    MAX_BUFFERED_DECISIONS,
    DecisionBuffer,
    DecisionLog,
)


class RecordingLog(DecisionLog):
    def __init__(self):
        self.decisions = []

    def record(self, event, flow=b"", *, at=None, **fields):
        self.decisions.append((event, flow, at, fields))


def test_buffered_decisions_keep_their_time():
    # Guards against decisions of a start that carry the time at which the log was
    # opened, so that the events of an incident can't be put in order.
    buffer, log = DecisionBuffer(), RecordingLog()
    before = time()
    buffer.record("FLOW_PLACED", b"flow", server="i-1")
    after = time()
    buffer.flush_to(log)
    ((event, flow, at, fields),) = log.decisions
    assert (event, flow, fields) == ("FLOW_PLACED", b"flow", {"server": "i-1"})
    assert before <= at <= after


def test_decisions_beyond_the_bound_are_counted_as_dropped():
    # Guards against unbounded memory use before the event loop has started.
    buffer, log = DecisionBuffer(), RecordingLog()
    for _ in range(MAX_BUFFERED_DECISIONS + 3):
        buffer.record("FLOW_PLACED")
    buffer.flush_to(log)
    assert len(log.decisions) == MAX_BUFFERED_DECISIONS and buffer.dropped == 3
