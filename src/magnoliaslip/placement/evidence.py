"""Evidence that backend servers refuse flows, do not answer or have restarted."""

from collections import deque
from random import Random

INITIAL_BACKOFF_S = 1.0
MAX_BACKOFF_S = 15.0
BACKOFF_JITTER = 0.2
# After the backoff a server is probed with one new flow at a time; a probe without an
# answer times out after this time.
PROBE_TIMEOUT_S = 3.0
# A server that accepts a flow later than this after a refusal begins no slow start,
# because it has had time for one.
REFUSAL_EVIDENCE_S = 60.0
# This many resets of unknown connections within the window indicate a restart; single
# resets also follow from a connection that timed out on one side.
RESTART_RESET_COUNT = 3
RESTART_RESET_WINDOW_S = 2.0


class _RefusalState:
    __slots__ = ("backoff", "probe_until", "refused_until", "retry_at")

    def __init__(self) -> None:
        self.backoff = INITIAL_BACKOFF_S
        # An accepted flow begins a slow start until this time, as after a restart.
        self.refused_until = 0.0
        self.retry_at = 0.0
        self.probe_until = 0.0


class Evidence:
    """Tracks the servers of one service that refuse SYNs or leave them unanswered.

    Also counts resets of unknown connections, which indicate a restart.

    Args:
        rng: Source of the jitter.
    """

    __slots__ = ("_refusals", "_resets", "_rng")

    def __init__(self, rng: Random) -> None:
        self._rng = rng
        self._refusals: dict[int, _RefusalState] = {}
        self._resets: dict[int, deque[float]] = {}

    def record_refusal(
        self, number: int, now: float, *, unanswered: bool = False
    ) -> float:
        """Record a refused or unanswered SYN.

        Args:
            number: Number of the server.
            now: Monotonic time in seconds.
            unanswered: The SYN got no answer. It may have been lost or the answer may
                be late, so this does not indicate a restart of the server.

        Returns:
            Seconds until new flows are tried again.
        """
        refusal = self._refusals.get(number)
        refused_before = refusal is not None
        if refusal is None:
            refusal = self._refusals[number] = _RefusalState()
        if not unanswered:
            refusal.refused_until = now + REFUSAL_EVIDENCE_S
        if now < refusal.retry_at:
            return refusal.retry_at - now  # sent before the backoff began
        if refused_before:
            refusal.backoff = min(MAX_BACKOFF_S, refusal.backoff * 2)
        delay = refusal.backoff * self._rng.uniform(
            1 - BACKOFF_JITTER, 1 + BACKOFF_JITTER
        )
        refusal.retry_at = now + min(MAX_BACKOFF_S, delay)
        refusal.probe_until = 0.0
        return refusal.retry_at - now

    def record_acceptance(self, number: int, now: float) -> bool:
        """Record an accepted flow; return whether the server refused one recently."""
        refusal = self._refusals.pop(number, None)
        return refusal is not None and now < refusal.refused_until

    def record_placement(self, number: int, now: float) -> None:
        """Record a placed flow; after a backoff it is a probe."""
        refusal = self._refusals.get(number)
        if refusal is not None and now >= refusal.retry_at:
            refusal.probe_until = now + PROBE_TIMEOUT_S

    def record_unknown_reset(self, number: int, now: float) -> bool:
        """Record a reset of a connection that is unknown to the server.

        Returns:
            Whether the resets indicate that the server restarted.
        """
        reset_times = self._resets.setdefault(number, deque(maxlen=RESTART_RESET_COUNT))
        reset_times.append(now)
        if (
            len(reset_times) < RESTART_RESET_COUNT
            or now - reset_times[0] > RESTART_RESET_WINDOW_S
        ):
            return False
        reset_times.clear()
        return True

    def apply_report(self, number: int, refusing_ms: int, now: float) -> None:
        """Apply a refusal that another owner reports.

        Only the other owner sees when the server accepts flows again, so the reported
        refusal expires. Otherwise a slice that moves here much later would cause a
        slow start.
        """
        refusal = self._refusals.get(number)
        if refusal is None:
            refusal = self._refusals[number] = _RefusalState()
            refusal.retry_at = now + min(MAX_BACKOFF_S, refusing_ms / 1000)
            refusal.refused_until = refusal.retry_at + PROBE_TIMEOUT_S

    def refusing_ms(self, number: int, now: float) -> int:
        """Return milliseconds until new flows are tried again; 0 when accepting."""
        refusal = self._refusals.get(number)
        if refusal is None or now >= refusal.retry_at:
            return 0
        return max(1, int((refusal.retry_at - now) * 1000))

    def blocks(self, number: int, now: float) -> bool:
        """Check whether the evidence excludes a server for a new flow."""
        refusal = self._refusals.get(number)
        return refusal is not None and now < max(refusal.retry_at, refusal.probe_until)

    def is_ignored(self, pool_size: int, now: float) -> bool:
        """Check whether more than half of the pool is blocked.

        The cause is then more likely on this side, and load is spread over all servers.
        """
        blocked = sum(self.blocks(number, now) for number in self._refusals)
        return blocked * 2 > pool_size

    @property
    def tracked_servers(self) -> list[int]:
        """Numbers of servers with evidence against them."""
        return list(self._refusals)

    def remove_server(self, number: int) -> None:
        """Remove all state of a server that left the pool or whose zone went out."""
        self._refusals.pop(number, None)
        self._resets.pop(number, None)
