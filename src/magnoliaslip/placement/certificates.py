"""Certificates that a bucket holds no exception, and the leases behind them."""

from collections import Counter
from collections.abc import Iterable

# Numbers of heartbeats that may still be echoed; at two a second this covers four
# lease terms.
MAX_TRACKED_HEARTBEATS = 16


class _Certificate:
    """What this instance holds of one peer."""

    __slots__ = (
        "applied_sequence",
        "dirty",
        "has_log_start",
        "incarnation",
        "lease_end",
        "reported_sequence",
    )

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.has_log_start = False  # whether the peer's log is known from its start
        self.applied_sequence = 0
        self.reported_sequence = 0
        self.lease_end = 0.0
        self.dirty: set[int] = set()

    def deadline(self) -> float:
        """Return until when the certificate holds; 0 when it does not."""
        if not self.has_log_start or self.applied_sequence < self.reported_sequence:
            return 0.0
        return self.lease_end


class CertificateStore:
    """The certificates that an instance holds of its peers.

    A bucket is named by a code, ``service index << 16 | bucket``.

    Args:
        lease_term: Seconds from sending a heartbeat to the end of the lease that
            its echo grants.
    """

    __slots__ = (
        "_certificates",
        "_departed",
        "_dirty_counts",
        "_lease_term",
        "_received_at",
        "_required",
        "_sent_at",
        "granted_until",
    )

    def __init__(self, *, lease_term: float) -> None:
        self._lease_term = lease_term
        self._certificates: dict[str, _Certificate] = {}
        self._required: set[str] = set()
        self._departed: dict[str, float] = {}
        self._sent_at: dict[str, dict[int, float]] = {}
        self._received_at: dict[str, float] = {}
        self._dirty_counts: Counter[int] = Counter()
        # Until when each peer may hold a certificate of this instance.
        self.granted_until: dict[str, float] = {}

    def record_sent_heartbeat(self, peer: str, number: int, now: float) -> None:
        """Note a heartbeat to a peer; its echo renews the lease that the peer holds."""
        sent = self._sent_at.setdefault(peer, {})
        sent[number] = now
        while len(sent) > MAX_TRACKED_HEARTBEATS:
            del sent[next(iter(sent))]
        # The peer counts its lease from sending the heartbeat that is echoed, which
        # was before it was heard here.
        self.granted_until[peer] = self._received_at.get(peer, now) + self._lease_term

    def record_received_heartbeat(self, peer: str, now: float) -> None:
        """Note a heartbeat of a peer, which the next one to it echoes."""
        self._received_at[peer] = now

    def record_echo(self, peer: str, number: int) -> None:
        """Note that a peer echoed a heartbeat of this incarnation."""
        moment = self._sent_at.get(peer, {}).get(number)
        certificate = self._certificates.get(peer)
        if moment is not None and certificate is not None:
            lease_end = moment + self._lease_term
            certificate.lease_end = max(certificate.lease_end, lease_end)

    def record_reported_sequence(
        self, peer: str, incarnation: int, sequence: int
    ) -> None:
        """Note the last sequence number that a peer stated of its log."""
        certificate = self._certificate_for(peer, incarnation)
        if certificate is not None:
            certificate.reported_sequence = max(certificate.reported_sequence, sequence)
            if sequence == 0:
                certificate.has_log_start = True

    def record_applied_sequence(
        self, peer: str, incarnation: int, sequence: int
    ) -> None:
        """Note how far the log of a peer is applied."""
        certificate = self._certificate_for(peer, incarnation)
        if certificate is not None:
            certificate.has_log_start = True
            certificate.applied_sequence = sequence
            certificate.reported_sequence = max(certificate.reported_sequence, sequence)

    def clear_dirty(self, peer: str, incarnation: int) -> None:
        """Drop the dirty buckets of a peer that sends its log anew."""
        certificate = self._certificate_for(peer, incarnation)
        if certificate is not None:
            self._clear_dirty(certificate)

    def set_dirty(self, peer: str, incarnation: int, code: int, dirty: bool) -> bool:
        """Apply one bucket operation; returns whether it was news."""
        certificate = self._certificate_for(peer, incarnation)
        if certificate is None or (code in certificate.dirty) == dirty:
            return False
        if dirty:
            certificate.dirty.add(code)
            self._dirty_counts[code] += 1
        else:
            certificate.dirty.discard(code)
            self._decrement_dirty_count(code)
        return True

    def is_dirty(self, code: int) -> bool:
        """Return whether any peer says that the bucket holds an exception."""
        return code in self._dirty_counts

    def first_dirty_peer(self, code: int, peers: Iterable[str]) -> str | None:
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
                self._clear_dirty(certificate)
            self._sent_at.pop(peer, None)
            self._received_at.pop(peer, None)
        for peer in [p for p, end in self.granted_until.items() if end <= now]:
            del self.granted_until[peer]
            if peer not in self._required:
                self._received_at.pop(peer, None)
                self._sent_at.pop(peer, None)

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

    def invalidate_leases(self) -> None:
        """Give up every lease, because time may have passed unnoticed."""
        for certificate in self._certificates.values():
            certificate.lease_end = 0.0
        self._sent_at.clear()

    def _certificate_for(self, peer: str, incarnation: int) -> _Certificate | None:
        certificate = self._certificates.get(peer)
        if certificate is None or certificate.incarnation < incarnation:
            if certificate is not None:
                self._clear_dirty(certificate)
            certificate = self._certificates[peer] = _Certificate(incarnation)
        elif certificate.incarnation > incarnation:
            return None
        return certificate

    def _clear_dirty(self, certificate: _Certificate) -> None:
        for code in certificate.dirty:
            self._decrement_dirty_count(code)
        certificate.dirty.clear()

    def _decrement_dirty_count(self, code: int) -> None:
        self._dirty_counts[code] -= 1
        if self._dirty_counts[code] <= 0:
            del self._dirty_counts[code]
