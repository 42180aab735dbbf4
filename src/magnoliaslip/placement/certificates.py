"""Certificates that buckets have no exceptions, and the leases they depend on."""

from collections import Counter
from collections.abc import Iterable

# Heartbeats whose echo is still accepted; at two heartbeats a second this covers 8 s,
# more than five lease terms.
MAX_TRACKED_HEARTBEATS = 16


class _Certificate:
    """The dirty buckets of one peer, and how long that list is valid."""

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
        # Whether the peer's log has been received from its start.
        self.has_log_start = False
        self.applied_sequence = 0
        self.reported_sequence = 0
        self.lease_end = 0.0
        self.dirty: set[int] = set()

    def deadline(self) -> float:
        """Return the monotonic time until which the certificate is valid; 0 if not."""
        if not self.has_log_start or self.applied_sequence < self.reported_sequence:
            return 0.0
        return self.lease_end


class CertificateStore:
    """The certificates that this instance holds from its peers.

    The certificate of a peer states that the buckets which it does not advertise as
    dirty have no exceptions there. It is valid while this instance has applied the
    whole log of the peer and its lease has not expired.

    A bucket is identified by a code, ``service index << 16 | bucket``.

    Args:
        lease_term_s: Seconds from sending a heartbeat to the end of the lease that
            its echo grants.

    Attributes:
        granted_until: Monotonic time in seconds until which each peer may hold a
            certificate from this instance.
    """

    __slots__ = (
        "_certificates",
        "_departed",
        "_dirty_counts",
        "_lease_term_s",
        "_received_at",
        "_required",
        "_sent_at",
        "granted_until",
    )

    def __init__(self, *, lease_term_s: float) -> None:
        self._lease_term_s = lease_term_s
        self._certificates: dict[str, _Certificate] = {}
        self._required: set[str] = set()
        self._departed: dict[str, float] = {}
        self._sent_at: dict[str, dict[int, float]] = {}
        self._received_at: dict[str, float] = {}
        self._dirty_counts: Counter[int] = Counter()
        self.granted_until: dict[str, float] = {}

    def record_sent_heartbeat(self, peer: str, number: int, now: float) -> None:
        """Record a heartbeat to a peer.

        Its echo renews the lease of this instance. It also echoes the last heartbeat
        from the peer, which may renew the peer's lease; see `granted_until`.
        """
        sent = self._sent_at.setdefault(peer, {})
        sent[number] = now
        while len(sent) > MAX_TRACKED_HEARTBEATS:
            del sent[next(iter(sent))]
        # The lease of the peer starts when it sends the heartbeat that is echoed,
        # which is before that heartbeat is received here.
        self.granted_until[peer] = self._received_at.get(peer, now) + self._lease_term_s

    def record_received_heartbeat(self, peer: str, now: float) -> None:
        """Record a heartbeat from a peer; the next heartbeat to the peer echoes it."""
        self._received_at[peer] = now

    def record_echo(self, peer: str, number: int) -> None:
        """Record that a peer echoed a heartbeat of this incarnation."""
        moment = self._sent_at.get(peer, {}).get(number)
        certificate = self._certificates.get(peer)
        if moment is not None and certificate is not None:
            lease_end = moment + self._lease_term_s
            certificate.lease_end = max(certificate.lease_end, lease_end)

    def record_reported_sequence(
        self, peer: str, incarnation: int, sequence: int
    ) -> None:
        """Record the last sequence number that a peer reports for its log."""
        certificate = self._certificate_for(peer, incarnation)
        if certificate is not None:
            certificate.reported_sequence = max(certificate.reported_sequence, sequence)
            if sequence == 0:  # the log is empty
                certificate.has_log_start = True

    def record_applied_sequence(
        self, peer: str, incarnation: int, sequence: int
    ) -> None:
        """Record the last applied sequence number of a peer's log."""
        certificate = self._certificate_for(peer, incarnation)
        if certificate is not None:
            certificate.has_log_start = True
            certificate.applied_sequence = sequence
            certificate.reported_sequence = max(certificate.reported_sequence, sequence)

    def clear_dirty(self, peer: str, incarnation: int) -> None:
        """Discard the dirty buckets of a peer that sends its log from the start."""
        certificate = self._certificate_for(peer, incarnation)
        if certificate is not None:
            self._clear_dirty(certificate)

    def set_dirty(self, peer: str, incarnation: int, code: int, dirty: bool) -> bool:
        """Apply one bucket operation; return whether the state changed."""
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
        """Check whether any peer advertises the bucket as dirty."""
        return code in self._dirty_counts

    def first_dirty_peer(self, code: int, peers: Iterable[str]) -> str | None:
        """Return the first of the peers that advertises the bucket as dirty."""
        for peer in peers:
            certificate = self._certificates.get(peer)
            if certificate is not None and code in certificate.dirty:
                return peer
        return None

    def set_required(self, peers: Iterable[str], now: float) -> None:
        """Set the peers whose certificates are required.

        The certificates of peers that are no longer among them stay required for one
        more lease term.
        """
        required = set(peers)
        for peer in self._required - required:
            self._departed[peer] = now + self._lease_term_s
        for peer in required:
            self._departed.pop(peer, None)
        self._required = required

    def expire(self, now: float) -> None:
        """Discard the state of peers that were removed a lease term ago."""
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
        """Return the time until which all required certificates are valid.

        Returns:
            Monotonic time in seconds; 0 if a certificate is missing or a log is not
            fully applied, infinity without peers.
        """
        end = float("inf")
        for peer in (*self._required, *self._departed):
            certificate = self._certificates.get(peer)
            if certificate is None:
                return 0.0
            end = min(end, certificate.deadline())
        return end

    def is_synced(self, now: float) -> bool:
        """Check whether the certificate of every member of the view is valid now.

        Unlike in `deadline`, members that left the view are not considered.
        """
        return all(
            peer in self._certificates and now < self._certificates[peer].deadline()
            for peer in self._required
        )

    def invalidate_leases(self) -> None:
        """End every lease, because an unknown amount of time may have passed."""
        for certificate in self._certificates.values():
            certificate.lease_end = 0.0
        self._sent_at.clear()

    def _certificate_for(self, peer: str, incarnation: int) -> _Certificate | None:
        """Return the certificate of a peer, a new one for a newer incarnation.

        None for a former incarnation.
        """
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
