"""Certificates that a bucket holds no exception, and the leases behind them."""

from collections import Counter
from collections.abc import Iterable

# Numbers of heartbeats that may still be echoed; at two a second this covers four
# lease terms.
KEPT_HEARTBEATS = 16


class _Certificate:
    """What this instance holds of one peer."""

    __slots__ = ("applied", "baseline", "dirty", "incarnation", "lease_end", "stated")

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.baseline = False  # whether the peer's log is known from its start
        self.applied = 0
        self.stated = 0
        self.lease_end = 0.0
        self.dirty: set[int] = set()

    def deadline(self) -> float:
        """Return until when the certificate holds; 0 when it does not."""
        if not self.baseline or self.applied < self.stated:
            return 0.0
        return self.lease_end


class CertificateBook:
    """The certificates that an instance holds of its peers.

    A bucket is named by a code, ``service index << 16 | bucket``.

    Args:
        lease_term: Seconds from sending a heartbeat to the end of the lease that
            its echo grants.
    """

    __slots__ = (
        "_certificates",
        "_departed",
        "_heard",
        "_lease_term",
        "_required",
        "_sent",
        "_union",
        "granted",
    )

    def __init__(self, *, lease_term: float) -> None:
        self._lease_term = lease_term
        self._certificates: dict[str, _Certificate] = {}
        self._required: set[str] = set()
        self._departed: dict[str, float] = {}
        self._sent: dict[str, dict[int, float]] = {}
        self._heard: dict[str, float] = {}
        self._union: Counter[int] = Counter()
        # Until when each peer may hold a certificate of this instance.
        self.granted: dict[str, float] = {}

    def note_sent(self, peer: str, number: int, now: float) -> None:
        """Note a heartbeat to a peer; its echo renews the lease that the peer holds."""
        sent = self._sent.setdefault(peer, {})
        sent[number] = now
        while len(sent) > KEPT_HEARTBEATS:
            del sent[next(iter(sent))]
        # The peer counts its lease from sending the heartbeat that is echoed, which
        # was before it was heard here.
        self.granted[peer] = self._heard.get(peer, now) + self._lease_term

    def note_heard(self, peer: str, now: float) -> None:
        """Note a heartbeat of a peer, which the next one to it echoes."""
        self._heard[peer] = now

    def note_echo(self, peer: str, number: int) -> None:
        """Note that a peer echoed a heartbeat of this incarnation."""
        moment = self._sent.get(peer, {}).get(number)
        certificate = self._certificates.get(peer)
        if moment is not None and certificate is not None:
            lease_end = moment + self._lease_term
            certificate.lease_end = max(certificate.lease_end, lease_end)

    def note_stated(self, peer: str, incarnation: int, sequence: int) -> None:
        """Note the last sequence number that a peer stated of its log."""
        certificate = self._get(peer, incarnation)
        if certificate is not None:
            certificate.stated = max(certificate.stated, sequence)
            if sequence == 0:
                certificate.baseline = True

    def note_applied(self, peer: str, incarnation: int, sequence: int) -> None:
        """Note how far the log of a peer is applied."""
        certificate = self._get(peer, incarnation)
        if certificate is not None:
            certificate.baseline = True
            certificate.applied = sequence
            certificate.stated = max(certificate.stated, sequence)

    def forget_dirty(self, peer: str, incarnation: int) -> None:
        """Drop the dirty buckets of a peer that sends its log anew."""
        certificate = self._get(peer, incarnation)
        if certificate is not None:
            self._drop_dirty(certificate)

    def set_dirty(self, peer: str, incarnation: int, code: int, dirty: bool) -> bool:
        """Apply one bucket operation; returns whether it was news."""
        certificate = self._get(peer, incarnation)
        if certificate is None or (code in certificate.dirty) == dirty:
            return False
        if dirty:
            certificate.dirty.add(code)
            self._union[code] += 1
        else:
            certificate.dirty.discard(code)
            self._release(code)
        return True

    def is_dirty(self, code: int) -> bool:
        """Return whether any peer says that the bucket holds an exception."""
        return code in self._union

    def dirty_at(self, code: int, peers: Iterable[str]) -> str | None:
        """Return the first of the peers that says the bucket is dirty."""
        for peer in peers:
            certificate = self._certificates.get(peer)
            if certificate is not None and code in certificate.dirty:
                return peer
        return None

    def set_required(self, peers: Iterable[str], now: float) -> None:
        """Set whose certificates are needed; former ones for one lease term."""
        required = set(peers)
        for peer in self._required - required:
            self._departed[peer] = now + self._lease_term
        for peer in required:
            self._departed.pop(peer, None)
        self._required = required

    def expire(self, now: float) -> None:
        """Drop what is held of peers that left a lease term ago."""
        for peer in [p for p, end in self._departed.items() if end <= now]:
            del self._departed[peer]
            certificate = self._certificates.pop(peer, None)
            if certificate is not None:
                self._drop_dirty(certificate)
            self._sent.pop(peer, None)
            self._heard.pop(peer, None)
        for peer in [p for p, end in self.granted.items() if end <= now]:
            del self.granted[peer]
            if peer not in self._required:
                self._heard.pop(peer, None)
                self._sent.pop(peer, None)

    def deadline(self) -> float:
        """Return until when every needed certificate holds; 0 if one is missing."""
        end = float("inf")
        for peer in (*self._required, *self._departed):
            certificate = self._certificates.get(peer)
            if certificate is None:
                return 0.0
            end = min(end, certificate.deadline())
        return end

    def is_synced(self, now: float) -> bool:
        """Return whether every member of the view certifies its buckets now.

        Unlike for `deadline`, members that left the view do not matter.
        """
        return all(
            peer in self._certificates and now < self._certificates[peer].deadline()
            for peer in self._required
        )

    def void(self) -> None:
        """Give up every lease, because time may have passed unnoticed."""
        for certificate in self._certificates.values():
            certificate.lease_end = 0.0
        self._sent.clear()

    def _get(self, peer: str, incarnation: int) -> _Certificate | None:
        certificate = self._certificates.get(peer)
        if certificate is None or certificate.incarnation < incarnation:
            if certificate is not None:
                self._drop_dirty(certificate)
            certificate = self._certificates[peer] = _Certificate(incarnation)
        elif certificate.incarnation > incarnation:
            return None
        return certificate

    def _drop_dirty(self, certificate: _Certificate) -> None:
        for code in certificate.dirty:
            self._release(code)
        certificate.dirty.clear()

    def _release(self, code: int) -> None:
        self._union[code] -= 1
        if self._union[code] <= 0:
            del self._union[code]
