from magnoliaslip.placement.certificates import CertificateStore


def make_store():
    store = CertificateStore(lease_term_s=1.5)
    store.set_required(["i2"], 0.0)
    return store


def test_lease_starts_when_the_heartbeat_is_sent():
    # Guards against a lease that lasts longer than the granting peer assumes.
    store = make_store()
    store.record_reported_sequence("i2", 1, 0)
    store.record_sent_heartbeat("i2", 7, 10.0)
    store.record_echo("i2", 7)
    assert store.deadline() == 11.5
    store.record_echo("i2", 6)
    assert store.deadline() == 11.5
    store.record_sent_heartbeat("i2", 8, 10.5)
    assert store.deadline() == 11.5
    store.record_echo("i2", 8)
    assert store.deadline() == 12.0
    store.invalidate_leases()
    store.record_echo("i2", 8)
    assert store.deadline() == 0.0


def test_missing_log_entries_invalidate_the_certificate():
    # Guards against direct forwarding after the report of a dirty bucket was lost.
    store = make_store()
    store.record_applied_sequence("i2", 1, 4)
    store.record_sent_heartbeat("i2", 1, 10.0)
    store.record_echo("i2", 1)
    assert store.deadline() == 11.5
    store.record_reported_sequence("i2", 1, 5)
    assert store.deadline() == 0.0
    store.record_reported_sequence("i2", 1, 4)
    assert store.deadline() == 0.0
    store.record_applied_sequence("i2", 1, 5)
    assert store.deadline() == 11.5


def test_grant_covers_every_lease_that_the_peer_can_hold():
    # Guards against a SYN that is forwarded while a peer still holds a certificate.
    store = make_store()
    store.record_received_heartbeat("i2", 9.0)
    store.record_sent_heartbeat("i2", 1, 10.0)
    assert store.granted_until["i2"] == 10.5
    store.expire(10.6)
    assert "i2" not in store.granted_until


def test_removed_member_counts_for_one_lease_term():
    # Guards against a flow of a failed owner that goes to the default server before a
    # replica has advertised the bucket as dirty.
    store = make_store()
    store.record_reported_sequence("i2", 1, 0)
    store.set_dirty("i2", 1, 77, True)
    store.set_required([], 10.0)
    assert store.is_dirty(77)
    assert store.deadline() == 0.0
    store.expire(11.4)
    assert store.is_dirty(77)
    store.expire(11.5)
    assert not store.is_dirty(77)
    assert store.deadline() == float("inf")


def test_new_incarnation_starts_without_state():
    # Guards against certificates that cover the log of a former process.
    store = make_store()
    store.record_applied_sequence("i2", 1, 4)
    store.set_dirty("i2", 1, 77, True)
    store.record_sent_heartbeat("i2", 1, 10.0)
    store.record_echo("i2", 1)
    store.record_reported_sequence("i2", 2, 3)
    assert store.deadline() == 0.0
    assert not store.is_dirty(77)
    assert not store.set_dirty("i2", 1, 78, True)
    assert not store.is_dirty(78)
