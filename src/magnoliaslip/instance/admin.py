"""The gRPC service for operators' tools."""

from ipaddress import ip_address
from typing import Protocol

from grpclib import GRPCError, Status
from grpclib.server import Stream
from msgspec.json import encode

from magnoliaslip.config.settings import InstanceSettings
from magnoliaslip.config.store import SnapshotStore
from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock, SystemClock
from magnoliaslip.core.errors import PacketError
from magnoliaslip.core.metrics import Metrics
from magnoliaslip.instance.status import HistoryStatus, InstanceStatus, MemberStatus
from magnoliaslip.packet.flow_key import make_key
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.proto.peer_grpc import AdminBase
from magnoliaslip.peering.proto.peer_pb2 import (
    ExplainRequest,
    JsonReply,
    StatusRequest,
)
from magnoliaslip.placement.router import FlowRouter


class AdminTarget(Protocol):
    """The components of an instance that the service reads."""

    cfg: InstanceSettings
    membership: Membership
    metrics: Metrics
    router: FlowRouter
    store: SnapshotStore


class AdminService(AdminBase):
    """Serves the status of an instance and explanations of its decisions.

    Requests are accepted from loopback addresses, members and allowed networks.

    Args:
        node: The instance.
        clock: Source of time, the same as that of the store.
    """

    __slots__ = ("_clock", "_node")

    def __init__(self, node: AdminTarget, *, clock: Clock | None = None) -> None:
        self._node = node
        self._clock = clock or SystemClock()

    async def Status(  # noqa: N802 (name of the protocol)
        self, stream: Stream[StatusRequest, JsonReply]
    ) -> None:
        """Answer with an `InstanceStatus` as JSON."""
        self._check_client(stream)
        await stream.recv_message()
        await stream.send_message(JsonReply(json=encode(self.status())))

    async def Explain(  # noqa: N802 (name of the protocol)
        self, stream: Stream[ExplainRequest, JsonReply]
    ) -> None:
        """Answer with an `Explanation` as JSON."""
        self._check_client(stream)
        request = await stream.recv_message()
        if request is None:
            raise GRPCError(Status.INVALID_ARGUMENT, "the request is empty")
        try:
            key = make_key(
                Address.parse(request.caller), Address.parse(request.service_address)
            )
        except (ValueError, PacketError) as exc:
            raise GRPCError(Status.INVALID_ARGUMENT, str(exc)) from exc
        explanation = self._node.router.explain(key)
        await stream.send_message(JsonReply(json=encode(explanation)))

    def status(self) -> InstanceStatus:
        """Collect the status of the instance."""
        node = self._node
        now = self._clock.monotonic()
        view = node.membership.view()
        snapshot = node.store.snapshot
        return InstanceStatus(
            id=node.cfg.id,
            zone=node.cfg.zone,
            state=node.membership.state.name.lower(),
            config_version=node.store.version,
            instances_version=node.membership.list_version,
            zones_out=tuple(sorted(snapshot.zones_out)) if snapshot else (),
            history=tuple(
                HistoryStatus(entry.snapshot.version, round(now - entry.since, 3))
                for entry in node.store.history
            ),
            members=tuple(
                MemberStatus(
                    member.id,
                    member.zone,
                    member.state.name.lower(),
                    self._config_version_of(member.id),
                )
                for member in view.members.values()
            ),
            unheard=tuple(sorted(view.unreachable)),
            router=node.router.status(),
            metrics=node.metrics.summary(),
        )

    def accepts(self, host: str) -> bool:
        """Check whether requests from an IP address are accepted."""
        return ip_address(host).is_loopback or self._node.membership.accepts_address(
            host
        )

    def _config_version_of(self, member: str) -> int:
        if member == self._node.cfg.id:
            return self._node.store.version
        record = self._node.membership.record(member)
        return record.config_version if record else 0

    def _check_client(self, stream: Stream) -> None:
        address = stream.peer.addr()
        if address is None or not self.accepts(address[0]):
            raise GRPCError(
                Status.PERMISSION_DENIED,
                f"{address} is not accepted; add its network to allowed_networks",
            )
