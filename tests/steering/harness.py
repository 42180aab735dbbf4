"""A router whose link and log record what they receive."""

from collections import Counter
from contextlib import contextmanager

from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import (
    RegisteredServer,
    RouteTable,
    ServiceLimits,
    ServiceRoute,
    WeightedService,
)
from magnoliaslip.registry.store_client import ChangeBatch, RoutesChange, ServerChange
from magnoliaslip.steering.decisions import DecisionLog
from magnoliaslip.steering.link import TaggedLink
from magnoliaslip.steering.packet import PacketFlags, TaggedPacket
from magnoliaslip.steering.router import TagRouter
from magnoliaslip.steering.tags import flow_tag

DESK_ENDPOINT = (0xC6120001, 443)
LAB_ENDPOINT = (0xC6120002, 443)
START_TIME_S = 100.0


class RecordingLink(TaggedLink):
    """Records what was sent."""

    def __init__(self):
        self.sent = []
        self.resets = []

    def send_to_server(self, server, packet, tag):
        self.sent.append((server.id, packet, tag))

    def send_reset(self, packet):
        self.resets.append(packet)


def server(name, *, zone="a", service="desk", slots=4, **fields):
    address = (f"10.0.0.{ord(name[-1])}", 80)
    return RegisteredServer(
        name, fields.pop("started_ms", 1), service, address, zone, slots, **fields
    )


def routes(version=1, endpoints=(DESK_ENDPOINT, LAB_ENDPOINT), *, desk=("desk",)):
    """Return routes; ``desk`` names the services of the first, with equal weights."""
    names = {DESK_ENDPOINT: desk, LAB_ENDPOINT: ("lab",)}
    return RouteTable(
        version,
        {
            endpoint: ServiceRoute(
                endpoint,
                tuple(WeightedService(name, 1.0) for name in names[endpoint]),
                idempotent=endpoint == DESK_ENDPOINT,
            )
            for endpoint in endpoints
        },
        {name: ServiceLimits(name) for name in ("desk", "lab")},
    )


class RecordingLog(DecisionLog):
    """Records decisions: event, flow, fields."""

    def __init__(self):
        self.decisions = []

    def record(self, event, flow=b"", **fields):
        self.decisions.append((event, flow, fields))


class Harness:
    """One router under test; `now` is the time of the next packet.

    Each packet arrives alone, except for those of `queued`.
    """

    def __init__(self, *servers, zone="a", table=None):
        self.now = START_TIME_S
        self._is_queued = False
        self.link = RecordingLink()
        self.directory = Directory()
        self.counters = Counter()
        self.log = RecordingLog()
        self.router = TagRouter(
            zone,
            directory=self.directory,
            link=self.link,
            counters=self.counters,
            log=self.log,
        )
        self.router.correction_time_s = 0.0  # as in a small fleet
        self.router.server_choice.cold_share = 1.0  # as without others
        self.publish(RoutesChange(table or routes()))
        self.publish(*(ServerChange(s.id, s) for s in servers))

    def publish(self, *changes):
        directory = self.directory
        batch = ChangeBatch(directory.revision + 1, changes, era=directory.era)
        directory.apply(batch)
        self.router.apply_directory(self.now)

    def restore(self, *changes):
        """Apply the list of a store that was restored from an older copy."""
        self.directory.replace(ChangeBatch(1, changes, era=self.directory.era + 1))
        self.router.apply_directory(self.now)

    def handle(self, **fields):
        """Handle a packet; return the servers that it was sent to."""
        flow = fields.pop("flow", b"flow")
        fields.setdefault("caller", flow)
        packet = TaggedPacket(
            flow,
            fields.pop("endpoint", DESK_ENDPOINT),
            fields.pop("flags", PacketFlags.ACK),
            **fields,
        )
        count = len(self.link.sent)
        self.router.handle(packet, self.now)
        if not self._is_queued:
            self.router.on_receive_queue_empty(self.now)
        return [name for name, _, _ in self.link.sent[count:]]

    @contextmanager
    def queued(self):
        """Handle packets that waited together in the receive queue."""
        self._is_queued = True
        yield
        self._is_queued = False
        self.router.on_receive_queue_empty(self.now)

    def open(self, flow=b"flow", *, retransmission=0, endpoint=DESK_ENDPOINT, seq=0):
        """Open a flow; return the server that was chosen, or None."""
        sent = self.handle(
            flow=flow,
            flags=PacketFlags.SYN,
            retransmission=retransmission,
            endpoint=endpoint,
            seq=seq,
        )
        return sent[0] if sent else None

    def tag(self, name, endpoint=DESK_ENDPOINT):
        """Return the tag of a server for an endpoint."""
        return next(
            flow_tag(tracked.key, endpoint)
            for tracked in self.router.servers
            if tracked.server.id == name
        )
