"""Guards against an incomplete status, and against serving unknown clients."""

from types import SimpleNamespace

import anyio
import pytest
from grpclib import GRPCError
from grpclib.server import Server

from magnoliaslip.config.store import SnapshotStore
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.core.errors import PeerError
from magnoliaslip.core.group import InstanceEntry, MemberState
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.instance.admin import AdminService
from magnoliaslip.ops.admin_client import AdminClient
from magnoliaslip.ops.status import format_replies, query_instances
from magnoliaslip.peering.membership import Membership
from magnoliaslip.placement.explanation import Explanation
from magnoliaslip.placement.status import RouterStatus, ServerStatus
from tests.config.published import publish

CALLER, SERVICE = Address("192.0.2.7", 40000), Address("198.51.100.10", 443)


class StubRouter:
    def status(self):
        servers = (ServerStatus("kit-desk", "kd-1", work=3, state="cold"),)
        return RouterStatus(flows=12, exceptions=2, servers=servers)

    def explain(self, key):
        return Explanation(service="kit-desk", server="kd-1", bucket=len(key))


@pytest.fixture
def service():
    clock = ManualClock(start=100.0)
    membership = Membership("i1", "a", 1, clock=clock)
    entries = [
        InstanceEntry(f"i{n}", "a", Address("10.0.0.9", n), Address("10.0.0.9", 100))
        for n in (1, 2, 3)
    ]
    membership.apply_list(entries, 4)
    membership.set_state(MemberState.SERVING)
    membership.on_heartbeat(
        "i2", 1, number=1, state=MemberState.SERVING, config_version=4
    )
    store = SnapshotStore(clock=clock)
    store.offer(publish(5, zones={"a": "in", "b": "out"}))
    clock.advance(2)
    node = SimpleNamespace(
        cfg=SimpleNamespace(id="i1", zone="a"),
        membership=membership,
        metrics=Metrics(),
        router=StubRouter(),
        store=store,
    )
    node.metrics.observe_us("decision", 250)
    return AdminService(node, clock=clock)


def serve(service, request):
    """Run a request against the service on a loopback port and return its result."""

    async def run():
        server = Server([service])
        await server.start("127.0.0.1", 0)
        port = server._server.sockets[0].getsockname()[1]
        try:
            return await request(Address("127.0.0.1", port))
        finally:
            server.close()
            await server.wait_closed()

    return anyio.run(run)


def test_status_contains_versions_unheard_members_and_exceptions(service):
    state = service.status()
    assert (state.config_version, state.instances_version) == (5, 4)
    assert [(entry.version, entry.age_s) for entry in state.history] == [(5, 2.0)]
    assert state.zones_out == ("b",)
    assert state.unheard == ("i2", "i3")
    assert state.router.exceptions == 2


def test_status_over_the_network_reads_as_a_table(service):
    answers = serve(service, lambda address: query_instances([address], 3.0))
    text = format_replies(answers)
    assert "kit-desk  kd-1    3     cold" in text
    assert [line.split()[:6] for line in text.splitlines()[1:2]] == [
        ["i1", "a", "serving", "5", "4", "12"]
    ]
    assert "decision" in text


def test_explain_over_the_network(service):
    explanation = serve(
        service, lambda address: AdminClient(address).explain(CALLER, SERVICE)
    )
    assert (explanation.server, explanation.bucket) == ("kd-1", 12)


def test_explain_rejects_an_address_that_is_not_ipv4(service):
    async def request(address):
        with pytest.raises(PeerError, match="IPv4"):
            await AdminClient(address).explain(Address("::1", 1), SERVICE)

    serve(service, request)


def test_only_loopback_and_members_are_answered(service):
    assert service.accepts("127.0.0.1")
    assert service.accepts("10.0.0.9")
    assert not service.accepts("203.0.113.5")
    stream = SimpleNamespace(peer=SimpleNamespace(addr=lambda: ("203.0.113.5", 1)))
    with pytest.raises(GRPCError, match="allowed_networks"):
        anyio.run(service.Status, stream)
