"""Exceptions that this instance holds as owner or replica."""

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from magnoliaslip.placement.conflicting_placements import ConflictingPlacements
from magnoliaslip.placement.dirty_buckets import DirtyBuckets
from magnoliaslip.placement.half_open import Barrier
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.records import (
    QUARTERS_PER_SECOND,
    ROW_MASK,
    FlowFlag,
    FlowRecord,
)
from magnoliaslip.placement.replication import LogOp, PeerLog
from magnoliaslip.placement.service import BUCKET_CODE_SHIFT, Service, code_bucket
from magnoliaslip.placement.state import PlacementState

# Limit on exceptions whose server is not in the local configuration yet.
MAX_UNRESOLVED = 4_096
# A revocation is not sent again within this time.
REVOCATION_HOLDOFF_S = 0.25
MAX_TRACKED_REVOCATIONS = 1_024


class ApplyResult(Enum):
    """Result of applying an exception operation from another instance."""

    UNCHANGED = 0
    ADDED = 1
    CHANGED = 2  # replaced or removed a record that forwarding may have used


class _Unresolved(NamedTuple):
    service: str
    server: str


class ExceptionStore:
    """Adds and removes exceptions, here and at other members.

    An exception is a recorded flow that some member would send to another server by
    default. A bucket with exceptions is dirty, see `DirtyBuckets`.

    Args:
        state: State of the router.

    Attributes:
        buckets: The buckets that have exceptions on this instance.
        conflicts: Servers from conflicting placements, where two owners placed a flow.
    """

    __slots__ = (
        "_revoked_at",
        "_state",
        "_unresolved",
        "buckets",
        "conflicts",
    )

    def __init__(self, state: PlacementState) -> None:
        self._state = state
        self._unresolved: dict[bytes, _Unresolved] = {}
        self._revoked_at: OrderedDict[bytes, float] = OrderedDict()
        self.buckets = DirtyBuckets(state)
        self.conflicts = ConflictingPlacements()

    def in_bucket(self, code: int) -> list[tuple[bytes, int, FlowRecord]]:
        """Return key, hash and record of each exception in a bucket."""
        index, bucket = code >> BUCKET_CODE_SHIFT, code_bucket(code)
        exceptions = []
        for key, record in self._state.records.row(bucket & ROW_MASK):
            if record.flags & FlowFlag.EXCEPTION and record.service == index:
                key_hash = flow_hash(key)
                if code_bucket(key_hash) == bucket:
                    exceptions.append((key, key_hash, record))
        return exceptions

    def add(
        self,
        key: bytes,
        key_hash: int,
        service: Service,
        now: float,
        *,
        replaces: bool = False,
    ) -> Barrier | None:
        """Turn a recorded flow into an exception and send it to the replicas.

        Args:
            key: Flow key.
            key_hash: Its hash.
            service: The service.
            now: Monotonic time in seconds.
            replaces: Replicas hold the exception with another server; all of them
                must acknowledge the new one.

        Returns:
            The acknowledgements that a SYN of the flow must wait for, or None.
        """
        state = self._state
        record = state.records.get(key, key_hash)
        if record is None:
            return None
        bucket = code_bucket(key_hash)
        code = service.code(bucket)
        if not record.flags & FlowFlag.EXCEPTION:
            flags = record.flags | FlowFlag.EXCEPTION
            state.records.put(key, key_hash, record._replace(flags=flags))
            self.buckets.add(code, now)
        dirty = list(self.buckets.unreleased_waits(code, now))
        server = service.servers[record.server].name
        replicas = []
        for peer in self.replicas(service, bucket):
            log = state.logs.get(peer)
            if log is not None:
                replicas.append((log, log.add_exception(service.name, key, server)))
        if replaces:
            lease_end = now + state.cfg.lease_term_s
            dirty += [(log, op, lease_end) for log, op in replicas]
        for log, *_ in (*dirty, *replicas):
            if log is not None:
                log.flush(now, urgent=True)
        return Barrier(dirty, replicas, now) if dirty or replicas else None

    def remove(
        self, key: bytes, key_hash: int, service: Service, now: float
    ) -> Barrier | None:
        """Remove an exception here and at the replicas, but keep the record.

        Returns:
            The acknowledgements that a SYN of the flow must wait for, so that no
            replica still uses the exception, or None.
        """
        state = self._state
        record = state.records.get(key, key_hash)
        if record is None or not record.flags & FlowFlag.EXCEPTION:
            return None
        flags = record.flags & ~FlowFlag.EXCEPTION
        state.records.put(key, key_hash, record._replace(flags=flags))
        bucket = code_bucket(key_hash)
        self.buckets.remove(service.code(bucket), now)
        waits: list[tuple[PeerLog | None, LogOp | None, float]] = []
        if state.owns(service, bucket):
            lease_end = now + state.cfg.lease_term_s
            # Joining members may have received the exception in a reply to their
            # first request.
            joining = [m.id for m in state.view.members.values() if not m.state]
            for peer in dict.fromkeys((*self.replicas(service, bucket), *joining)):
                log = state.logs.get(peer)
                if log is not None:
                    op = log.add_exception(service.name, key, "")
                    waits.append((log, op, lease_end))
        return Barrier(waits, [], now) if waits else None

    def remove_record(
        self, key: bytes, key_hash: int, service: Service, now: float
    ) -> None:
        """Remove the record of a flow; as its owner also the exception at replicas."""
        self.remove(key, key_hash, service, now)
        self._state.records.remove(key, key_hash)

    def remove_replica(
        self, key: bytes, key_hash: int, service: Service, now: float
    ) -> None:
        """Remove the record of a flow on this instance only."""
        record = self._state.records.remove(key, key_hash)
        if record is not None and record.flags & FlowFlag.EXCEPTION:
            self.buckets.remove(service.code(code_bucket(key_hash)), now)

    def revoke(self, service: Service, key: bytes, server: str, now: float) -> None:
        """Remove the exception of another owner's placement that is not in use.

        Members that are no longer replicas may hold it, so all members are notified.
        The hold-off stops two members that both consider themselves the owner from
        sending the revocation back and forth.
        """
        sent = self._revoked_at.get(key)
        if sent is not None and now - sent < REVOCATION_HOLDOFF_S:
            return
        self._revoked_at[key] = now
        if len(self._revoked_at) > MAX_TRACKED_REVOCATIONS:
            self._revoked_at.popitem(last=False)
        for log in self._state.logs.values():
            log.add_exception(service.name, key, server, removed=True)
            log.flush(now, urgent=True)

    def send_to_owner(
        self, key: bytes, key_hash: int, service: Service, now: float
    ) -> None:
        """Send an exception to the owner of its slice, which lacks it."""
        owner = service.slices.owner(code_bucket(key_hash))
        log = self._state.logs.get(owner) if owner else None
        record = self._state.records.get(key, key_hash)
        if log is not None and record is not None:
            log.add_exception(service.name, key, service.servers[record.server].name)
            log.flush(now, urgent=True)

    def replicas(self, service: Service, bucket: int) -> Iterable[str]:
        """Return the other members that hold the exceptions of a bucket."""
        state = self._state
        if state.policy == "replicated":
            return state.peers_in_view()
        holders = service.slices.holders(bucket)
        if holders is None:
            return ()
        return [
            member
            for member in (*holders.replicas, holders.owner)
            if member != state.instance_id
        ]

    def apply(
        self,
        service_name: str,
        key: bytes,
        server: str,
        now: float,
        *,
        removed: bool = False,
    ) -> ApplyResult:
        """Apply an exception operation from another instance.

        Args:
            service_name: Name of the service.
            key: Flow key.
            server: Name of the server; empty to remove the exception.
            now: Monotonic time in seconds.
            removed: Remove the exception if it names this server.

        Returns:
            Whether an exception was added, or a record that forwarding may have used
            was replaced or removed.
        """
        state = self._state
        service = state.service(service_name)
        key_hash = flow_hash(key)
        bucket = code_bucket(key_hash)
        record = state.records.get(key, key_hash)
        is_owner = state.owns(service, bucket)
        was_exception = record is not None and bool(record.flags & FlowFlag.EXCEPTION)
        names_other_server = (
            record is not None and service.servers[record.server].name != server
        )
        is_half_open = state.half_open.get(key) is not None
        if removed and is_owner:
            is_confirmed = (
                was_exception
                and not names_other_server
                and record is not None
                and record.isn
            )
            # Members that are not replicas of the sender may hold it as well.
            is_unused = not is_confirmed and not is_half_open
            if names_other_server or is_unused:
                self.revoke(service, key, server, now)
        if removed and (names_other_server or (is_owner and is_half_open)):
            # In the second case a half-open flow here already uses this replica.
            return ApplyResult.UNCHANGED
        if not server or removed:
            if self._unresolved.pop(key, None) is not None:
                self.buckets.remove(service.code(bucket), now)
            # An owner's own records take precedence. The former owner of the slice
            # may still revoke a connection attempt that no server has answered.
            if (
                record is None
                or not was_exception
                or (is_owner and (not removed or record.isn))
            ):
                return ApplyResult.UNCHANGED
            self._remove_after_queued_adds(key, record, service)
            state.half_open.remove(key)
            self.remove_record(key, key_hash, service, now)
            return ApplyResult.CHANGED
        number = service.servers.find(server)
        if number is None:
            if len(self._unresolved) < MAX_UNRESOLVED:
                if key not in self._unresolved:
                    self.buckets.add(service.code(bucket), now)
                self._unresolved[key] = _Unresolved(service_name, server)
            if was_exception and not is_owner:
                # The replica names a former server; the owner has the new one.
                self.remove_replica(key, key_hash, service, now)
                return ApplyResult.CHANGED
            return ApplyResult.UNCHANGED
        if self._unresolved.pop(key, None) is not None:
            self.buckets.remove(service.code(bucket), now)
        if record is not None and is_owner and self._takes_precedence(key, record):
            if names_other_server:
                # Owners on both sides of a partition placed the flow. This owner
                # decides now, so replicas of the other placement must not be used.
                self.revoke(service, key, server, now)
                self.conflicts.add(key, number, now)
            return ApplyResult.UNCHANGED
        if (
            record is not None
            and not is_owner
            and names_other_server
            and _was_accepted(record)
        ):
            # The sender was on the other side of a partition when this instance
            # forwarded the SYN-ACK. The owner decides, and keeps its own record only
            # if that record takes precedence.
            self.send_to_owner(key, key_hash, service, now)
            return ApplyResult.UNCHANGED
        if record is not None and is_owner and names_other_server:
            # The former server may have accepted a SYN of the flow as well.
            self.conflicts.add(key, record.server, now, was_used=True)
        half_open = state.half_open.get(key)
        if half_open is not None and names_other_server:
            # This instance placed the flow as well, during a partition. Its own
            # server may have received the SYN, and the next SYN must not go there.
            if half_open.sent:
                self.send_to_owner(key, key_hash, service, now)
            state.half_open.remove(key)
        is_plain = (
            is_owner and not was_exception and service.epochs.is_default(bucket, number)
        )
        flags = FlowFlag.ESTABLISHED | (0 if is_plain else FlowFlag.EXCEPTION)
        opened_quarters = (
            record.opened_quarters if record else int(now * QUARTERS_PER_SECOND)
        )
        state.records.put(
            key, key_hash, FlowRecord(service.index, number, flags, opened_quarters)
        )
        if not is_plain and not was_exception:
            self.buckets.add(service.code(bucket), now)
        if record is not None and record.server != number:
            return ApplyResult.CHANGED
        return ApplyResult.UNCHANGED if was_exception or is_plain else ApplyResult.ADDED

    def resolve(self, now: float) -> None:
        """Apply exceptions whose servers a new configuration has added."""
        for key, (service_name, server) in list(self._unresolved.items()):
            service = self._state.service(service_name)
            if service.servers.find(server) is not None:
                self.apply(service_name, key, server, now)

    def drop_bucket(self, code: int, now: float) -> None:
        """Remove a bucket's exceptions here; other members hold or resend them."""
        service = self._state.services[code >> BUCKET_CODE_SHIFT]
        for key, key_hash, _ in self.in_bucket(code):
            self.remove_replica(key, key_hash, service, now)

    def _remove_after_queued_adds(
        self, key: bytes, record: FlowRecord, service: Service
    ) -> None:
        """Remove an exception at the peers that will still receive it from here.

        After a partition they receive the log of this instance late, possibly after
        the removal that the owner has sent them.
        """
        server = service.servers[record.server].name
        for log in self._state.logs.values():
            if log.has_unacked_exception(key):
                log.add_exception(service.name, key, server, removed=True)

    def _takes_precedence(self, key: bytes, record: FlowRecord) -> bool:
        """Check whether an owner's record takes precedence over a received one.

        True if this instance has handled the SYN or SYN-ACK of the flow. Other records
        came from members that may change them, even while views or zones differ. No
        packet may be sent to a server whose zone is out.
        """
        state = self._state
        service = state.services[record.service]
        if service.servers[record.server].zone in state.snapshot.zones_out:
            return False
        return bool(record.isn) or state.half_open.get(key) is not None


def _was_accepted(record: FlowRecord) -> bool:
    """Check whether the SYN-ACK of a flow that is not closed passed through here."""
    return bool(record.isn) and not record.flags & FlowFlag.CLOSED
