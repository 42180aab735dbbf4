"""Detects restarts of backend servers from the uptimes of their health endpoints."""

# Uptimes are rounded and delayed; starts closer together than this are the same one.
SAME_START_S = 2.0
# An endpoint that reports a new start with every answer can hold its server in slow
# start no longer than one ramp in this time.
RESTART_INTERVAL_S = 300.0


class RestartDetector:
    """Detects which reported uptimes of one service's servers indicate a restart.

    Reports of health endpoints may be stale or wrong. A report can therefore only
    start a slow start, once per restart; it never ends one, and it moves no
    established flow.

    Args:
        slow_start_s: Length of the ramp of a cold server in seconds.

    >>> detector = RestartDetector(slow_start_s=30.0)
    >>> detector.record_uptime(0, uptime_s=500.0, now=1000.0) is None
    True
    >>> detector.record_uptime(0, uptime_s=2.0, now=1010.0)
    1008.0
    >>> detector.record_uptime(0, uptime_s=3.0, now=1011.0) is None
    True
    """

    __slots__ = ("_last_restart_at", "_slow_start_s", "_started")

    def __init__(self, *, slow_start_s: float) -> None:
        self._slow_start_s = slow_start_s
        self._started: dict[int, float] = {}
        self._last_restart_at: dict[int, float] = {}

    def record_uptime(
        self, number: int, *, uptime_s: float, now: float
    ) -> float | None:
        """Record a reported uptime.

        Args:
            number: Number of the server.
            uptime_s: Seconds since its start, as reported.
            now: Monotonic time in seconds.

        Returns:
            The monotonic time of a restart that is new and recent enough for a slow
            start, else None.
        """
        started = now - uptime_s
        previous_start = self._started.get(number)
        if previous_start is not None and started <= previous_start + SAME_START_S:
            return None
        self._started[number] = started
        if uptime_s >= self._slow_start_s:
            return None
        last_restart_at = self._last_restart_at.get(number)
        if last_restart_at is not None and now - last_restart_at < RESTART_INTERVAL_S:
            return None
        self._last_restart_at[number] = now
        return started

    def remove_server(self, number: int) -> None:
        """Remove all state of a server that left the pool or whose zone went out."""
        self._started.pop(number, None)
        self._last_restart_at.pop(number, None)
