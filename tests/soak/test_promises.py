"""Guards against checks of the soak that cannot fail."""

from time import monotonic
from types import SimpleNamespace

import pytest

from tests.soak.endpoints import SYN, Packet
from tests.soak.promises import Promises

ROUTE = ("198.18.0.1", 443)


class FakeSite:
    """A site in which every instance is in touch and nothing is disturbed."""

    def __init__(self):
        self.began = self.calm_at = monotonic() - 100.0
        self.instances = {"i1": None}
        self.services_ever = {ROUTE: {"desk"}}
        self.dropped_at, self.zones_out = {}, {}

    def in_touch(self, host, now):
        return True

    def is_disturbed(self, server, now):
        return False

    def packed(self, route):
        return b"\xc6\x12\0\1"


def server(name="s1", **fields):
    return SimpleNamespace(
        name=name,
        **({"service": "desk", "zone": "a", "draining_at": None, "left_at": None})
        | fields,
    )


def packet(flags=0, data=b""):
    return Packet(7, 443, b"\x7f\0\0\1", b"\xc6\x12\0\1", 1, 1, flags, 0, 0, data)


def twice(promises):
    for name in ("s1", "s2"):
        promises.on_run(server(name), packet(data=b"post-1"))


def reset(promises):
    promises.on_open(server(), packet())
    caller = SimpleNamespace(packed=b"\x7f\0\0\1")
    promises.on_reset(SimpleNamespace(port=7, route=ROUTE, caller=caller))


def stray(promises):
    promises.on_open(server(), packet())
    for _ in range(2):
        promises.on_forwarded(server("s2"), packet(), "i1")
    promises.strays[packet()[:4]][0] -= 3.0
    promises.on_forwarded(server("s2"), packet(), "i1")


def syn(promises, **fields):
    promises.on_forwarded(server(**fields), packet(SYN), "i1")


def dropped(promises):
    promises.site.dropped_at[ROUTE] = monotonic() - 4.0
    syn(promises)


def evacuated(promises):
    promises.site.zones_out["a"] = monotonic() - 6.0
    syn(promises)


VIOLATIONS = {
    "ONCE": twice,
    "FLOW": reset,
    "ROUTE": lambda promises: syn(promises, service="lab"),
    "DRAIN": lambda promises: syn(promises, draining_at=monotonic() - 4.0),
    "CONFIG": dropped,
    "EVAC": evacuated,
    "SERVED": lambda promises: promises.on_unserved(b"get-1", monotonic()),
    "EXIT": lambda promises: promises.on_exit("i1", 1),
}


@pytest.mark.parametrize("promise", VIOLATIONS)
def test_broken_promise_is_reported(promise):
    promises = Promises(FakeSite())
    syn(promises)
    assert not promises.violations
    VIOLATIONS[promise](promises)
    assert [line.split()[1] for line in promises.violations] == [f"{promise}:"]


def test_reset_of_an_open_flow_by_another_server_is_reported():
    promises = Promises(FakeSite())
    promises.on_open(server(), packet())
    promises.on_server_reset(server("s2"), packet(), "i1")
    assert "FLOW" in promises.violations[0]


def test_reset_after_the_server_of_the_flow_has_left_is_allowed():
    promises = Promises(FakeSite())
    promises.on_open(server(left_at=monotonic()), packet())
    promises.on_server_reset(server("s2"), packet(), "i1")
    assert not promises.violations


def test_packets_of_an_open_flow_at_another_server_are_reported():
    promises = Promises(FakeSite())
    stray(promises)
    assert "FLOW" in promises.violations[0]
