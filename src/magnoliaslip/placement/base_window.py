"""Advances the base of every service as epochs leave the history window."""

from collections import deque

from magnoliaslip.placement.exception_store import ExceptionStore
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.records import ROWS, FlowFlag
from magnoliaslip.placement.service import BUCKET_CODE_SHIFT, Service, code_bucket
from magnoliaslip.placement.state import PlacementState

ROUTER_TICKS_PER_SECOND = 10  # calls of `FlowRouter.on_tick`
# All rows of the flow records are converted within this share of the grace period of
# direct forwarding, which spreads the new exceptions over the available time.
CONVERSION_SHARE_OF_GRACE = 0.6
REVIEWED_BUCKETS_PER_TICK = 50
MAX_TRACKED_VERSIONS = 8_192


class BaseWindow:
    """Tracks the versions in the window, and converts records when a base changes.

    For the base of a service see `EpochHistory`. Before an owner uses a new base, it
    turns each recorded flow whose server is not the new base default into an exception.
    Once every member uses the new base, exceptions that it makes unnecessary become
    plain records again.

    Args:
        state: State of the router.
        exceptions: The exceptions on this instance.
    """

    __slots__ = (
        "_exceptions",
        "_next_row",
        "_pending_bases",
        "_review_queue",
        "_state",
        "_versions",
    )

    def __init__(self, state: PlacementState, exceptions: ExceptionStore) -> None:
        self._state = state
        self._exceptions = exceptions
        self._versions: deque[tuple[int, float]] = deque(maxlen=MAX_TRACKED_VERSIONS)
        # Index of the next owner base by service index, while records are converted.
        self._pending_bases: dict[int, int] = {}
        self._next_row = ROWS
        self._review_queue: deque[int] = deque()

    @property
    def base_version(self) -> int:
        """Lowest version that is a base of direct forwarding on this instance."""
        version = self._versions[0][0] if self._versions else 0
        for service in self._state.services:
            history = service.epochs
            if history.epochs and len(history.epochs) > history.direct_base + 1:
                following = history.epochs[history.direct_base + 1].version
                version = min(version, following - 1)
        return version

    def record_version(self, version: int, since: float) -> None:
        """Record a version that came into force."""
        self._versions.append((version, since))

    def restart(self) -> None:
        """Discard all versions before an older history is applied."""
        self._versions.clear()
        self._pending_bases.clear()
        self._next_row = ROWS
        self._review_queue.clear()

    def review(self, service: Service) -> None:
        """Queue the exceptions of a service for review.

        Called when the epochs of members or the direct base of this instance have
        changed. Exceptions that are no longer necessary become plain records.
        """
        self._review_queue.extend(
            code
            for code in self._exceptions.buckets.codes
            if code >> BUCKET_CODE_SHIFT == service.index
        )

    def tick(self, now: float) -> bool:
        """Advance bases that are due; return whether direct forwarding changes."""
        self._discard_old_versions(now)
        self._start_advance(now)
        self._convert_records(now)
        changed = False
        if not self._pending_bases:
            for service in self._state.services:
                if service.epochs.epochs and service.epochs.advance_direct(now):
                    self.review(service)
                    changed = True
        self._demote_exceptions(now)
        return changed

    def _discard_old_versions(self, now: float) -> None:
        cfg = self._state.cfg
        limit = now - cfg.history_window_s - cfg.direct_grace_s
        while len(self._versions) > 1 and self._versions[1][1] <= limit:
            self._versions.popleft()

    def _start_advance(self, now: float) -> None:
        if self._pending_bases:
            return
        for service in self._state.services:
            history = service.epochs
            if len(history.epochs) > history.owner_base + 1:
                due = history.due_base(now)
                if due > history.owner_base:
                    self._pending_bases[service.index] = due
        if self._pending_bases:
            self._next_row = 0

    def _convert_records(self, now: float) -> None:
        if not self._pending_bases:
            return
        state = self._state
        ticks = max(
            1,
            int(
                state.cfg.direct_grace_s
                * CONVERSION_SHARE_OF_GRACE
                * ROUTER_TICKS_PER_SECOND
            ),
        )
        end = min(ROWS, self._next_row + -(-ROWS // ticks))
        for row in range(self._next_row, end):
            for key, record in state.records.row(row):
                due = self._pending_bases.get(record.service)
                if due is None or record.flags & (
                    FlowFlag.EXCEPTION | FlowFlag.CLOSED | FlowFlag.ASSUMED
                ):
                    continue
                service = state.services[record.service]
                history = service.epochs
                key_hash = flow_hash(key)
                bucket = code_bucket(key_hash)
                last = len(history.epochs) - 1
                if history.base_default_between(
                    bucket, due, last
                ) != record.server and state.owns(service, bucket):
                    self._exceptions.add(key, key_hash, service, now)
        self._next_row = end
        if self._next_row >= ROWS:
            for index, due in self._pending_bases.items():
                state.services[index].epochs.advance_owner(due)
            self._pending_bases.clear()
            state.direct_generation += 1

    def _demote_exceptions(self, now: float) -> None:
        state = self._state
        for _ in range(min(REVIEWED_BUCKETS_PER_TICK, len(self._review_queue))):
            code = self._review_queue.popleft()
            service = state.services[code >> BUCKET_CODE_SHIFT]
            bucket = code_bucket(code)
            if not state.owns(service, bucket) or state.policy == "replicated":
                continue
            for key, key_hash, record in self._exceptions.in_bucket(code):
                if state.half_open.get(key) is None and service.epochs.is_default(
                    bucket, record.server
                ):
                    self._exceptions.remove(key, key_hash, service, now)
