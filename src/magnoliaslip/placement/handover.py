"""Transfers exceptions when members or slices change, and handles join and leave."""

from collections.abc import Sequence

from magnoliaslip.core.group import GroupView, Member, MemberState
from magnoliaslip.peering.proto.peer_pb2 import (
    ExceptionReply,
    ExceptionRequest,
    LogEntries,
    PeerMessage,
)
from magnoliaslip.placement.exception_store import ApplyResult, ExceptionStore
from magnoliaslip.placement.handed_on import HandedOnExceptions
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.records import QUARTERS_PER_SECOND, ROWS, FlowFlag
from magnoliaslip.placement.replication import MAX_BATCH_OPERATIONS, LogOp, encode_ops
from magnoliaslip.placement.service import BUCKET_CODE_SHIFT, Service, code_bucket
from magnoliaslip.placement.slices import (
    Holders,
    choose_holders,
    owning_members,
    slice_count,
)
from magnoliaslip.placement.state import PlacementState

JOIN_TIMEOUT_S = 3.0
# A former owner that failed during its handover has left the view by then.
FORMER_OWNER_WATCH_S = 4.0
# A peer does not reply while the requesting member is outside its view.
REQUEST_INTERVAL_S = 0.3
# A former holder keeps its replicas until the new holders have received theirs.
REPLICA_RETENTION_S = 10.0
LEAVING_RATE_FACTOR = 10
LEAVING_ROWS_PER_TICK = ROWS // 16
LEAVING_IDLE_S = 2.0
ROUTER_TICK_S = 0.1  # between calls of `FlowRouter.on_tick`


class Handover:
    """Transfers exceptions to the members that should hold them.

    Args:
        state: State of the router.
        exceptions: The exceptions on this instance.

    Attributes:
        last_packet_at: Monotonic time in seconds of the last packet that was handled
            while this instance is leaving.
    """

    __slots__ = (
        "_exceptions",
        "_former_owners",
        "_handed_on",
        "_join_deadline",
        "_leave_deadline",
        "_leaving_since",
        "_next_leaving_row",
        "_next_request_at",
        "_remove_at",
        "_replied_peers",
        "_resend_queue",
        "_state",
        "last_packet_at",
    )

    def __init__(self, state: PlacementState, exceptions: ExceptionStore) -> None:
        self._state = state
        self._exceptions = exceptions
        self._former_owners: dict[int, tuple[str, float]] = {}
        self._handed_on = HandedOnExceptions()
        self._resend_queue: dict[int, set[str]] = {}
        self._remove_at: dict[int, float] = {}
        self._next_request_at: dict[str, float] = {}
        self._replied_peers: set[str] = set()
        self._join_deadline: float | None = None
        self._leave_deadline = 0.0
        self._leaving_since = 0.0
        self._next_leaving_row = ROWS
        self.last_packet_at = 0.0

    def is_in_handover(self, code: int) -> bool:
        """Check whether a bucket has a new owner that may lack its exceptions."""
        return code in self._former_owners or code in self._resend_queue

    def exceptions_ready(self, now: float) -> bool:
        """Check whether a joining instance has its exceptions or has waited 3 s."""
        if self._join_deadline is None:
            return False
        if now >= self._join_deadline:
            return True
        return self._replied_peers.issuperset(self._joined_peers())

    def may_stop(self, now: float) -> bool:
        """Check whether a leaving instance is no longer needed, or its time is over."""
        if not self._state.leaving:
            return False
        if now >= self._leave_deadline:
            return True
        idle = now - max(self.last_packet_at, self._leaving_since) >= LEAVING_IDLE_S
        sent = not self._resend_queue and self._next_leaving_row >= ROWS
        return (
            idle and sent and all(not log.backlog for log in self._state.logs.values())
        )

    def on_slices_changed(
        self,
        service: Service,
        former_count_and_holders: tuple[int, Sequence[Holders | None]],
        now: float,
    ) -> None:
        """Queue the exceptions of slices whose holders have changed.

        Args:
            service: The service.
            former_count_and_holders: Former number of slices, and their holders.
            now: Monotonic time in seconds.
        """
        count, former_holders = former_count_and_holders
        for code in self._exceptions.buckets.codes:
            if code >> BUCKET_CODE_SHIFT != service.index:
                continue
            bucket = code_bucket(code)
            old = former_holders[bucket % count]
            new = service.slices.holders(bucket)
            if new is None or new == old:
                continue
            if old is not None and new.owner != old.owner:
                self._former_owners[code] = old.owner, now + FORMER_OWNER_WATCH_S
            targets = self._resend_targets(old, new)
            if targets:
                self._resend_queue.setdefault(code, set()).update(targets)
            if self._state.instance_id in (new.owner, *new.replicas):
                self._remove_at.pop(code, None)
            else:
                self._remove_at[code] = now + REPLICA_RETENTION_S

    def resend_to(self, peer: str) -> None:
        """Queue every exception that a peer should hold but may no longer have."""
        for code in self._exceptions.buckets.codes:
            service = self._state.services[code >> BUCKET_CODE_SHIFT]
            holders = service.slices.holders(code_bucket(code))
            if holders and peer in (holders.owner, *holders.replicas):
                self._resend_queue.setdefault(code, set()).add(peer)

    def on_view_changed(self, view: GroupView, now: float) -> None:
        """Start requesting exceptions when this instance joins."""
        own_member = view.members.get(self._state.instance_id)
        if own_member is None or own_member.state is not MemberState.JOINING:
            # An instance that resumes after a pause joins again, with new requests.
            self._join_deadline = None
            self._replied_peers.clear()
            self._next_request_at.clear()
            return
        if self._join_deadline is None:
            self._join_deadline = now + JOIN_TIMEOUT_S
        self._request_exceptions(now)

    def begin_leaving(self, now: float) -> None:
        """Start sending young flows to their new owners."""
        self._leave_deadline = now + self._state.cfg.leave_timeout_s
        self._leaving_since = now
        self._next_leaving_row = 0

    def reply_to_request(self, peer: str) -> None:
        """Send a joining member the exceptions that it should hold.

        A member outside the view gets no reply and repeats its request, because the
        exceptions that it should hold cannot be determined without its zone.
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
        for code in self._exceptions.buckets.codes:
            service = state.services[code >> BUCKET_CODE_SHIFT]
            slice_number = code_bucket(code) % _slice_count_of(service)
            slice_key = service.index, slice_number
            if slice_key not in holders:
                holders[slice_key] = choose_holders(service.name, slice_number, members)
            slice_holders = holders[slice_key]
            if slice_holders and peer in (slice_holders.owner, *slice_holders.replicas):
                ops += self._exception_ops(service, code)
        while True:
            batch, ops = ops[:MAX_BATCH_OPERATIONS], ops[MAX_BATCH_OPERATIONS:]
            reply = ExceptionReply(entries=encode_ops(batch), last=not ops)
            state.peers.send(peer, PeerMessage(exception_reply=reply))
            if not ops:
                return

    def apply_reply(self, peer: str, reply: ExceptionReply, now: float) -> bool:
        """Apply a reply; return whether a record in use changed."""
        changed = self.apply_exceptions(reply.entries, now)
        if reply.last:
            self._replied_peers.add(peer)
        return changed

    def apply_exceptions(
        self, entries: LogEntries, now: float, *, skip: int = 0
    ) -> bool:
        """Apply exception operations; return whether a record in use changed.

        Args:
            entries: Log entries or those of a reply.
            now: Monotonic time in seconds.
            skip: Number of exception operations that have already been applied.
        """
        changed = False
        for op in entries.exceptions[skip:]:
            if op.service_index >= len(entries.services) or len(op.key) != 12:
                continue
            name = entries.services[op.service_index]
            applied = self._exceptions.apply(
                name, op.key, op.server, now, removed=op.removed
            )
            if applied is not ApplyResult.UNCHANGED:
                self._queue_for_replicas(name, op.key)
            if applied is ApplyResult.CHANGED:
                changed = True
                self._withdraw(name, op.key, now)
        return changed

    def tick(self, now: float) -> None:
        """Send queued exceptions at a limited rate, and remove expired replicas."""
        self._request_exceptions(now)
        state = self._state
        deadline = now + REPLICA_RETENTION_S
        budget = max(1, int(state.cfg.bulk_rate_per_s * ROUTER_TICK_S))
        if state.leaving:
            budget *= LEAVING_RATE_FACTOR
            self._send_young_flows(budget)
        while self._resend_queue and budget > 0:
            code = next(iter(self._resend_queue))
            targets = self._resend_queue.pop(code)
            service = state.services[code >> BUCKET_CODE_SHIFT]
            for op in self._exception_ops(service, code):
                for peer in sorted(targets):
                    log = state.logs.get(peer)
                    if log is not None:
                        log.add_exception(op.service, op.key, op.server)
                        self._handed_on.add(op.key, peer, op.server, deadline)
                        budget -= 1
        self._resend_for_removed_owners(now)
        for code in [c for c, due_at in self._remove_at.items() if now >= due_at]:
            del self._remove_at[code]
            self._exceptions.drop_bucket(code, now)

    def _resend_for_removed_owners(self, now: float) -> None:
        """Send what a former owner may not have transferred before it failed."""
        members = self._state.view.members
        for code, (former, deadline) in list(self._former_owners.items()):
            if former not in members:
                service = self._state.services[code >> BUCKET_CODE_SHIFT]
                holders = service.slices.holders(code_bucket(code))
                if holders is not None and self._exceptions.buckets.has_exceptions(
                    code
                ):
                    self._resend_queue.setdefault(code, set()).add(holders.owner)
            elif now < deadline:
                continue
            del self._former_owners[code]

    def _resend_targets(self, old: Holders | None, new: Holders) -> set[str]:
        """Return the members to which this instance sends the exceptions of a slice."""
        own_id = self._state.instance_id
        former = {old.owner, *old.replicas} if old else set()
        if own_id == new.owner:
            return set(new.replicas) - former
        if old is not None and own_id == old.owner:
            return ({new.owner, *new.replicas} - former) | {new.owner}
        if old is None or old.owner not in self._state.view.members:
            # Only one replica is guaranteed to have an exception, and it may be any
            # of them, so every replica sends its exceptions to the new owner.
            return {new.owner}
        return set()

    def _queue_for_replicas(self, service_name: str, key: bytes) -> None:
        """Queue for the replicas an exception that a former owner has sent.

        If this instance should not hold the exception, its removal is scheduled.
        """
        state = self._state
        service = state.service(service_name)
        bucket = code_bucket(flow_hash(key))
        code = service.code(bucket)
        if code in self._remove_at:
            return
        holders = service.slices.holders(bucket)
        if holders is None:
            return
        if holders.owner == state.instance_id:
            if self._exceptions.buckets.has_exceptions(code):
                self._resend_queue.setdefault(code, set()).update(holders.replicas)
        elif state.instance_id not in holders.replicas:
            self._remove_at[code] = state.now() + REPLICA_RETENTION_S

    def _withdraw(self, service_name: str, key: bytes, now: float) -> None:
        """Remove an exception that changed here at the members that got it from here.

        The owner may not reach them yet, or its removal may have reached them before
        the exception did. The owner of the slice itself decides without this instance.
        """
        state = self._state
        service = state.service(service_name)
        key_hash = flow_hash(key)
        record = state.records.get(key, key_hash)
        is_exception = record is not None and record.flags & FlowFlag.EXCEPTION
        server = service.servers[record.server].name if is_exception else ""
        owner = service.slices.owner(code_bucket(key_hash))
        for peer, former in self._handed_on.take(key, server, now):
            log = state.logs.get(peer)
            if log is not None and peer != owner:
                log.add_exception(service_name, key, former, removed=True)
                log.flush(now, urgent=True)

    def _exception_ops(self, service: Service, code: int) -> list[LogOp]:
        return [
            LogOp(service.name, key=key, server=service.servers[record.server].name)
            for key, _, record in self._exceptions.in_bucket(code)
        ]

    def _send_young_flows(self, budget: int) -> None:
        """Send about ``budget`` recently placed flows to their new owners."""
        state = self._state
        oldest = (
            self._leaving_since - state.cfg.young_flow_age_s
        ) * QUARTERS_PER_SECOND
        last = min(ROWS, self._next_leaving_row + LEAVING_ROWS_PER_TICK)
        while self._next_leaving_row < last and budget > 0:
            for key, record in state.records.row(self._next_leaving_row):
                if record.flags & (FlowFlag.EXCEPTION | FlowFlag.CLOSED):
                    continue
                service = state.services[record.service]
                owner = service.slices.owner(code_bucket(flow_hash(key)))
                log = state.logs.get(owner) if owner else None
                if log is not None and record.opened_quarters >= oldest:
                    server = service.servers[record.server].name
                    log.add_exception(service.name, key, server)
                    budget -= 1
            self._next_leaving_row += 1

    def _joined_peers(self) -> list[str]:
        members: dict[str, Member] = self._state.view.members
        return [
            peer
            for peer, member in members.items()
            if peer != self._state.instance_id
            and member.state is not MemberState.JOINING
        ]

    def _request_exceptions(self, now: float) -> None:
        if self._join_deadline is None or now >= self._join_deadline:
            return
        for peer in self._joined_peers():
            if peer not in self._replied_peers and now >= self._next_request_at.get(
                peer, 0.0
            ):
                self._next_request_at[peer] = now + REQUEST_INTERVAL_S
                self._state.peers.send(
                    peer, PeerMessage(exception_request=ExceptionRequest())
                )


def _slice_count_of(service: Service) -> int:
    return slice_count(service.pool.servers if service.pool else ())
