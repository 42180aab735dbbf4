from magnoliaslip.placement.certificates import CertificateBook


def make_book():
    book = CertificateBook(lease_term=1.5)
    book.set_required(["i2"], 0.0)
    return book


def test_lease_counts_from_the_sending_of_the_heartbeat():
    # Guards against a lease that outlives what the granting side assumes.
    book = make_book()
    book.note_stated("i2", 1, 0)
    book.note_sent("i2", 7, 10.0)
    book.note_echo("i2", 7)
    assert book.deadline() == 11.5
    book.note_echo("i2", 6)
    assert book.deadline() == 11.5
    book.note_sent("i2", 8, 10.5)
    assert book.deadline() == 11.5
    book.note_echo("i2", 8)
    assert book.deadline() == 12.0
    book.void()
    book.note_echo("i2", 8)
    assert book.deadline() == 0.0


def test_missing_log_entries_end_the_certificate_at_once():
    # Guards against direct forwarding while the news of a dirty bucket is lost.
    book = make_book()
    book.note_applied("i2", 1, 4)
    book.note_sent("i2", 1, 10.0)
    book.note_echo("i2", 1)
    assert book.deadline() == 11.5
    book.note_stated("i2", 1, 5)
    assert book.deadline() == 0.0
    book.note_stated("i2", 1, 4)
    assert book.deadline() == 0.0
    book.note_applied("i2", 1, 5)
    assert book.deadline() == 11.5


def test_grant_covers_every_lease_that_the_peer_can_hold():
    # Guards against an opening packet that is sent on while a peer still holds a
    # certificate.
    book = make_book()
    book.note_heard("i2", 9.0)
    book.note_sent("i2", 1, 10.0)
    assert book.granted["i2"] == 10.5
    book.expire(10.6)
    assert "i2" not in book.granted


def test_member_that_left_counts_for_one_lease_term():
    # Guards against a flow of a dead owner that goes to its default before a
    # replica has announced the bucket.
    book = make_book()
    book.note_stated("i2", 1, 0)
    book.set_dirty("i2", 1, 77, True)
    book.set_required([], 10.0)
    assert book.is_dirty(77)
    assert book.deadline() == 0.0
    book.expire(11.4)
    assert book.is_dirty(77)
    book.expire(11.5)
    assert not book.is_dirty(77)
    assert book.deadline() == float("inf")


def test_new_incarnation_starts_from_nothing():
    # Guards against certificates for the log of a former process.
    book = make_book()
    book.note_applied("i2", 1, 4)
    book.set_dirty("i2", 1, 77, True)
    book.note_sent("i2", 1, 10.0)
    book.note_echo("i2", 1)
    book.note_stated("i2", 2, 3)
    assert book.deadline() == 0.0
    assert not book.is_dirty(77)
    assert not book.set_dirty("i2", 1, 78, True)
    assert not book.is_dirty(78)
