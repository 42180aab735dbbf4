"""Evidence on whether a backend server is reachable from this instance."""

from collections.abc import Collection

# A server is suspect when this many flows are unresponsive: they retransmitted data and
# no flow got an answer since. A single loss on one flow is not enough, whereas a single
# unanswered SYN is.
SUSPECT_FLOWS = 2
# A server counts as unreachable with this many unresponsive flows, summed over this
# instance and those whose suspicion applies to it; lost single packets do not add up to
# it. A zone counts as partitioned with this many, unanswered SYNs of this instance
# included.
UNREACHABLE_FLOWS = 3
# This many are enough when its whole availability zone seems to be partitioned.
UNREACHABLE_FLOWS_IN_PARTITION = 2
# Evidence older than this time in seconds is ignored. Flows that were reset yield no
# evidence, so packets must go to the server again afterwards; the platform tolerates a
# wrong assessment for 4 s after a path has recovered.
EVIDENCE_MAX_AGE_S = 1.0
# In a large fleet, flows are not reset before the first of them has been unresponsive
# here for this time in seconds: an instance that gets answers from the server learns of
# the evidence and corrects it by way of other instances.
CORRECTION_TIME_S = 0.35
# A caller retransmits an unanswered packet after this time in seconds (protocol).
RETRANSMISSION_TIMEOUT_S = 0.2
# Time in seconds after which a SYN counts as unanswered: the caller was refused, or the
# path is partitioned. A server answers a SYN at once; together with the caller's next
# packet this takes two round trips, at most about 40 ms between zones.
SYN_ANSWER_TIMEOUT_S = 0.08
# A suspect server is probed with one new flow after this time in seconds: about the
# time after which a caller abandons an unanswered SYN.
PROBE_INTERVAL_S = 1.4
# A suspicion is reported to other instances until this time in seconds after the last
# evidence: a few probes. An instance without flows for the server makes no probes
# and would otherwise keep the others away from it forever.
SUSPICION_REPORT_S = 4.0


class Reachability:
    """Evidence from flows on the path to a server, or to all servers of a zone.

    Attributes:
        suspect: Whether new flows avoid the server; of no effect for a zone, see
            `is_partitioned`.
        suspect_since: Monotonic time in seconds at which it became suspect.
        peer_unresponsive_flows: Unresponsive flows that other instances report, if
            their suspicion applies to this instance.
    """

    __slots__ = (
        "_last_answer_at",
        "_last_evidence_at",
        "_last_peer_answer_at",
        "_next_probe_at",
        "_unanswered_syns",
        "_unresponsive",
        "_unresponsive_since",
        "peer_unresponsive_flows",
        "suspect",
        "suspect_since",
    )

    def __init__(self) -> None:
        self._last_answer_at = float("-inf")
        self._last_peer_answer_at = float("-inf")
        self._unresponsive: set[bytes] = set()
        self._unresponsive_since = 0.0
        self._unanswered_syns: set[bytes] = set()
        self._last_evidence_at = float("-inf")
        self._next_probe_at = 0.0
        self.suspect = False
        self.suspect_since = 0.0
        self.peer_unresponsive_flows = 0

    def record_answer(self, now: float) -> bool:
        """Record an answer to a flow; return whether the server was suspect."""
        self._last_answer_at = now
        self._unresponsive.clear()
        self._unanswered_syns.clear()
        was_suspect = self.suspect
        self.suspect = False
        return was_suspect

    def record_unanswered_syn(self, flow: bytes, sent_at: float, now: float) -> bool:
        """Record that a SYN was not answered in time; one makes the server suspect.

        Args:
            flow: The flow of the SYN.
            sent_at: Monotonic time in seconds at which it was sent.
            now: Monotonic time in seconds.

        Returns:
            Whether the server became suspect.
        """
        if self._last_answer_at >= sent_at:
            return False
        self._unanswered_syns.add(flow)
        self._last_evidence_at = now
        return self._mark_suspect(now)

    def record_retransmission(
        self, flow: bytes, now: float, *, arrived_after: float
    ) -> bool:
        """Record that data was retransmitted because no answer came.

        Args:
            flow: The flow of the data.
            now: Monotonic time in seconds.
            arrived_after: Monotonic time in seconds after which the packet arrived. A
                busy instance reads it later, and the time until then is no silence of
                the server, as no other packets were sent to it either.

        Returns:
            Whether the server became suspect.
        """
        if self._last_answer_at > arrived_after - RETRANSMISSION_TIMEOUT_S:
            return False
        if not self.unresponsive(now):
            self._unresponsive_since = now
        self._unresponsive.add(flow)
        self._last_evidence_at = now
        return len(self._unresponsive) >= SUSPECT_FLOWS and self._mark_suspect(now)

    def unresponsive_flows(self, now: float) -> int:
        """Return the number of flows with unanswered data, if the evidence is fresh.

        Unanswered SYNs are excluded: a server at its connection limit does not answer
        them, while its established flows continue.
        """
        return len(self.unresponsive(now))

    def unresponsive(self, now: float) -> Collection[bytes]:
        """Return the flows with unanswered data, if the evidence is fresh."""
        fresh = now - self._last_evidence_at < EVIDENCE_MAX_AGE_S
        return self._unresponsive if fresh else ()

    def is_unreachable(
        self,
        now: float,
        *,
        flows: int = UNREACHABLE_FLOWS,
        correction_time_s: float = 0.0,
    ) -> bool:
        """Check whether enough flows are unresponsive, at least one of them here.

        False while another instance of this instance's zone gets answers from the
        server.

        Args:
            now: Monotonic time in seconds.
            flows: Number of unresponsive flows that is enough.
            correction_time_s: Seconds for which the first of them must have been
                unresponsive here.
        """
        own = self.unresponsive_flows(now)
        if not own or own + self.peer_unresponsive_flows < flows:
            return False
        if now - self._unresponsive_since < correction_time_s:
            return False
        # If another instance got an answer after the retransmitted data was first sent
        # here, the server is only slow.
        return (
            self._last_peer_answer_at
            < self._last_evidence_at - RETRANSMISSION_TIMEOUT_S
        )

    def is_unanswered(self, now: float) -> bool:
        """Check whether there is fresh evidence, and no answer since."""
        fresh = now - self._last_evidence_at < EVIDENCE_MAX_AGE_S
        return fresh and bool(self._unresponsive or self._unanswered_syns)

    def is_partitioned(self, now: float) -> bool:
        """Check, by a zone's evidence, whether new flows should avoid the whole zone.

        Also true when only some of its servers are gone and no answers came from the
        others meanwhile, so it is not sufficient for resetting flows.
        """
        if now - self._last_evidence_at >= EVIDENCE_MAX_AGE_S:
            return False
        own = len(self._unresponsive) + len(self._unanswered_syns)
        return own > 0 and own + self.peer_unresponsive_flows >= UNREACHABLE_FLOWS

    def _mark_suspect(self, now: float) -> bool:
        if self.suspect:
            return False
        self.suspect = True
        self.suspect_since = now
        self._next_probe_at = now + PROBE_INTERVAL_S
        return True

    def should_report(self, now: float) -> bool:
        """Check whether to report the server to other instances as suspect."""
        return self.suspect and now - self._last_evidence_at < SUSPICION_REPORT_S

    @property
    def last_answer_at(self) -> float:
        """Monotonic time in seconds of the last answer; -inf before the first."""
        return self._last_answer_at

    @property
    def last_evidence_at(self) -> float:
        """Monotonic time in seconds of the last evidence; -inf before the first."""
        return self._last_evidence_at

    def record_peer_answer(self, moment: float) -> None:
        """Record when another instance of this instance's zone last got an answer.

        Args:
            moment: Monotonic time in seconds.
        """
        self._last_peer_answer_at = max(self._last_peer_answer_at, moment)

    def answered_since(self, moment: float) -> bool:
        """Check whether a flow got an answer after a monotonic time in seconds."""
        return self._last_answer_at > moment

    def admits(self, now: float) -> bool:
        """Check whether a new flow may be placed on the server."""
        return not self.suspect or now >= self._next_probe_at

    def record_placement(self, now: float) -> None:
        """Record that a new flow was placed; on a suspect server it is the probe."""
        if self.suspect:
            self._next_probe_at = now + PROBE_INTERVAL_S
