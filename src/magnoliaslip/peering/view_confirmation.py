"""Detection of a view that may be outdated, and its confirmation."""

from collections.abc import Callable
from logging import getLogger
from typing import TYPE_CHECKING

import anyio

from magnoliaslip.core.clock import Clock
from magnoliaslip.core.events import Event, log_event
from magnoliaslip.peering.dissemination import Dissemination
from magnoliaslip.peering.membership import Membership

if TYPE_CHECKING:
    from magnoliaslip.placement.router import FlowRouter

# Ticks are 0.1 s apart; a gap longer than this means that the process was paused.
PAUSE_THRESHOLD_S = 1.0
IDLE_TIMEOUT_S = 3.0
# The same times as in `placement.suspect_queue`, which itself limits how long packets
# are held, and states the reason of the longer time after a pause.
CONFIRMATION_TIMEOUT_S = 0.5
CONFIRMATION_TIMEOUT_AFTER_PAUSE_S = 2.0
# An answer of the platform, which may be stale, is used only after this time if there
# are peers.
PEER_PREFERENCE_S = 0.1

logger = getLogger(__name__)


class ViewConfirmation:
    """Marks the view suspect after a pause or an idle time-out and confirms it.

    After a pause, or when nothing was received from the peers and the platform for
    3 s, all of them are queried. The first complete answer confirms the view.
    Without one the instance continues with its current view after 500 ms, or 2 s after
    a pause. Answers of peers carry the number of the request, so that an answer from
    before the pause does not confirm the view.

    Args:
        membership: Provides the peers and the time of the last heartbeat.
        clock: Source of monotonic time.
        router: Holds packets while the view is suspect.
        dissemination: Fetches newer versions.
        on_pause: Called with the length of each pause in seconds.

    Attributes:
        suspect: Whether the view awaits confirmation.
    """

    __slots__ = (
        "_clock",
        "_confirmation_deadline",
        "_confirmation_requested",
        "_dissemination",
        "_idle_since",
        "_last_check_at",
        "_membership",
        "_on_pause",
        "_router",
        "_started_at",
        "suspect",
    )

    def __init__(
        self,
        membership: Membership,
        *,
        clock: Clock,
        router: "FlowRouter",
        dissemination: Dissemination,
        on_pause: Callable[[float], None],
    ) -> None:
        self._membership = membership
        self._clock = clock
        self._router = router
        self._dissemination = dissemination
        self._on_pause = on_pause
        self._confirmation_requested = anyio.Event()
        self._started_at = self._last_check_at = clock.monotonic()
        self._idle_since: float | None = None
        self._confirmation_deadline = 0.0
        self.suspect = False

    def check_pause(self) -> None:
        """Mark the view suspect if the process was paused since the last call.

        The data path may detect a pause first and mark the view suspect in the router.
        It is then marked suspect here as well, so that it is confirmed.
        """
        now = self._clock.monotonic()
        gap, self._last_check_at = now - self._last_check_at, now
        if gap > PAUSE_THRESHOLD_S:
            log_event(logger, Event.CLOCK_JUMPED, seconds=round(gap, 3))
            self._membership.exclude_pause(gap)
            self._mark_suspect(paused=True)
            self._on_pause(gap)
        elif self._router.suspect and not self.suspect:
            self._mark_suspect(paused=True)

    def check_idle(self) -> None:
        """Mark the view suspect, once per idle period, after the idle time-out."""
        last_received_at = max(
            self._membership.last_heartbeat_at(),
            self._dissemination.platform_feed.last_answer_at,
            self._started_at,
        )
        idle = self._clock.monotonic() - last_received_at > IDLE_TIMEOUT_S
        if idle and self._idle_since != last_received_at:
            self._idle_since = last_received_at
            self._mark_suspect(paused=False)

    def _mark_suspect(self, *, paused: bool) -> None:
        timeout = (
            CONFIRMATION_TIMEOUT_AFTER_PAUSE_S if paused else CONFIRMATION_TIMEOUT_S
        )
        self._confirmation_deadline = self._clock.monotonic() + timeout
        self.suspect = True
        self._router.mark_view_suspect(paused=paused)
        self._confirmation_requested.set()

    async def run(self) -> None:
        """Confirm the view whenever it is suspect, until cancelled."""
        while True:
            await self._confirmation_requested.wait()
            self._confirmation_requested = anyio.Event()
            confirmed_by = await self._confirm()
            if self._confirmation_requested.is_set():
                continue  # marked suspect again in the meantime
            self.suspect = False
            self._router.confirm_view()
            log_event(logger, Event.VIEW_CONFIRMED, by=confirmed_by or "deadline")

    async def _confirm(self) -> str:
        confirmation = _Confirmation()
        remaining = self._confirmation_deadline - self._clock.monotonic()
        with anyio.move_on_after(max(0.0, remaining)):
            async with anyio.create_task_group() as tasks:
                for peer in self._membership.heartbeat_targets():
                    tasks.start_soon(self._query_peer, peer, confirmation)
                tasks.start_soon(self._query_platform, confirmation)
                await confirmation.arrived.wait()
                tasks.cancel_scope.cancel()
        return confirmation.confirmed_by

    async def _query_peer(self, peer: str, confirmation: "_Confirmation") -> None:
        if await self._dissemination.peer_feed.fetch(peer):
            confirmation.set(peer)

    async def _query_platform(self, confirmation: "_Confirmation") -> None:
        prefer_peers_until = self._clock.monotonic() + PEER_PREFERENCE_S
        if await self._dissemination.refresh_from_platform():
            if self._membership.heartbeat_targets():
                now = self._clock.monotonic()
                await anyio.sleep(max(0.0, prefer_peers_until - now))
            confirmation.set("platform")


class _Confirmation:
    __slots__ = ("arrived", "confirmed_by")

    def __init__(self) -> None:
        self.arrived = anyio.Event()
        self.confirmed_by = ""

    def set(self, confirmed_by: str) -> None:
        self.confirmed_by = self.confirmed_by or confirmed_by
        self.arrived.set()
