"""Evidence against backend servers from refused and unanswered opens."""

from collections import deque
from random import Random

INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 15.0
BACKOFF_JITTER = 0.2
# One open at a time tests a server whose backoff ended; a test without an answer
# is given up after this time.
TRIAL_SECONDS = 3.0
# A server that was tested this long after its refusals has had time for a slow start.
REFUSAL_EVIDENCE_SECONDS = 60.0
# This many resets of unknown connections within the time show a restart; single
# ones also follow from a connection that timed out on one side.
RESTART_RESET_COUNT = 3
RESTART_RESET_WINDOW_SECONDS = 2.0


class _Suspicion:
    __slots__ = ("backoff", "refused_until", "retry_at", "trial_until")

    def __init__(self) -> None:
        self.backoff = INITIAL_BACKOFF_SECONDS
        # Until when an accepted open shows that the server accepts again.
        self.refused_until = 0.0
        self.retry_at = 0.0
        self.trial_until = 0.0


class Evidence:
    """Which servers of one service refuse or ignore opens.

    Args:
        rng: Source of the jitter.
    """

    __slots__ = ("_resets", "_rng", "_suspicions")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._suspicions: dict[int, _Suspicion] = {}
        self._resets: dict[int, deque[float]] = {}

    def record_refusal(
        self, number: int, now: float, *, unanswered: bool = False
    ) -> float:
        """Note a refused or ignored open.

        Args:
            number: Number of the server.
            now: Monotonic time in seconds.
            unanswered: The open was ignored. The path may have lost it or the answer
                may be late, so this does not show a server that stopped and started.

        Returns:
            Seconds until opens are tried again.
        """
        suspicion = self._suspicions.get(number)
        known_before = suspicion is not None
        if suspicion is None:
            suspicion = self._suspicions[number] = _Suspicion()
        if not unanswered:
            suspicion.refused_until = now + REFUSAL_EVIDENCE_SECONDS
        if now < suspicion.retry_at:
            return suspicion.retry_at - now  # opens in flight when it began
        if known_before:
            suspicion.backoff = min(MAX_BACKOFF_SECONDS, suspicion.backoff * 2)
        delay = suspicion.backoff * self._rng.uniform(
            1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER
        )
        suspicion.retry_at = now + min(MAX_BACKOFF_SECONDS, delay)
        suspicion.trial_until = 0.0
        return suspicion.retry_at - now

    def record_acceptance(self, number: int, now: float) -> bool:
        """Note an accepted open; returns whether the server refused before."""
        suspicion = self._suspicions.pop(number, None)
        return suspicion is not None and now < suspicion.refused_until

    def record_placement(self, number: int, now: float) -> None:
        """Note that an open was placed; it is the test of a suspected server."""
        suspicion = self._suspicions.get(number)
        if suspicion is not None and now >= suspicion.retry_at:
            suspicion.trial_until = now + TRIAL_SECONDS

    def record_unknown_reset(self, number: int, now: float) -> bool:
        """Note a reset of a connection that the server did not know.

        Returns:
            Whether the resets show that the server restarted.
        """
        reset_times = self._resets.setdefault(number, deque(maxlen=RESTART_RESET_COUNT))
        reset_times.append(now)
        if (
            len(reset_times) < RESTART_RESET_COUNT
            or now - reset_times[0] > RESTART_RESET_WINDOW_SECONDS
        ):
            return False
        reset_times.clear()
        return True

    def apply_report(self, number: int, refusing_ms: int, now: float) -> None:
        """Take over what another owner reports about a server.

        The other owner sees when the server accepts again. Its report of a refusal
        therefore lapses; a slice that moves here much later is no reason for a slow
        start.
        """
        suspicion = self._suspicions.get(number)
        if suspicion is None:
            suspicion = self._suspicions[number] = _Suspicion()
            suspicion.retry_at = now + min(MAX_BACKOFF_SECONDS, refusing_ms / 1000)
            suspicion.refused_until = suspicion.retry_at + TRIAL_SECONDS

    def refusing_ms(self, number: int, now: float) -> int:
        """Return milliseconds until opens are tried again; 0 when accepting."""
        suspicion = self._suspicions.get(number)
        if suspicion is None or now >= suspicion.retry_at:
            return 0
        return max(1, int((suspicion.retry_at - now) * 1000))

    def blocks(self, number: int, now: float) -> bool:
        """Return whether evidence speaks against one more open now."""
        suspicion = self._suspicions.get(number)
        return suspicion is not None and now < max(
            suspicion.retry_at, suspicion.trial_until
        )

    def is_ignored(self, pool_size: int, now: float) -> bool:
        """Return whether more than half of the pool looks bad.

        Then the cause is more likely on this side, and load spreads over all.
        """
        blocked = sum(self.blocks(number, now) for number in self._suspicions)
        return blocked * 2 > pool_size

    @property
    def suspected(self) -> list[int]:
        """Numbers of servers with evidence against them."""
        return list(self._suspicions)

    def remove_server(self, number: int) -> None:
        """Drop everything about a server that left the pool."""
        self._suspicions.pop(number, None)
        self._resets.pop(number, None)
