"""Buckets with exceptions on this instance, advertised to all members as dirty."""

from collections.abc import Iterable

from magnoliaslip.placement.replication import LogOp, PeerLog
from magnoliaslip.placement.service import BUCKET_CODE_SHIFT, code_bucket
from magnoliaslip.placement.state import PlacementState

# A bucket is reported clean only this long after its last exception. Otherwise a
# busy bucket would cause a log operation for every flow.
CLEAN_DELAY_S = 10.0


class DirtyBuckets:
    """Counts the exceptions of each bucket, and advertises dirty buckets.

    Other members do not forward the packets of a dirty bucket directly to the default.
    Methods identify a bucket by its code, see `Service`.

    Replicas also advertise the buckets of the exceptions that they hold, so a bucket
    stays dirty for direct forwarders when its owner fails.

    Args:
        state: State of the router.
    """

    __slots__ = (
        "_advertised",
        "_clean_at",
        "_exception_counts",
        "_pending_waits",
        "_state",
    )

    def __init__(self, state: PlacementState) -> None:
        self._state = state
        self._exception_counts: dict[int, int] = {}
        self._advertised: set[int] = set()
        self._clean_at: dict[int, float] = {}
        # For each dirty bucket, the members that may still hold a certificate of it:
        # their log, the bucket operation and the end of the lease.
        self._pending_waits: dict[
            int, list[tuple[PeerLog | None, LogOp | None, float]]
        ] = {}

    @property
    def codes(self) -> Iterable[int]:
        """Codes of the buckets that have exceptions on this instance."""
        return self._exception_counts

    @property
    def count(self) -> int:
        """Number of exceptions on this instance."""
        return sum(self._exception_counts.values())

    def has_exceptions(self, code: int) -> bool:
        """Check whether this instance holds an exception of the bucket."""
        return code in self._exception_counts

    def is_dirty(self, code: int) -> bool:
        """Check whether this instance advertises the bucket as dirty."""
        return code in self._advertised

    def advertise_all(self, log: PeerLog) -> None:
        """Append every dirty bucket to a log that starts from the beginning."""
        for code in self._advertised:
            service = self._state.services[code >> BUCKET_CODE_SHIFT]
            log.add_bucket(service.name, code_bucket(code), True)

    def tick(self, now: float) -> None:
        """Advertise buckets as clean `CLEAN_DELAY_S` after the last exception."""
        while self._clean_at:
            code, moment = next(iter(self._clean_at.items()))
            if now < moment:
                break
            del self._clean_at[code]
            self._advertised.discard(code)
            self._advertise(code, False)
        for code in [
            c for c, waits in self._pending_waits.items() if _all_released(waits, now)
        ]:
            del self._pending_waits[code]

    def add(self, code: int, now: float) -> None:
        """Count a further exception of a bucket, and advertise its first one."""
        self._exception_counts[code] = self._exception_counts.get(code, 0) + 1
        self._clean_at.pop(code, None)
        if code in self._advertised:
            return
        self._advertised.add(code)
        self._state.direct_generation += 1
        granted_until = self._state.certificates.granted_until
        ops = self._advertise(code, True)
        waits = [
            (*ops.get(peer, (None, None)), lease_end)
            for peer, lease_end in granted_until.items()
            if lease_end > now
        ]
        if waits and self._state.policy == "exceptions":
            self._pending_waits[code] = waits

    def remove(self, code: int, now: float) -> None:
        """Count an exception of a bucket no more; see `tick`."""
        count = self._exception_counts.get(code, 0) - 1
        if count > 0:
            self._exception_counts[code] = count
            return
        self._exception_counts.pop(code, None)
        self._clean_at.pop(code, None)
        self._clean_at[code] = now + CLEAN_DELAY_S

    def unreleased_waits(
        self, code: int, now: float
    ) -> list[tuple[PeerLog | None, LogOp | None, float]]:
        """Return the members that may still hold a certificate of a dirty bucket."""
        waits = self._pending_waits.get(code)
        if waits is None:
            return []
        if _all_released(waits, now):
            del self._pending_waits[code]
            return []
        return waits

    def _advertise(self, code: int, dirty: bool) -> dict[str, tuple[PeerLog, LogOp]]:
        if self._state.policy != "exceptions":
            return {}
        name = self._state.services[code >> BUCKET_CODE_SHIFT].name
        bucket = code_bucket(code)
        return {
            peer: (log, log.add_bucket(name, bucket, dirty))
            for peer, log in self._state.logs.items()
        }


def _all_released(
    waits: list[tuple[PeerLog | None, LogOp | None, float]], now: float
) -> bool:
    return all(
        now >= lease_end or (log is not None and op is not None and log.is_acked(op))
        for log, op, lease_end in waits
    )
