"""The datagram that instances send each other."""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from magnoliaslip.core.errors import PeerError

MAX_DIGEST_BYTES = 1400  # fits one datagram on every usual path
DIGEST_FORMAT = 2
MAX_AGE_MS = 60_000  # the longest life of a flow


class ServerDigest(Struct, array_like=True, frozen=True):
    """What one instance observed of one backend server.

    Attributes:
        tag: Tag of the server.
        load: Requests per second that the instance forwarded to it, in tenths.
        suspect: Whether its packets stay unanswered.
        silent: Flows with unanswered data, as far as the evidence is fresh.
        heard_ms: Milliseconds since a flow of the instance last had an answer.
    """

    tag: int
    load: int = 0
    suspect: bool = False
    silent: int = 0
    heard_ms: int = MAX_AGE_MS


class Digest(Struct, array_like=True, frozen=True):
    """The state of one instance.

    Attributes:
        format: Version of this format.
        zone: Availability zone of the instance.
        started_ms: Unix milliseconds of the start of its process.
        revision: Revision of its directory.
        routes_version: Version of its routes; 0 when it has none.
        leaving: Whether it is about to stop.
        servers: Servers that it sent requests to or suspects.
        peers: Hosts of instances that it hears.
    """

    format: int
    zone: str
    started_ms: int
    revision: int
    routes_version: int
    leaving: bool
    servers: tuple[ServerDigest, ...] = ()
    peers: tuple[str, ...] = ()


_ENCODER = Encoder()
_DECODER = Decoder(Digest)


def encode_digest(digest: Digest) -> bytes:
    """Encode a digest for one datagram."""
    return _ENCODER.encode(digest)


def decode_digest(data: bytes) -> Digest:
    """Decode a datagram.

    Raises:
        PeerError: The datagram is no digest of this format.
    """
    try:
        digest = _DECODER.decode(data)
    except (DecodeError, ValidationError) as exc:
        raise PeerError(f"the datagram is no digest: {exc}") from exc
    if digest.format != DIGEST_FORMAT:
        raise PeerError(
            f"format {digest.format} is unknown",
            remedy="run one version on all instances",
        )
    return digest
