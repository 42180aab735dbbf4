"""State shared by the parts of the router."""

from collections import Counter
from math import inf
from random import Random

from magnoliaslip.config.snapshot import Snapshot
from magnoliaslip.core.clock import Clock
from magnoliaslip.core.group import GroupView
from magnoliaslip.core.links import PacketLink, PeerLink
from magnoliaslip.core.recorder import NullRecorder, Recorder
from magnoliaslip.placement.certificates import CertificateStore
from magnoliaslip.placement.half_open import HalfOpenTable
from magnoliaslip.placement.load import InFlightObserver
from magnoliaslip.placement.records import FlowRecords
from magnoliaslip.placement.replication import PeerLog
from magnoliaslip.placement.service import Service
from magnoliaslip.placement.settings import PlacementConfig

# After a partition heals, views, advertised buckets and transferred exceptions agree
# again within this time.
HEAL_SETTLING_S = 3.0
REACHABLE_S = 1.0  # since the last heartbeat of a member
# ``exceptions``: members forward to the default directly, and replicate exceptions.
# ``owner``: every packet from a caller goes through the owner of its bucket.
# ``replicated``: every flow is replicated to all members as an exception.
# ``stateless``: every packet from a caller goes to the current default; flows have no
# records.
POLICIES = ("exceptions", "owner", "replicated", "stateless")


class PlacementState:
    """The state of one router, owned by its `FlowRouter`.

    Attributes:
        recorder: None when nothing is recorded, so that no fields are built.
        direct_generation: Increases whenever a result of ``FlowRouter.direct`` may be
            invalid.
        complete_since: Monotonic time in seconds at which the view became complete.
        last_received_at: Monotonic time in seconds of the last heartbeat of each peer.
        services: Services by index.
        routes: Services by service address and port in network order.
        former_services: Former services of addresses whose route changed, with the
            monotonic time until which established flows belong to them.
        logs: Replication logs of this instance by peer in the view.
        leaving: Whether this instance owns no slices any more and will stop.
        suspect: Whether the view may be outdated, so that packets are held.
        config_outdated: Whether a member of the view reported a newer configuration.
        handling_held_packets: Whether the packets handled now were held while the view
            was suspect, so that their SYNs may be stale.
    """

    __slots__ = (
        "certificates",
        "cfg",
        "clock",
        "complete_since",
        "config_outdated",
        "counters",
        "direct_generation",
        "former_services",
        "half_open",
        "handling_held_packets",
        "instance_id",
        "last_received_at",
        "leaving",
        "logs",
        "observer",
        "packets",
        "peers",
        "policy",
        "recorder",
        "records",
        "rng",
        "routes",
        "services",
        "services_by_name",
        "snapshot",
        "suspect",
        "view",
    )

    def __init__(
        self,
        instance_id: str,
        *,
        clock: Clock,
        packets: PacketLink,
        peers: PeerLink,
        recorder: Recorder,
        rng: Random,
        policy: str,
        cfg: PlacementConfig,
        counters: Counter[str],
        observer: InFlightObserver | None,
    ) -> None:
        self.instance_id = instance_id
        self.clock = clock
        self.packets = packets
        self.peers = peers
        self.recorder = None if isinstance(recorder, NullRecorder) else recorder
        self.rng = rng
        self.policy = policy
        self.cfg = cfg
        self.counters = counters
        self.observer = observer
        self.direct_generation = 0
        self.snapshot = Snapshot(version=0)
        self.view = GroupView(version=0)
        self.complete_since = -inf
        self.last_received_at: dict[str, float] = {}
        self.services: list[Service] = []
        self.services_by_name: dict[str, Service] = {}
        self.routes: dict[bytes, Service] = {}
        self.former_services: dict[bytes, tuple[Service, float]] = {}
        self.records = FlowRecords(limit=cfg.max_records)
        self.half_open = HalfOpenTable()
        self.certificates = CertificateStore(lease_term_s=cfg.lease_term_s)
        self.logs: dict[str, PeerLog] = {}
        self.leaving = False
        self.suspect = False
        self.config_outdated = False
        self.handling_held_packets = False

    @property
    def incarnation(self) -> int:
        """The incarnation of this process in the view."""
        member = self.view.members.get(self.instance_id)
        return member.incarnation if member else 0

    def now(self) -> float:
        """Return monotonic seconds."""
        return self.clock.monotonic()

    def service(self, name: str) -> Service:
        """Return the service with a name; it is added if there is none."""
        service = self.services_by_name.get(name)
        if service is None:
            service = Service(
                len(self.services),
                name,
                self.instance_id,
                cfg=self.cfg,
                rng=self.rng,
                observer=self.observer,
            )
            self.services.append(service)
            self.services_by_name[name] = service
        return service

    def set_view(self, view: GroupView) -> None:
        """Apply a group view."""
        if view.complete and not self.view.complete:
            self.complete_since = self.now()
        self.view = view
        self.last_received_at = {
            peer: moment
            for peer, moment in self.last_received_at.items()
            if peer in view.members
        }

    def is_healed(self, now: float) -> bool:
        """Check whether the effects of any earlier partition are over."""
        return self.view.complete and now - self.complete_since >= HEAL_SETTLING_S

    def all_members_reachable(self, now: float) -> bool:
        """Check that no listed member may be on the other side of a partition.

        A partition shows in the view after 2 s, and possibly earlier on its other side,
        so a heartbeat of every member must have arrived within 1 s. Shortly after a
        partition, members still send packets of the same flow to different servers.
        """
        return self.is_healed(now) and all(
            now - self.last_received_at.get(peer, -inf) < REACHABLE_S
            for peer in self.peers_in_view()
        )

    def peers_in_view(self) -> list[str]:
        """Return the other members of the view."""
        return [name for name in self.view.members if name != self.instance_id]

    def owns(self, service: Service, bucket: int) -> bool:
        """Check whether this instance owns the bucket in its view."""
        return service.slices.owner(bucket) == self.instance_id
