"""Moves the base of every service forward as epochs leave the history window."""

from collections import deque

from magnoliaslip.placement.exceptions import ExceptionKeeper
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.records import ROWS, FlowFlag
from magnoliaslip.placement.service import CODE_SHIFT, Service, code_bucket
from magnoliaslip.placement.state import PlacementState

TICKS_PER_SECOND = 10
# All rows are looked at within this part of the grace of direct forwarding, which
# spreads the new exceptions over the time that there is.
GRACE_PART = 0.6
CODES_PER_TICK = 50
MAX_VERSIONS = 8_192


class BaseWindow:
    """The versions of the window, and the work when the base changes.

    Before an owner uses a new base, it turns each recorded flow whose server is not
    the new base default into an exception. Once every member uses the new base,
    exceptions that it makes unnecessary become plain records again.

    Args:
        state: State of the router.
        keeper: The exceptions held here.
    """

    __slots__ = ("_advancing", "_keeper", "_review", "_row", "_state", "_versions")

    def __init__(self, state: PlacementState, keeper: ExceptionKeeper) -> None:
        self._state = state
        self._keeper = keeper
        self._versions: deque[tuple[int, float]] = deque(maxlen=MAX_VERSIONS)
        self._advancing: dict[int, int] = {}
        self._row = ROWS
        self._review: deque[int] = deque()

    @property
    def base_version(self) -> int:
        """The lowest version that is the base of direct forwarding here."""
        version = self._versions[0][0] if self._versions else 0
        for service in self._state.services:
            history = service.epochs
            if history.epochs and len(history.epochs) > history.direct_base + 1:
                following = history.epochs[history.direct_base + 1].version
                version = min(version, following - 1)
        return version

    @property
    def oldest_version(self) -> int:
        """The oldest version that is known here."""
        return self._versions[0][0] if self._versions else 0

    def note_version(self, version: int, since: float) -> None:
        """Note a version that came into force."""
        self._versions.append((version, since))

    def restart(self) -> None:
        """Forget all versions before an older history is applied."""
        self._versions.clear()
        self._advancing.clear()
        self._row = ROWS
        self._review.clear()

    def review(self, service: Service) -> None:
        """Look at the exceptions of a service again, since members moved on."""
        self._review.extend(
            code for code in self._keeper.codes if code >> CODE_SHIFT == service.index
        )

    def tick(self, now: float) -> bool:
        """Advance bases that are due; returns whether direct forwarding changes."""
        self._forget_versions(now)
        self._start(now)
        self._convert(now)
        changed = False
        if not self._advancing:
            for service in self._state.services:
                if service.epochs.epochs and service.epochs.advance_direct(now):
                    self.review(service)
                    changed = True
        self._demote(now)
        return changed

    def _forget_versions(self, now: float) -> None:
        cfg = self._state.cfg
        limit = now - cfg.history_window - cfg.direct_grace
        while len(self._versions) > 1 and self._versions[1][1] <= limit:
            self._versions.popleft()

    def _start(self, now: float) -> None:
        if self._advancing:
            return
        for service in self._state.services:
            history = service.epochs
            if len(history.epochs) > history.owner_base + 1:
                due = history.due_base(now)
                if due > history.owner_base:
                    self._advancing[service.index] = due
        if self._advancing:
            self._row = 0

    def _convert(self, now: float) -> None:
        if not self._advancing:
            return
        state = self._state
        ticks = max(1, int(state.cfg.direct_grace * GRACE_PART * TICKS_PER_SECOND))
        end = min(ROWS, self._row + -(-ROWS // ticks))
        for row in range(self._row, end):
            for key, record in state.records.row(row):
                due = self._advancing.get(record.service)
                if due is None or record.flags & (
                    FlowFlag.EXCEPTION | FlowFlag.ENDED | FlowFlag.GUESSED
                ):
                    continue
                service = state.services[record.service]
                history = service.epochs
                key_hash = flow_hash(key)
                bucket = code_bucket(key_hash)
                last = len(history.epochs) - 1
                if history.base_between(
                    bucket, due, last
                ) != record.server and state.owns(service, bucket):
                    self._keeper.add(key, key_hash, service, now)
        self._row = end
        if self._row >= ROWS:
            for index, due in self._advancing.items():
                state.services[index].epochs.advance_owner(due)
            self._advancing.clear()
            state.epoch += 1

    def _demote(self, now: float) -> None:
        state = self._state
        for _ in range(min(CODES_PER_TICK, len(self._review))):
            code = self._review.popleft()
            service = state.services[code >> CODE_SHIFT]
            bucket = code_bucket(code)
            if not state.owns(service, bucket) or state.policy == "replicated":
                continue
            for key, key_hash, record in self._keeper.in_bucket(code):
                if state.half_open.get(key) is None and service.epochs.is_default(
                    bucket, record.server
                ):
                    self._keeper.remove(key, key_hash, service, now)
