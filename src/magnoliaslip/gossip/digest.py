"""The datagram that instances exchange."""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from magnoliaslip.core.errors import PeerError
from magnoliaslip.registry.model import StorePosition

MAX_DIGEST_BYTES = 1400  # fits into one datagram on all common paths
DIGEST_FORMAT = 3
# Reports of zones are passed on, so their size is checked.
MAX_REPORT_ITEMS = 16
MAX_ZONE_NAME = 100  # characters, as in the settings
MAX_AGE_MS = 60_000  # limit of all ages: the maximum lifetime of a flow


class ServerLoad(Struct, array_like=True, frozen=True):
    """Requests of one instance to one backend server.

    Attributes:
        tag: Tag of the server.
        load: Load that the instance forwards to it, in tenths of a request per second.
        answer_ms: Milliseconds since a flow of the instance last received an answer
            from it, at most `MAX_AGE_MS`.
    """

    tag: int
    load: int = 0
    answer_ms: int = MAX_AGE_MS


class ServerEvidence(Struct, array_like=True, frozen=True):
    """Evidence of the instances of one zone that a server is unreachable.

    Attributes:
        tag: Tag of the server.
        in_zone: Whether it was observed in the zone of the sender; otherwise in the
            zone of the server.
        evidence_id: Names the last evidence, see `evidence_table.observation_id`.
        evidence_ms: Milliseconds since the last evidence.
        answer_id: Names the last answer to an instance of that zone.
        answer_ms: Milliseconds since then; `MAX_AGE_MS` if there was none.
        flows: Hashes of flows with unanswered data; empty if the evidence is not fresh.
    """

    tag: int
    in_zone: bool
    evidence_id: int
    evidence_ms: int
    answer_id: int = 0
    answer_ms: int = MAX_AGE_MS
    flows: tuple[int, ...] = ()


class MemberEntry(Struct, array_like=True, frozen=True):
    """What the sender knows of one instance of its zone.

    Attributes:
        host: Its IP address, packed.
        heartbeat: The highest number that it has sent.
        leaving: Whether it is about to stop.
        reads_store: Whether its last read of the store succeeded.
    """

    host: bytes
    heartbeat: int
    leaving: bool = False
    reads_store: bool = True


class ZoneReport(Struct, array_like=True, frozen=True):
    """Summary of the instances of one availability zone, by one of them.

    Attributes:
        zone: The availability zone.
        number: Heartbeat of the author; a higher number is newer.
        count: Its instances, including those that are silent but may still run.
        live: Its live instances.
        hosts: Packed IP addresses of some live instances.
        loads: Requests that they forward to each group of servers (see `ServerGroup`),
            in tenths of a request per second.
    """

    zone: str
    number: int
    count: int
    live: int
    hosts: tuple[bytes, ...] = ()
    loads: tuple[tuple[int, int], ...] = ()


class Digest(Struct, array_like=True, frozen=True):
    """The state of one instance, and what it knows of others.

    Attributes:
        format: Version of this format.
        zone: Availability zone of the instance.
        heartbeat: Increases in every period; a restarted process continues above its
            predecessor.
        revision: Revision of its directory.
        leaving: Whether it is about to stop.
        joining: Whether it has just started and asks for a digest in return.
        reads_store: Whether its last read of the store succeeded.
        loads: Servers that it sends requests to.
        evidence: Servers that are suspect.
        members: Some instances of its zone.
        zones: Summaries of some zones; of its own one if the receiver is in another.
        changes_after: Revision of the same era that `changes` follow.
        changes: The latest changes of the directory, encoded; empty if there were none
            lately, or too many.
        era: Era of the store that its directory has.
    """

    format: int
    zone: str
    heartbeat: int
    revision: int
    leaving: bool = False
    joining: bool = False
    reads_store: bool = True
    loads: tuple[ServerLoad, ...] = ()
    evidence: tuple[ServerEvidence, ...] = ()
    members: tuple[MemberEntry, ...] = ()
    zones: tuple[ZoneReport, ...] = ()
    changes_after: int = 0
    changes: bytes = b""
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Era and revision of the directory of the instance."""
        return StorePosition(self.era, self.revision)


_ENCODER = Encoder()
_DECODER = Decoder(Digest)


def encode_digest(digest: Digest) -> bytes:
    """Encode a digest as a datagram."""
    return _ENCODER.encode(digest)


def decode_digest(data: bytes) -> Digest:
    """Decode a datagram.

    Raises:
        PeerError: The datagram is not a digest of this format.
    """
    try:
        digest = _DECODER.decode(data)
    except (DecodeError, ValidationError, RecursionError) as exc:
        raise PeerError(f"the datagram is not a valid digest: {exc}") from exc
    if digest.format != DIGEST_FORMAT:
        raise PeerError(
            f"digest format {digest.format} is not supported",
            remedy="run the same version on all instances",
        )
    zones = [digest.zone, *(report.zone for report in digest.zones)]
    if any(len(zone) > MAX_ZONE_NAME for zone in zones):
        raise PeerError("the digest contains a zone name that is too long")
    numbers = [digest.heartbeat, *digest.position, digest.changes_after]
    for load in digest.loads:
        numbers += (load.load, load.answer_ms)
    for item in digest.evidence:
        numbers += (item.evidence_ms, item.answer_ms)
    numbers += [member.heartbeat for member in digest.members]
    for report in digest.zones:
        numbers += (report.number, report.count, report.live)
    if min(numbers) < 0:
        raise PeerError("the digest contains a negative number")
    hosts = [member.host for member in digest.members]
    for report in digest.zones:
        hosts += report.hosts
    if any(
        len(report.hosts) > MAX_REPORT_ITEMS or len(report.loads) > MAX_REPORT_ITEMS
        for report in digest.zones
    ):
        raise PeerError("the digest contains a zone report of too many items")
    if any(len(host) not in (4, 16) for host in hosts):
        raise PeerError("the digest contains a host that is not an IP address")
    return digest


def age_ms(moment: float, now: float) -> int:
    """Return the age of a moment in milliseconds, from 0 to `MAX_AGE_MS`.

    >>> age_ms(1.0, 1.5), age_ms(float("-inf"), 1.5)
    (500, 60000)
    """
    return round(min(MAX_AGE_MS, max(0.0, (now - moment) * 1000)))
