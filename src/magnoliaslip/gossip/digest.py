"""The datagram that instances exchange."""

from msgspec import DecodeError, Struct, ValidationError
from msgspec.msgpack import Decoder, Encoder

from magnoliaslip.core.errors import PeerError

MAX_DIGEST_BYTES = 1400  # fits into one datagram on all common paths
DIGEST_FORMAT = 2
MAX_ANSWER_AGE_MS = 60_000  # limit of `heard_ms`: the maximum lifetime of a flow


class ServerDigest(Struct, array_like=True, frozen=True):
    """Observations of one instance about one backend server.

    Attributes:
        tag: Tag of the server.
        load: Load that the instance forwards to it, in tenths of a request per second.
        suspect: Whether packets to it remain unanswered.
        silent: Number of flows with unanswered data; 0 when the evidence is not fresh.
        heard_ms: Milliseconds since a flow of the instance last received an answer
            from it, at most `MAX_ANSWER_AGE_MS`.
    """

    tag: int
    load: int = 0
    suspect: bool = False
    silent: int = 0
    heard_ms: int = MAX_ANSWER_AGE_MS


class Digest(Struct, array_like=True, frozen=True):
    """The state of one instance.

    Attributes:
        format: Version of this format.
        zone: Availability zone of the instance.
        started_ms: Start time of its process in Unix milliseconds.
        revision: Revision of its directory.
        routes_version: Version of its routes; 0 when it has none.
        leaving: Whether it is about to stop.
        servers: Servers that it sends requests to or suspects.
        peers: IP addresses of other live instances.
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
    """Encode a digest as a datagram."""
    return _ENCODER.encode(digest)


def decode_digest(data: bytes) -> Digest:
    """Decode a datagram.

    Raises:
        PeerError: The datagram is not a digest of this format.
    """
    try:
        digest = _DECODER.decode(data)
    except (DecodeError, ValidationError) as exc:
        raise PeerError(f"the datagram is not a valid digest: {exc}") from exc
    if digest.format != DIGEST_FORMAT:
        raise PeerError(
            f"digest format {digest.format} is not supported",
            remedy="run the same version on all instances",
        )
    return digest
