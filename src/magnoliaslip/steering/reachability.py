"""Evidence that a backend server can or can't be reached from this instance."""

# Unanswered packets of this many flows, with no answer to any flow since, make a
# server suspect; a single loss on one flow does not.
SILENT_FLOWS = 2
# A caller repeats an unanswered packet after this time, in seconds (protocol).
REPEAT_S = 0.2
# A suspect server is tried again with one new flow after this time in seconds: about
# the time in which a caller gives up an unanswered open.
TRIAL_S = 1.4


class Reachability:
    """What the flows of one server tell about the path to it and back."""

    __slots__ = ("_progress_at", "_silent", "_trial_at", "suspect")

    def __init__(self) -> None:
        self._progress_at = float("-inf")
        self._silent: set[bytes] = set()
        self._trial_at = 0.0
        self.suspect = False

    def note_progress(self, now: float) -> bool:
        """Note that a flow got an answer; returns whether the server was suspect."""
        self._progress_at = now
        if self._silent:
            self._silent.clear()
        ended = self.suspect
        self.suspect = False
        return ended

    def note_silence(self, flow: bytes, now: float, *, opening: bool) -> bool:
        """Note that a packet was repeated because no answer came.

        Args:
            flow: The flow of the packet.
            now: Monotonic time in seconds.
            opening: Whether it opens its flow; servers answer those at once, so that
                one is enough.

        Returns:
            Whether the server became suspect.
        """
        if self._progress_at > now - REPEAT_S:
            return False
        self._silent.add(flow)
        if self.suspect or (not opening and len(self._silent) < SILENT_FLOWS):
            return False
        self.suspect = True
        self._trial_at = now + TRIAL_S
        return True

    def admits(self, now: float) -> bool:
        """Return whether a new flow may be placed on the server."""
        return not self.suspect or now >= self._trial_at

    def note_placed(self, now: float) -> None:
        """Note that a new flow was placed; it is the trial of a suspect server."""
        if self.suspect:
            self._trial_at = now + TRIAL_S
