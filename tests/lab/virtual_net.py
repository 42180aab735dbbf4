"""Simulated network in virtual time with loss, delay, duplication and reordering."""

from heapq import heappop, heappush
from itertools import count
from random import Random

from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.recorder import Recorder


class ListRecorder(Recorder):
    """Stores records in a list."""

    def __init__(self):
        self.records = []

    def record(self, kind, **fields):
        self.records.append((kind, fields))

    def matching(self, kind, **match):
        """Return the fields of the records of a kind that have the given values."""
        return [
            fields
            for name, fields in self.records
            if name == kind and match.items() <= fields.items()
        ]


class VirtualNet:
    """Delivers packets and polls models in the order of their deadlines.

    Args:
        seed: Seed of the random number generator.
        loss: Share of packets that are lost, 0 to 1.
        delay: Bounds of the delay of a packet, in seconds.
        duplication: Share of packets that are sent twice, 0 to 1.
    """

    def __init__(self, *, seed=1, loss=0.0, delay=(0.001, 0.001), duplication=0.0):
        self.clock = ManualClock()
        self.rng = Random(seed)
        self.loss, self.delay, self.duplication = loss, delay, duplication
        self.models = []
        self.sent = 0
        self._packets = []
        self._sequence = count()

    def link(self, deliver):
        """Return a send function whose packets reach ``deliver()`` later or never."""

        def send_packet(packet):
            self.sent += 1
            for _ in range(2 if self.rng.random() < self.duplication else 1):
                if self.rng.random() >= self.loss:
                    due = self.clock.monotonic() + self.rng.uniform(*self.delay)
                    entry = (due, next(self._sequence), deliver, packet)
                    heappush(self._packets, entry)

        return send_packet

    def run(self, seconds, until=None):
        """Advance the time; stop early when ``until()`` is true."""
        end = self.clock.monotonic() + seconds
        while not (until and until()):
            due = [model.next_deadline for model in self.models]
            due = [deadline for deadline in due if deadline is not None]
            if self._packets:
                due.append(self._packets[0][0])
            now = self.clock.monotonic()
            if not due or min(due) > end:
                self.clock.advance(end - now)
                return
            self.clock.advance(max(0.0, min(due) - now))
            now = self.clock.monotonic()
            while self._packets and self._packets[0][0] <= now:
                _, _, deliver, packet = heappop(self._packets)
                deliver(packet)
            for model in self.models:
                model.poll(now)
