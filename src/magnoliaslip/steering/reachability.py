"""Evidence that a backend server can or can't be reached from this instance."""

# Unanswered packets of this many flows, with no answer to any flow since, make a
# server suspect; a single loss on one flow does not.
SUSPECT_FLOWS = 2
# A server counts as unreachable with this many silent flows over the instances whose
# evidence counts; the loss of single packets does not add up to it.
UNREACHABLE_FLOWS = 3
# This many are enough when its whole availability zone seems to be cut off.
UNREACHABLE_FLOWS_IN_PARTITION = 2
# The last repetition must not be older than this time in seconds. Flows that are
# reset give no evidence, so some packets go to the server again afterwards; the
# platform tolerates a wrong belief for 4 s after a path came back.
EVIDENCE_MAX_AGE_S = 1.0
# A caller repeats an unanswered packet after this time, in seconds (protocol).
RETRANSMISSION_TIMEOUT_S = 0.2
# A server answers an opening packet at once; with the caller's next packet it takes
# two round trips, at most about 40 ms between zones. Time in seconds after which an
# open counts as unanswered: the caller was refused, or the path is cut.
SYN_ANSWER_TIMEOUT_S = 0.08
# A suspect server is tried again with one new flow after this time in seconds: about
# the time in which a caller gives up an unanswered open.
PROBE_INTERVAL_S = 1.4
# A suspicion is told to other instances until this time in seconds after the last
# evidence: a few trials. An instance without flows for the server makes no trials, and
# would keep the others from it for ever.
SUSPICION_REPORT_S = 4.0


class Reachability:
    """What flows tell about the path to a server, or to all servers of a zone.

    Attributes:
        suspect: Whether new flows avoid it.
        suspect_since: Monotonic time in seconds at which it became suspect.
        peer_unresponsive_flows: Flows without an answer that other instances see.
    """

    __slots__ = (
        "_last_answer_at",
        "_last_evidence_at",
        "_last_peer_answer_at",
        "_next_probe_at",
        "_unanswered_syns",
        "_unresponsive",
        "peer_unresponsive_flows",
        "suspect",
        "suspect_since",
    )

    def __init__(self) -> None:
        self._last_answer_at = float("-inf")
        self._last_peer_answer_at = float("-inf")
        self._unresponsive: set[bytes] = set()
        self._unanswered_syns: set[bytes] = set()
        self._last_evidence_at = float("-inf")
        self._next_probe_at = 0.0
        self.suspect = False
        self.suspect_since = 0.0
        self.peer_unresponsive_flows = 0

    def record_answer(self, now: float) -> bool:
        """Note that a flow got an answer; returns whether the server was suspect."""
        self._last_answer_at = now
        self._unresponsive.clear()
        self._unanswered_syns.clear()
        was_suspect = self.suspect
        self.suspect = False
        return was_suspect

    def record_unanswered_syn(self, flow: bytes, sent_at: float, now: float) -> bool:
        """Note that an open was not answered in time; one is enough.

        Args:
            flow: The flow that it opens.
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

    def record_retransmission(self, flow: bytes, now: float) -> bool:
        """Note that data was repeated because no answer came.

        Returns:
            Whether the server became suspect.
        """
        if self._last_answer_at > now - RETRANSMISSION_TIMEOUT_S:
            return False
        self._unresponsive.add(flow)
        self._last_evidence_at = now
        return len(self._unresponsive) >= SUSPECT_FLOWS and self._mark_suspect(now)

    def unresponsive_flows(self, now: float) -> int:
        """Return flows with unanswered data, as far as the evidence is fresh.

        Unanswered opens are left out: a server that is full does not answer them,
        while its flows go on.
        """
        return (
            len(self._unresponsive)
            if now - self._last_evidence_at < EVIDENCE_MAX_AGE_S
            else 0
        )

    def is_unreachable(self, now: float, *, flows: int = UNREACHABLE_FLOWS) -> bool:
        """Return whether so many flows, one of them here, have unanswered data.

        Not while another instance of the zone hears the server.
        """
        own = self.unresponsive_flows(now)
        if not own or own + self.peer_unresponsive_flows < flows:
            return False
        # An answer after the repeated data was first sent: the server is only slow.
        return (
            self._last_peer_answer_at
            < self._last_evidence_at - RETRANSMISSION_TIMEOUT_S
        )

    def is_partitioned(self, now: float) -> bool:
        """Return whether new flows should avoid all of an availability zone.

        Also true when only some of its servers are gone and the others were not
        heard meanwhile, so that it is no reason to give up flows.
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

    def is_reported(self, now: float) -> bool:
        """Return whether other instances should avoid the server as well."""
        return self.suspect and now - self._last_evidence_at < SUSPICION_REPORT_S

    @property
    def last_answer_at(self) -> float:
        """Monotonic time in seconds of the last answer to a flow."""
        return self._last_answer_at

    def record_peer_answer(self, moment: float) -> None:
        """Note when another instance of the zone last heard the server."""
        self._last_peer_answer_at = max(self._last_peer_answer_at, moment)

    def answered_since(self, moment: float) -> bool:
        """Return whether a flow got an answer after a moment."""
        return self._last_answer_at > moment

    def admits(self, now: float) -> bool:
        """Return whether a new flow may be placed on the server."""
        return not self.suspect or now >= self._next_probe_at

    def record_placement(self, now: float) -> None:
        """Note that a new flow was placed; it is the trial of a suspect server."""
        if self.suspect:
            self._next_probe_at = now + PROBE_INTERVAL_S
