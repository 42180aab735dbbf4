"""Exceptions held by this instance, as owner or replica, and its dirty buckets."""

from collections import OrderedDict
from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

from magnoliaslip.placement.conflicting_placements import ConflictingPlacements
from magnoliaslip.placement.half_open import Barrier
from magnoliaslip.placement.hashing import flow_hash
from magnoliaslip.placement.records import (
    ROW_MASK,
    TICKS_PER_SECOND,
    FlowFlag,
    FlowRecord,
)
from magnoliaslip.placement.replication import LogOp, PeerLog
from magnoliaslip.placement.service import CODE_SHIFT, Service, code_bucket
from magnoliaslip.placement.state import PlacementState

# A bucket stays dirty this long after its last exception, so that a busy bucket
# does not cause an operation for every flow.
CLEAN_SECONDS = 10.0
# Exceptions for servers that are not in the configuration here yet.
MAX_UNRESOLVED = 4_096
TAKE_BACK_SECONDS = 10.0
MAX_TAKEN_BACK = 1_024


class Applied(Enum):
    """What an exception from another instance changed."""

    NOTHING = 0
    ADDED = 1
    CHANGED = 2  # a record that forwarding may have used


class _Unresolved(NamedTuple):
    service: str
    server: str


class ExceptionKeeper:
    """Adds and removes exceptions and announces dirty buckets to all members.

    Replicas announce the buckets of the exceptions that they hold as well. A bucket
    therefore stays dirty for direct forwarders when its owner dies.

    Args:
        state: State of the router.

    Attributes:
        conflicts: Other servers of flows that two owners placed.
    """

    __slots__ = (
        "_announced",
        "_cleaning",
        "_counts",
        "_pending",
        "_state",
        "_taken_back",
        "_unresolved",
        "conflicts",
    )

    def __init__(self, state: PlacementState) -> None:
        self._state = state
        self._counts: dict[int, int] = {}
        self._announced: set[int] = set()
        self._cleaning: dict[int, float] = {}
        self._pending: dict[int, list[tuple[PeerLog | None, LogOp | None, float]]] = {}
        self._unresolved: dict[bytes, _Unresolved] = {}
        self._taken_back: OrderedDict[bytes, float] = OrderedDict()
        self.conflicts = ConflictingPlacements()

    @property
    def codes(self) -> Iterable[int]:
        """Codes of the buckets with exceptions held here."""
        return self._counts

    @property
    def count(self) -> int:
        """Exceptions held here."""
        return sum(self._counts.values())

    def holds(self, code: int) -> bool:
        """Return whether an exception of the bucket is held here."""
        return code in self._counts

    def is_dirty(self, code: int) -> bool:
        """Return whether this instance says that the bucket holds an exception."""
        return code in self._announced

    def in_bucket(self, code: int) -> list[tuple[bytes, int, FlowRecord]]:
        """Return key, hash and record of the exceptions of a bucket."""
        index, bucket = code >> CODE_SHIFT, code_bucket(code)
        found = []
        for key, record in self._state.records.row(bucket & ROW_MASK):
            if record.flags & FlowFlag.EXCEPTION and record.service == index:
                key_hash = flow_hash(key)
                if code_bucket(key_hash) == bucket:
                    found.append((key, key_hash, record))
        return found

    def add(
        self,
        key: bytes,
        key_hash: int,
        service: Service,
        now: float,
        *,
        replaces: bool = False,
    ) -> Barrier | None:
        """Make a recorded flow an exception and send it to the replicas.

        Args:
            key: Flow key.
            key_hash: Its hash.
            service: The service.
            now: Monotonic time in seconds.
            replaces: Replicas have copies that name another server; all of them
                must have the new one.

        Returns:
            What an opening packet of the flow has to wait for; None for nothing.
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
            self._mark(code, now)
        dirty = list(self._waits(code, now))
        server = service.servers[record.server].name
        replicas = []
        for peer in self.replicas(service, bucket):
            log = state.logs.get(peer)
            if log is not None:
                replicas.append((log, log.add_exception(service.name, key, server)))
        if replaces:
            lease_end = now + state.cfg.lease_term
            dirty += [(log, op, lease_end) for log, op in replicas]
        for log, *_ in (*dirty, *replicas):
            if log is not None:
                log.flush(now, urgent=True)
        return Barrier(dirty, replicas, now) if dirty or replicas else None

    def remove(
        self, key: bytes, key_hash: int, service: Service, now: float
    ) -> Barrier | None:
        """Remove an exception here and at the replicas; the record stays.

        Returns:
            What an opening packet of the flow has to wait for, so that no replica
            uses its copy; None for nothing.
        """
        state = self._state
        record = state.records.get(key, key_hash)
        if record is None or not record.flags & FlowFlag.EXCEPTION:
            return None
        flags = record.flags & ~FlowFlag.EXCEPTION
        state.records.put(key, key_hash, record._replace(flags=flags))
        bucket = code_bucket(key_hash)
        self._unmark(service.code(bucket), now)
        waits: list[tuple[PeerLog | None, LogOp | None, float]] = []
        if state.owns(service, bucket):
            lease_end = now + state.cfg.lease_term
            # Joining members may have got the exception with their first copy.
            joining = [m.id for m in state.view.members.values() if not m.state]
            for peer in dict.fromkeys((*self.replicas(service, bucket), *joining)):
                log = state.logs.get(peer)
                if log is not None:
                    op = log.add_exception(service.name, key, "")
                    waits.append((log, op, lease_end))
        return Barrier(waits, [], now) if waits else None

    def forget_record(
        self, key: bytes, key_hash: int, service: Service, now: float
    ) -> None:
        """Remove the record of a flow, and its exception everywhere."""
        self.remove(key, key_hash, service, now)
        self._state.records.remove(key, key_hash)

    def forget_copy(
        self, key: bytes, key_hash: int, service: Service, now: float
    ) -> None:
        """Remove the record of a flow here, and leave the copies of others."""
        record = self._state.records.remove(key, key_hash)
        if record is not None and record.flags & FlowFlag.EXCEPTION:
            self._unmark(service.code(code_bucket(key_hash)), now)

    def tell_owner(
        self, key: bytes, key_hash: int, service: Service, now: float
    ) -> None:
        """Send an exception to the owner of its slice, which did not know it."""
        owner = service.slices.owner(code_bucket(key_hash))
        log = self._state.logs.get(owner) if owner else None
        record = self._state.records.get(key, key_hash)
        if log is not None and record is not None:
            log.add_exception(service.name, key, service.servers[record.server].name)
            log.flush(now, urgent=True)

    def replicas(self, service: Service, bucket: int) -> Iterable[str]:
        """Return the members that hold copies besides this instance."""
        state = self._state
        if state.policy == "replicated":
            return state.peers_in_view()
        holders = service.slices.holders(bucket)
        if holders is None:
            return ()
        return [
            each
            for each in (*holders.replicas, holders.owner)
            if each != state.instance_id
        ]

    def apply(
        self,
        service_name: str,
        key: bytes,
        server: str,
        now: float,
        *,
        removed: bool = False,
    ) -> Applied:
        """Apply an exception that another instance sent.

        Args:
            service_name: Name of the service.
            key: Flow key.
            server: Name of the server; empty to remove the exception.
            now: Monotonic time in seconds.
            removed: Remove the exception if it names this server.
        """
        state = self._state
        service = state.service(service_name)
        key_hash = flow_hash(key)
        bucket = code_bucket(key_hash)
        record = state.records.get(key, key_hash)
        owner = state.owns(service, bucket)
        had = record is not None and bool(record.flags & FlowFlag.EXCEPTION)
        other = record is not None and service.servers[record.server].name != server
        if removed and owner:
            used = had and not other and record is not None and record.isn
            if not used and state.half_open.get(key) is None:
                self._take_back(service, key, server, now)
        if removed and (other or state.half_open.get(key) is not None):
            # The second case: the flow was opened by this copy meanwhile.
            return Applied.NOTHING
        if not server or removed:
            if self._unresolved.pop(key, None) is not None:
                self._unmark(service.code(bucket), now)
            # An owner follows its own records, but lets the former owner of the slice
            # take back an open that no server has answered.
            if record is None or not had or (owner and (not removed or record.isn)):
                return Applied.NOTHING
            self.forget_record(key, key_hash, service, now)
            return Applied.CHANGED
        number = service.servers.find(server)
        if number is None:
            if len(self._unresolved) < MAX_UNRESOLVED:
                if key not in self._unresolved:
                    self._mark(service.code(bucket), now)
                self._unresolved[key] = _Unresolved(service_name, server)
            if had and not owner:
                # The copy names a former server; the owner knows the new one.
                self.forget_copy(key, key_hash, service, now)
                return Applied.CHANGED
            return Applied.NOTHING
        if self._unresolved.pop(key, None) is not None:
            self._unmark(service.code(bucket), now)
        if record is not None and owner and self._is_firm(key, record):
            if other:
                # Owners on two sides of a partition placed the flow; one of them
                # decides now, and the copies of the other's choice must not be used.
                self._take_back(service, key, server, now)
                self.conflicts.add(key, number, now)
            return Applied.NOTHING
        if record is not None and not owner and other and _was_accepted(record):
            # The sender was on the other side of a partition when the SYN-ACK passed
            # here. The owner decides: it keeps its own record only if it is firm.
            self.tell_owner(key, key_hash, service, now)
            return Applied.NOTHING
        plain = owner and not had and service.epochs.is_default(bucket, number)
        flags = FlowFlag.ESTABLISHED | (0 if plain else FlowFlag.EXCEPTION)
        opened = record.opened if record else int(now * TICKS_PER_SECOND)
        state.records.put(
            key, key_hash, FlowRecord(service.index, number, flags, opened)
        )
        if not plain and not had:
            self._mark(service.code(bucket), now)
        if record is not None and record.server != number:
            return Applied.CHANGED
        return Applied.NOTHING if had or plain else Applied.ADDED

    def resolve(self, now: float) -> None:
        """Apply exceptions whose servers became known with a new configuration."""
        for key, (service_name, server) in list(self._unresolved.items()):
            service = self._state.service(service_name)
            if service.servers.find(server) is not None:
                self.apply(service_name, key, server, now)

    def drop_bucket(self, code: int, now: float) -> None:
        """Drop the exceptions of a bucket that belongs to other members."""
        service = self._state.services[code >> CODE_SHIFT]
        for key, key_hash, _ in self.in_bucket(code):
            self.forget_copy(key, key_hash, service, now)

    def announce_all(self, log: PeerLog) -> None:
        """Put every dirty bucket into a log that starts anew."""
        for code in self._announced:
            service = self._state.services[code >> CODE_SHIFT]
            log.add_bucket(service.name, code_bucket(code), True)

    def tick(self, now: float) -> None:
        """Announce buckets as clean some time after their last exception."""
        while self._cleaning:
            code, moment = next(iter(self._cleaning.items()))
            if now < moment:
                break
            del self._cleaning[code]
            self._announced.discard(code)
            self._announce(code, False)
        for code in [c for c, waits in self._pending.items() if _is_over(waits, now)]:
            del self._pending[code]

    def _take_back(self, service: Service, key: bytes, server: str, now: float) -> None:
        """Remove the copies of an open that the former owner of its slice gave up.

        They may be at members that are no replicas now. Two members that both take
        themselves for the owner send this on once only.
        """
        sent = self._taken_back.get(key)
        if sent is not None and now - sent < TAKE_BACK_SECONDS:
            return
        self._taken_back[key] = now
        if len(self._taken_back) > MAX_TAKEN_BACK:
            self._taken_back.popitem(last=False)
        for log in self._state.logs.values():
            log.add_exception(service.name, key, server, removed=True)

    def _is_firm(self, key: bytes, record: FlowRecord) -> bool:
        """Return whether an owner's own record outweighs one that it is sent.

        True for a flow whose SYN or SYN-ACK passed here. Other records came from
        members that may change them, also while views or zones differ.
        """
        return bool(record.isn) or self._state.half_open.get(key) is not None

    def _mark(self, code: int, now: float) -> None:
        self._counts[code] = self._counts.get(code, 0) + 1
        self._cleaning.pop(code, None)
        if code in self._announced:
            return
        self._announced.add(code)
        self._state.epoch += 1
        granted = self._state.certificates.granted
        ops = self._announce(code, True)
        waits = [
            (*ops.get(peer, (None, None)), lease_end)
            for peer, lease_end in granted.items()
            if lease_end > now
        ]
        if waits and self._state.policy == "exceptions":
            self._pending[code] = waits

    def _unmark(self, code: int, now: float) -> None:
        count = self._counts.get(code, 0) - 1
        if count > 0:
            self._counts[code] = count
            return
        self._counts.pop(code, None)
        self._cleaning.pop(code, None)
        self._cleaning[code] = now + CLEAN_SECONDS

    def _announce(self, code: int, dirty: bool) -> dict[str, tuple[PeerLog, LogOp]]:
        if self._state.policy != "exceptions":
            return {}
        name = self._state.services[code >> CODE_SHIFT].name
        bucket = code_bucket(code)
        return {
            peer: (log, log.add_bucket(name, bucket, dirty))
            for peer, log in self._state.logs.items()
        }

    def _waits(
        self, code: int, now: float
    ) -> list[tuple[PeerLog | None, LogOp | None, float]]:
        waits = self._pending.get(code)
        if waits is None:
            return []
        if _is_over(waits, now):
            del self._pending[code]
            return []
        return waits


def _is_over(
    waits: list[tuple[PeerLog | None, LogOp | None, float]], now: float
) -> bool:
    return all(
        now >= lease_end or (log is not None and op is not None and log.is_acked(op))
        for log, op, lease_end in waits
    )


def _was_accepted(record: FlowRecord) -> bool:
    """Return whether the SYN-ACK of a flow that goes on passed here."""
    return bool(record.isn) and not record.flags & FlowFlag.ENDED
