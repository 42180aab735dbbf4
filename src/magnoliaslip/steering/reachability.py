"""Evidence that a backend server can or can't be reached from this instance."""

# Unanswered packets of this many flows, with no answer to any flow since, make a
# server suspect; a single loss on one flow does not.
SILENT_FLOWS = 2
# A caller repeats an unanswered packet after this time, in seconds (protocol).
REPEAT_S = 0.2
# A server answers an opening packet at once; with the caller's next packet it takes
# two round trips, at most about 40 ms between zones. Time in seconds after which an
# open counts as unanswered: the caller was refused, or the path is cut.
OPEN_ANSWER_S = 0.08
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

    def note_unanswered_open(self, sent_at: float, now: float) -> bool:
        """Note that an open was not answered in time; one is enough.

        Args:
            sent_at: Monotonic time in seconds at which it was sent.
            now: Monotonic time in seconds.

        Returns:
            Whether the server became suspect.
        """
        return self._progress_at < sent_at and self._suspect(now)

    def note_repeat(self, flow: bytes, now: float) -> bool:
        """Note that data was repeated because no answer came.

        Returns:
            Whether the server became suspect.
        """
        if self._progress_at > now - REPEAT_S:
            return False
        self._silent.add(flow)
        return len(self._silent) >= SILENT_FLOWS and self._suspect(now)

    def _suspect(self, now: float) -> bool:
        if self.suspect:
            return False
        self.suspect = True
        self._trial_at = now + TRIAL_S
        return True

    def heard_since(self, moment: float) -> bool:
        """Return whether a flow got an answer after a moment."""
        return self._progress_at > moment

    def admits(self, now: float) -> bool:
        """Return whether a new flow may be placed on the server."""
        return not self.suspect or now >= self._trial_at

    def note_placed(self, now: float) -> None:
        """Note that a new flow was placed; it is the trial of a suspect server."""
        if self.suspect:
            self._trial_at = now + TRIAL_S
