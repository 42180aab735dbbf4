"""Evidence against backend servers from refused and unanswered opens."""

from collections import deque
from random import Random

FIRST_BACKOFF = 1.0
MAX_BACKOFF = 15.0
JITTER = 0.2
# One open at a time tests a server whose backoff ended; a test without an answer
# is given up after this time.
TRIAL_SECONDS = 3.0
# A server that was tested this long after its refusals has had time for a slow start.
REFUSAL_SECONDS = 60.0
# This many resets of unknown connections within the time show a restart; single
# ones also follow from a connection that timed out on one side.
RESTART_RESETS = 3
RESTART_SECONDS = 2.0


class _Suspicion:
    __slots__ = ("backoff", "refused_until", "retry_at", "trial_until")

    def __init__(self) -> None:
        self.backoff = FIRST_BACKOFF
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

    def record_refusal(self, number: int, now: float, *, silent: bool = False) -> float:
        """Note a refused or ignored open.

        Args:
            number: Number of the server.
            now: Monotonic time in seconds.
            silent: The open was ignored. The path may have lost it or the answer may
                be late, so this does not show a server that stopped and started.

        Returns:
            Seconds until opens are tried again.
        """
        suspicion = self._suspicions.get(number)
        former = suspicion is not None
        if suspicion is None:
            suspicion = self._suspicions[number] = _Suspicion()
        if not silent:
            suspicion.refused_until = now + REFUSAL_SECONDS
        if now < suspicion.retry_at:
            return suspicion.retry_at - now  # opens in flight when it began
        if former:
            suspicion.backoff = min(MAX_BACKOFF, suspicion.backoff * 2)
        delay = suspicion.backoff * self._rng.uniform(1 - JITTER, 1 + JITTER)
        suspicion.retry_at = now + min(MAX_BACKOFF, delay)
        suspicion.trial_until = 0.0
        return suspicion.retry_at - now

    def note_accepted(self, number: int, now: float) -> bool:
        """Note an accepted open; returns whether the server refused before."""
        suspicion = self._suspicions.pop(number, None)
        return suspicion is not None and now < suspicion.refused_until

    def note_placed(self, number: int, now: float) -> None:
        """Note that an open was placed; it is the test of a suspected server."""
        suspicion = self._suspicions.get(number)
        if suspicion is not None and now >= suspicion.retry_at:
            suspicion.trial_until = now + TRIAL_SECONDS

    def note_unknown_reset(self, number: int, now: float) -> bool:
        """Note a reset of a connection that the server did not know.

        Returns:
            Whether the resets show that the server restarted.
        """
        moments = self._resets.setdefault(number, deque(maxlen=RESTART_RESETS))
        moments.append(now)
        if len(moments) < RESTART_RESETS or now - moments[0] > RESTART_SECONDS:
            return False
        moments.clear()
        return True

    def take_report(self, number: int, refusing_ms: int, now: float) -> None:
        """Take over what another owner reports about a server.

        The other owner sees when the server accepts again. Its report of a refusal
        therefore lapses; a slice that moves here much later is no reason for a slow
        start.
        """
        suspicion = self._suspicions.get(number)
        if suspicion is None:
            suspicion = self._suspicions[number] = _Suspicion()
            suspicion.retry_at = now + min(MAX_BACKOFF, refusing_ms / 1000)
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
        bad = sum(self.blocks(number, now) for number in self._suspicions)
        return bad * 2 > pool_size

    @property
    def suspected(self) -> list[int]:
        """Numbers of servers with evidence against them."""
        return list(self._suspicions)

    def forget(self, number: int) -> None:
        """Drop everything about a server that left the pool."""
        self._suspicions.pop(number, None)
        self._resets.pop(number, None)
