"""Sends exceptions again when members or slices change; joining and leaving."""

from collections.abc import Sequence

from magnoliaslip.core.group import GroupView, Member, MemberState
from magnoliaslip.peering.proto.peer_pb2 import (
    ExceptionReply,
    ExceptionRequest,
    LogEntries,
    PeerMessage,
)
from magnoliaslip.placement.exceptions import ApplyResult, ExceptionStore
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.records import ROWS, TICKS_PER_SECOND, FlowFlag
from magnoliaslip.placement.replication import MAX_BATCH, LogOp, encode_ops
from magnoliaslip.placement.service import CODE_SHIFT, Service, code_bucket
from magnoliaslip.placement.slices import (
    Holders,
    choose_holders,
    owning_members,
    slice_count,
)
from magnoliaslip.placement.state import PlacementState

JOIN_SECONDS = 3.0
# A former owner that died while it handed its slice over is out of the view by then.
WATCH_SECONDS = 4.0
ASK_SECONDS = 0.3  # a peer that does not have the asker in its view does not answer
# A former holder keeps its copies while the new ones get theirs.
DROP_SECONDS = 10.0
LEAVING_RATE_FACTOR = 10
LEAVING_ROWS_PER_TICK = ROWS // 16
IDLE_SECONDS = 2.0
TICK_SECONDS = 0.1


class Handover:
    """Moves exceptions to the members that should hold them.

    Args:
        state: State of the router.
        exceptions: The exceptions held here.
    """

    __slots__ = (
        "_asked",
        "_drop_at",
        "_exceptions",
        "_join_deadline",
        "_leave_deadline",
        "_leave_row",
        "_leave_since",
        "_queue",
        "_replied",
        "_state",
        "_watched",
        "last_packet",
    )

    def __init__(self, state: PlacementState, exceptions: ExceptionStore) -> None:
        self._state = state
        self._exceptions = exceptions
        self._watched: dict[int, tuple[str, float]] = {}
        self._queue: dict[int, set[str]] = {}
        self._drop_at: dict[int, float] = {}
        self._asked: dict[str, float] = {}
        self._replied: set[str] = set()
        self._join_deadline: float | None = None
        self._leave_deadline = 0.0
        self._leave_since = 0.0
        self._leave_row = ROWS
        self.last_packet = 0.0

    @property
    def backlog(self) -> int:
        """Buckets whose exceptions are still to be sent."""
        return len(self._queue)

    def is_moving(self, code: int) -> bool:
        """Return whether a bucket has a new owner that may lack its exceptions."""
        return code in self._watched or code in self._queue

    def exceptions_ready(self, now: float) -> bool:
        """Return whether a joining instance has its exceptions, or waited 3 s."""
        if self._join_deadline is None:
            return False
        if now >= self._join_deadline:
            return True
        return self._replied.issuperset(self._serving_peers())

    def may_stop(self, now: float) -> bool:
        """Return whether a leaving instance is no longer needed."""
        if not self._state.leaving:
            return False
        if now >= self._leave_deadline:
            return True
        idle = now - max(self.last_packet, self._leave_since) >= IDLE_SECONDS
        sent = not self._queue and self._leave_row >= ROWS
        return (
            idle and sent and all(not log.backlog for log in self._state.logs.values())
        )

    def slices_changed(
        self,
        service: Service,
        former: tuple[int, Sequence[Holders | None]],
        now: float,
    ) -> None:
        """Queue the exceptions of the slices whose holders changed."""
        count, former_holders = former
        for code in self._exceptions.codes:
            if code >> CODE_SHIFT != service.index:
                continue
            bucket = code_bucket(code)
            old = former_holders[bucket % count]
            new = service.slices.holders(bucket)
            if new is None or new == old:
                continue
            if old is not None and new.owner != old.owner:
                self._watched[code] = old.owner, now + WATCH_SECONDS
            targets = self._targets(old, new)
            if targets:
                self._queue.setdefault(code, set()).update(targets)
            if self._state.instance_id in (new.owner, *new.replicas):
                self._drop_at.pop(code, None)
            else:
                self._drop_at[code] = now + DROP_SECONDS

    def resend_to(self, peer: str) -> None:
        """Queue what a peer should hold and does not have any more."""
        for code in self._exceptions.codes:
            service = self._state.services[code >> CODE_SHIFT]
            holders = service.slices.holders(code_bucket(code))
            if holders and peer in (holders.owner, *holders.replicas):
                self._queue.setdefault(code, set()).add(peer)

    def view_changed(self, view: GroupView, now: float) -> None:
        """Start asking for exceptions when this instance joins."""
        me = view.members.get(self._state.instance_id)
        if me is None or me.state is not MemberState.JOINING:
            # An instance that woke late joins again and asks anew.
            self._join_deadline = None
            self._replied.clear()
            self._asked.clear()
            return
        if self._join_deadline is None:
            self._join_deadline = now + JOIN_SECONDS
        self._ask(now)

    def begin_leaving(self, now: float) -> None:
        """Start to send young flows to their new owners."""
        self._leave_deadline = now + self._state.cfg.leave_deadline
        self._leave_since = now
        self._leave_row = 0

    def answer(self, peer: str) -> None:
        """Send a joining member the exceptions that it should hold.

        A member outside the view gets no answer and asks again: without its zone
        nobody can tell what it should hold.
        """
        state = self._state
        joiner = state.view.members.get(peer)
        if joiner is None:
            return
        members = owning_members(state.view, state.snapshot.zones_out)
        if joiner not in members:
            members = sorted([*members, joiner], key=lambda member: member.id)
        ops: list[LogOp] = []
        holders: dict[tuple[int, int], Holders | None] = {}
        for code in self._exceptions.codes:
            service = state.services[code >> CODE_SHIFT]
            number = code_bucket(code) % _slices(service)
            slice_key = service.index, number
            if slice_key not in holders:
                holders[slice_key] = choose_holders(service.name, number, members)
            found = holders[slice_key]
            if found and peer in (found.owner, *found.replicas):
                ops += self._ops(service, code)
        while True:
            batch, ops = ops[:MAX_BATCH], ops[MAX_BATCH:]
            reply = ExceptionReply(entries=encode_ops(batch), last=not ops)
            state.peers.send(peer, PeerMessage(exception_reply=reply))
            if not ops:
                return

    def take_reply(self, peer: str, reply: ExceptionReply, now: float) -> bool:
        """Apply an answer; returns whether a used record changed."""
        changed = self.apply_exceptions(reply.entries, now)
        if reply.last:
            self._replied.add(peer)
        return changed

    def apply_exceptions(
        self, entries: LogEntries, now: float, *, skip: int = 0
    ) -> bool:
        """Apply exception operations; returns whether a used record changed."""
        changed = False
        for op in entries.exceptions[skip:]:
            if op.service_index >= len(entries.services) or len(op.key) != 12:
                continue
            name = entries.services[op.service_index]
            applied = self._exceptions.apply(
                name, op.key, op.server, now, removed=op.removed
            )
            if applied is not ApplyResult.UNCHANGED:
                self._pass_on(name, op.key)
            changed |= applied is ApplyResult.CHANGED
        return changed

    def tick(self, now: float) -> None:
        """Send a paced part of the queue, and drop copies of other members."""
        self._ask(now)
        state = self._state
        budget = max(1, int(state.cfg.bulk_rate * TICK_SECONDS))
        if state.leaving:
            budget *= LEAVING_RATE_FACTOR
            self._send_young(budget)
        while self._queue and budget > 0:
            code = next(iter(self._queue))
            targets = self._queue.pop(code)
            service = state.services[code >> CODE_SHIFT]
            for op in self._ops(service, code):
                for peer in sorted(targets):
                    log = state.logs.get(peer)
                    if log is not None:
                        log.add_exception(op.service, op.key, op.server)
                        budget -= 1
        self._stand_in(now)
        for code in [c for c, moment in self._drop_at.items() if now >= moment]:
            del self._drop_at[code]
            self._exceptions.drop_bucket(code, now)

    def _stand_in(self, now: float) -> None:
        """Send what a former owner may not have handed over before it died."""
        members = self._state.view.members
        for code, (former, deadline) in list(self._watched.items()):
            if former not in members:
                service = self._state.services[code >> CODE_SHIFT]
                holders = service.slices.holders(code_bucket(code))
                if holders is not None and self._exceptions.has_exceptions(code):
                    self._queue.setdefault(code, set()).add(holders.owner)
            elif now < deadline:
                continue
            del self._watched[code]

    def _targets(self, old: Holders | None, new: Holders) -> set[str]:
        me = self._state.instance_id
        former = {old.owner, *old.replicas} if old else set()
        if me == new.owner:
            return set(new.replicas) - former
        if old is not None and me == old.owner:
            return ({new.owner, *new.replicas} - former) | {new.owner}
        if old is None or old.owner not in self._state.view.members:
            # Only one replica is sure to have an exception, not always this one.
            return {new.owner}
        return set()

    def _pass_on(self, service_name: str, key: bytes) -> None:
        """Queue an exception from a former owner for the replicas."""
        state = self._state
        service = state.service(service_name)
        bucket = code_bucket(flow_hash(key))
        code = service.code(bucket)
        if code in self._drop_at:
            return
        holders = service.slices.holders(bucket)
        if holders is None:
            return
        if holders.owner == state.instance_id:
            if self._exceptions.has_exceptions(code):
                self._queue.setdefault(code, set()).update(holders.replicas)
        elif state.instance_id not in holders.replicas:
            self._drop_at[code] = state.now() + DROP_SECONDS

    def _ops(self, service: Service, code: int) -> list[LogOp]:
        return [
            LogOp(service.name, key=key, server=service.servers[record.server].name)
            for key, _, record in self._exceptions.in_bucket(code)
        ]

    def _send_young(self, budget: int) -> None:
        state = self._state
        oldest = (self._leave_since - state.cfg.young_flow) * TICKS_PER_SECOND
        last = min(ROWS, self._leave_row + LEAVING_ROWS_PER_TICK)
        while self._leave_row < last and budget > 0:
            for key, record in state.records.row(self._leave_row):
                if record.flags & (FlowFlag.EXCEPTION | FlowFlag.ENDED):
                    continue
                service = state.services[record.service]
                owner = service.slices.owner(code_bucket(flow_hash(key)))
                log = state.logs.get(owner) if owner else None
                if log is not None and record.opened >= oldest:
                    server = service.servers[record.server].name
                    log.add_exception(service.name, key, server)
                    budget -= 1
            self._leave_row += 1

    def _serving_peers(self) -> list[str]:
        members: dict[str, Member] = self._state.view.members
        return [
            name
            for name, member in members.items()
            if name != self._state.instance_id
            and member.state is not MemberState.JOINING
        ]

    def _ask(self, now: float) -> None:
        if self._join_deadline is None or now >= self._join_deadline:
            return
        for peer in self._serving_peers():
            if peer not in self._replied and now >= self._asked.get(peer, 0.0):
                self._asked[peer] = now + ASK_SECONDS
                self._state.peers.send(
                    peer, PeerMessage(exception_request=ExceptionRequest())
                )


def _slices(service: Service) -> int:
    return slice_count(service.pool.servers if service.pool else ())
