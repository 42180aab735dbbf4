"""Evidence on servers that the instances of a zone share."""

from collections import deque
from collections.abc import Iterable

from xxhash import xxh32_intdigest

from magnoliaslip.gossip.digest import MAX_AGE_MS, Digest, ServerEvidence, age_ms
from magnoliaslip.steering.reachability import (
    EVIDENCE_MAX_AGE_S,
    SUSPICION_REPORT_S,
    UNREACHABLE_FLOWS,
    Reachability,
)
from magnoliaslip.steering.servers import ServerSet, TrackedServer

# Servers in a digest. Those with the newest evidence come first.
MAX_EVIDENCE_IN_DIGEST = 32
# Flows per server that are kept: enough to show that it is unreachable, whichever of
# them this instance observed itself.
MAX_FLOWS = 2 * UNREACHABLE_FLOWS
# An observation that is newer by less than this time in seconds is no news: its age
# leaves out the time that it took to arrive.
MIN_NEWS_S = 0.1
# Names of observations that are remembered, of one kind and record.
MAX_SEEN_OBSERVATIONS = 16

_NEVER = float("-inf")
_MASK_16_BITS = (1 << 16) - 1


def hash_16_bits(data: bytes) -> int:
    """Return a hash of 16 bits that names a flow or a host in digests."""
    return xxh32_intdigest(data) & _MASK_16_BITS


def observation_id(observer: int, moment: float) -> int:
    """Return the number that names an observation in digests.

    Args:
        observer: Hash of the host that made it.
        moment: Monotonic time of that host in seconds.
    """
    return observer << 16 | int(moment * 1000) & _MASK_16_BITS


class Observation:
    """Evidence or an answer: what it is named, and when it was made.

    The same observation arrives by many ways, each time a little younger, as its age
    leaves out the time in transit. The time of the first arrival is kept, also when
    another one was newer meanwhile: two would keep each other young otherwise.

    Attributes:
        id: Its name, see `observation_id`.
        at: Monotonic time in seconds.
    """

    __slots__ = ("_seen", "at", "id")

    def __init__(self) -> None:
        self.id = 0
        self.at = _NEVER
        self._seen: deque[int] = deque(maxlen=MAX_SEEN_OBSERVATIONS)

    def update(self, id: int, at: float) -> bool:
        """Replace it by a newer one; returns whether it was replaced."""
        if id in self._seen:
            return False
        self._seen.append(id)
        if at < self.at + MIN_NEWS_S:
            return False
        self.id, self.at = id, at
        return True


class EvidenceRecord:
    """Evidence of the instances of one zone on one server.

    Two records merge by taking the newest observation of each kind, so it does not
    matter how often, in which order and by how many hops they arrive.

    Attributes:
        evidence: The last evidence that the server is unreachable.
        answer: The last answer.
        flows: For each flow with unanswered data, the monotonic time in seconds of its
            last evidence, by its hash.
    """

    __slots__ = ("answer", "evidence", "flows")

    def __init__(self) -> None:
        self.evidence = Observation()
        self.answer = Observation()
        self.flows: dict[int, float] = {}

    def record_evidence(self, id: int, at: float, flows: Iterable[int]) -> bool:
        """Record evidence; returns whether others should learn of it at once.

        That is so when the server became suspect, or another flow is unanswered.
        """
        was_suspect, flow_count = self.suspect, len(self.flows)
        is_newer = self.evidence.update(id, at)
        for flow in flows:
            if is_newer or flow not in self.flows:
                self.flows[flow] = at
        self._remove_answered_flows()
        while len(self.flows) > MAX_FLOWS:
            del self.flows[min(self.flows, key=self.flows.__getitem__)]
        return self.suspect and (not was_suspect or len(self.flows) > flow_count)

    def record_answer(self, id: int, at: float) -> bool:
        """Record an answer; returns whether others should learn of it at once.

        That is so when it ended a suspicion.
        """
        was_suspect = self.suspect
        self.answer.update(id, at)
        self._remove_answered_flows()
        return was_suspect and not self.suspect

    @property
    def suspect(self) -> bool:
        """Whether no answer is newer than the evidence."""
        return self.evidence.at > self.answer.at

    def is_fresh(self, now: float) -> bool:
        """Check whether the evidence is still reported to other instances."""
        return now - self.evidence.at < SUSPICION_REPORT_S

    def fresh_flows(self, now: float) -> list[int]:
        """Return the hashes of the flows whose evidence counts for resets."""
        return [
            flow
            for flow, moment in self.flows.items()
            if now - moment < EVIDENCE_MAX_AGE_S
        ]

    def _remove_answered_flows(self) -> None:
        """Remove the flows whose data was retransmitted before the last answer."""
        answered_at = self.answer.at
        if answered_at != _NEVER:
            self.flows = {
                flow: moment
                for flow, moment in self.flows.items()
                if moment > answered_at
            }


class EvidenceTable:
    """Evidence on all suspect servers, own and received, and its use.

    Evidence of the own zone applies to this instance, as does that of a server's own
    zone, which shows that the server itself has failed. Evidence of a third zone does
    not: a partition may affect the paths from there only.

    Args:
        host: IP address of this instance.
        zone: Its availability zone.
        servers: Tracked servers; what other instances report is recorded on them.
    """

    __slots__ = ("_applied", "_observer", "_records", "_servers", "_zone", "_zones")

    def __init__(self, host: str, zone: str, servers: ServerSet) -> None:
        self._observer = hash_16_bits(host.encode())
        self._zone = zone
        self._servers = servers
        # By the tag of the server and whether the own zone observed it.
        self._records: dict[tuple[int, bool], EvidenceRecord] = {}
        # Servers on which evidence of others was recorded.
        self._applied: set[TrackedServer] = set()
        # Evidence of the whole zones that have suspect servers.
        self._zones: dict[str, Reachability] = {}

    def observe(self, now: float) -> None:
        """Add what this instance itself observed of suspect servers."""
        for tracked in {*self._servers.active(now), *self._recorded()}:
            reachability = tracked.reachability
            suspect = reachability.should_report(now)
            record = self._records.get((tracked.tag, True))
            if record is None:
                if not suspect:
                    continue
                record = self._records[tracked.tag, True] = EvidenceRecord()
            if suspect:
                moment = reachability.last_evidence_at
                flows = map(hash_16_bits, reachability.unresponsive(now))
                record.record_evidence(
                    observation_id(self._observer, moment), moment, flows
                )
            self._observe_answer(tracked, record)

    def merge(self, digest: Digest, now: float) -> bool:
        """Merge the evidence of a digest and apply it to the servers.

        Returns:
            Whether others should learn of the result at once.
        """
        news = False
        for item in digest.evidence:
            tracked = self._servers.find(item.tag)
            if tracked is None:
                continue
            observed_in = digest.zone if item.in_zone else tracked.server.zone
            if observed_in not in (self._zone, tracked.server.zone):
                continue
            in_own_zone = observed_in == self._zone
            record = self._records.setdefault((item.tag, in_own_zone), EvidenceRecord())
            evidence_at = now - item.evidence_ms / 1000
            news |= record.record_evidence(item.evidence_id, evidence_at, item.flows)
            if item.answer_ms < MAX_AGE_MS:
                answered_at = now - item.answer_ms / 1000
                news |= record.record_answer(item.answer_id, answered_at)
            if in_own_zone:
                # An answer that this instance got itself may be the newer one.
                news |= self._observe_answer(tracked, record)
            self._apply(tracked, now)
            self._applied.add(tracked)
        if digest.evidence:
            self._apply_to_zones()
        return news

    def apply(self, now: float) -> None:
        """Apply the evidence to the servers, and remove what is out of date."""
        for key, record in list(self._records.items()):
            if not record.is_fresh(now):
                del self._records[key]
        recorded = self._recorded()
        for tracked in self._applied | recorded:
            self._apply(tracked, now)
        self._applied = recorded
        self._apply_to_zones()

    def items(self, now: float, *, other_zone: bool) -> tuple[ServerEvidence, ...]:
        """Return the evidence for a digest.

        Args:
            now: Monotonic time in seconds.
            other_zone: Only what applies to an instance of another zone.
        """
        items = []
        for (tag, in_own_zone), record in self._records.items():
            if not record.is_fresh(now):
                continue
            tracked = self._servers.find(tag)
            if other_zone and (
                tracked is None or (in_own_zone and tracked.server.zone != self._zone)
            ):
                continue
            items.append((record.evidence.at, tag, in_own_zone, record))
        items.sort(key=lambda item: item[0], reverse=True)
        return tuple(
            ServerEvidence(
                tag,
                in_own_zone,
                record.evidence.id,
                age_ms(record.evidence.at, now),
                record.answer.id,
                age_ms(record.answer.at, now),
                tuple(record.fresh_flows(now)),
            )
            for _, tag, in_own_zone, record in items[:MAX_EVIDENCE_IN_DIGEST]
        )

    def _recorded(self) -> set[TrackedServer]:
        """Return the servers that there is evidence on."""
        found = {self._servers.find(tag) for tag, _ in self._records}
        return {tracked for tracked in found if tracked is not None}

    def _observe_answer(self, tracked: TrackedServer, record: EvidenceRecord) -> bool:
        moment = tracked.reachability.last_answer_at
        if moment == _NEVER:
            return False
        return record.record_answer(observation_id(self._observer, moment), moment)

    def _apply(self, tracked: TrackedServer, now: float) -> None:
        """Set what the evidence of others says of one server."""
        own = {hash_16_bits(flow) for flow in tracked.reachability.unresponsive(now)}
        suspected = False
        flows: set[int] = set()
        for in_own_zone in (True, False):
            record = self._records.get((tracked.tag, in_own_zone))
            if record is None:
                continue
            if in_own_zone:
                tracked.reachability.record_peer_answer(record.answer.at)
            if record.suspect and record.is_fresh(now):
                flows.update(record.fresh_flows(now))
                # What this instance observed itself must not keep it from probing.
                suspected |= record.evidence.id >> 16 != self._observer
        tracked.suspected_by_peers = suspected
        tracked.reachability.peer_unresponsive_flows = len(flows - own)

    def _apply_to_zones(self) -> None:
        """Set the unanswered flows of others on the evidence of whole zones."""
        for zone_reachability in self._zones.values():
            zone_reachability.peer_unresponsive_flows = 0
        self._zones.clear()
        for tag in {tag for tag, _ in self._records}:
            tracked = self._servers.find(tag)
            if tracked is not None:
                zone_reachability = tracked.zone_reachability
                self._zones[tracked.server.zone] = zone_reachability
                zone_reachability.peer_unresponsive_flows += (
                    tracked.reachability.peer_unresponsive_flows
                )
