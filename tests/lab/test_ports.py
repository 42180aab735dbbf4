"""Guards against two sites that pick the same port before either binds it."""

from random import Random

import pytest

from magnoliaslip.lab.ports import BLOCK_PORTS, FIRST_PORT, LAST_PORT, reserve_ports

PORTS_OF_A_SITE = 54


def test_sites_that_start_at_the_same_time_have_no_port_in_common():
    with reserve_ports(Random(7)) as first, reserve_ports(Random(7)) as second:
        ports = [
            {picker.pick().port for _ in range(PORTS_OF_A_SITE)}
            for picker in (first, second)
        ]
    assert len(ports[0]) == len(ports[1]) == PORTS_OF_A_SITE
    assert not ports[0] & ports[1]


def test_block_can_be_reserved_again_after_its_end():
    with reserve_ports(Random(7)) as first:
        port = first.pick().port
    with reserve_ports(Random(7)) as again:
        assert again.pick().port // BLOCK_PORTS == port // BLOCK_PORTS


def test_reservation_fails_when_all_blocks_are_reserved(monkeypatch):
    monkeypatch.setattr("magnoliaslip.lab.ports.LAST_PORT", FIRST_PORT)
    with (
        reserve_ports(Random(7)),
        pytest.raises(OSError, match="1 blocks of lab ports"),
        reserve_ports(Random(7)),
    ):
        pass
    assert LAST_PORT > FIRST_PORT
