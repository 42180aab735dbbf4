"""Guards against resets of flows whose server serves while packets get lost."""

from collections import Counter
from random import Random

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import ManualClock
from magnoliaslip.gossip.exchange import GossipExchange
from magnoliaslip.gossip.membership import GOSSIP_PERIOD_S
from magnoliaslip.steering.reachability import CORRECTION_TIME_S
from tests.gossip.fleet import PORT, FakeSocket
from tests.steering.harness import Harness, server
from tests.steering.test_reachability import answer, establish, request

STEP_S = 0.02
DIGEST_DELAY_S = 0.06  # half a round trip, and the wait for the event loop
REQUESTS_PER_S = 11.0  # of one instance, as in a zone of 21 at 230 a second
ANSWER_DELAY_S = 0.04
# A caller repeats an unanswered request after these times in seconds (protocol).
COPY_DELAYS_S = (0.2, 0.6, 1.4)
INSTANCES = 24
SERVERS = 20


class Instance:
    """One instance of the zone, with the flows of its callers."""

    def __init__(self, number, clock, hosts):
        self.host = hosts[number]
        servers = [server(f"i-{n}{chr(97 + n)}") for n in range(SERVERS)]
        self.harness = Harness(*servers)
        self.harness.now = clock.monotonic()
        self.harness.router.correction_time_s = CORRECTION_TIME_S
        self.sock = FakeSocket(self.host)
        self.exchange = GossipExchange(
            self.sock,
            zone="a",
            seeds=[Address(host, PORT) for host in hosts[:3]],
            started_ms=1,
            directory=self.harness.directory,
            servers=self.harness.router.servers,
            clock=clock,
            rng=Random(number),
            reads_store=lambda: True,
            on_newer_directory=lambda host, position: None,
            on_directory_change=lambda: None,
        )
        self.harness.router.on_evidence = self.exchange.announce
        self.harness.router.before_judgement = self.exchange.update_evidence
        self.flows = {}  # the servers of flows with an unanswered request
        self.due = []  # time, what happens, flow


class LossyZone:
    """Instances that lose packets at random; servers answer all that arrive."""

    def __init__(self, *, loss, silent=(), seed=1):
        self.clock = ManualClock(start=100.0)
        self.rng = Random(seed)
        self.loss, self.silent = loss, set(silent)
        hosts = [f"10.0.0.{n}" for n in range(1, INSTANCES + 1)]
        self.instances = {
            host: Instance(number, self.clock, hosts)
            for number, host in enumerate(hosts)
        }
        self.next_period = {host: 100.0 + self.rng.random() / 2 for host in hosts}
        self.in_transit = []

    def run(self, seconds, *, with_requests=True):
        end = self.clock.monotonic() + seconds
        while self.clock.monotonic() < end:
            self.clock.advance(STEP_S)
            now = self.clock.monotonic()
            for instance in self.instances.values():
                instance.harness.now = now
                if with_requests and self.rng.random() < REQUESTS_PER_S * STEP_S:
                    self.begin_request(instance, now)
                self.handle_due(instance, now)
            self.exchange_digests(now)

    def begin_request(self, instance, now):
        flow = self.rng.randbytes(8)
        name = f"i-{(n := self.rng.randrange(SERVERS))}{chr(97 + n)}"
        instance.flows[flow] = name
        establish(instance.harness, flow, name)
        instance.due.append((now, "request", flow))
        instance.due += [(now + delay, "copy", flow) for delay in COPY_DELAYS_S]

    def handle_due(self, instance, now):
        due = sorted(item for item in instance.due if item[0] <= now)
        instance.due = [item for item in instance.due if item[0] > now]
        for _, kind, flow in due:
            if kind == "answer":
                answer(instance.harness, flow, instance.flows.pop(flow))
            elif flow in instance.flows:
                self.send(instance, flow, now)

    def send(self, instance, flow, now):
        name = instance.flows[flow]
        sent = request(instance.harness, flow, name)
        arrives = self.rng.random() >= self.loss and name not in self.silent
        if sent and arrives:
            instance.due = [item for item in instance.due if item[2] != flow]
            instance.due.append((now + ANSWER_DELAY_S, "answer", flow))

    def exchange_digests(self, now):
        arriving = [item for item in self.in_transit if item[0] <= now]
        self.in_transit = [item for item in self.in_transit if item[0] > now]
        for _, data, source, host in arriving:
            target = self.instances[host]
            target.exchange.receive_datagram(data, Address(source, PORT))
        for host, instance in self.instances.items():
            if now >= self.next_period[host]:
                self.next_period[host] += GOSSIP_PERIOD_S
                instance.exchange.send_once()
            instance.exchange.send_due_announcement()
            sent, instance.sock.sent = instance.sock.sent, []
            for data, target in sent:
                if self.rng.random() >= self.loss:
                    self.in_transit.append((now + DIGEST_DELAY_S, data, host, target))

    def events(self, event):
        """Return the number of log lines of an event by server."""
        return Counter(
            fields["server"]
            for instance in self.instances.values()
            for logged, _, fields in instance.harness.log.decisions
            if logged == event
        )


def test_lost_packets_of_a_busy_zone_reset_no_flows():
    zone = LossyZone(loss=0.1)
    zone.run(3.0, with_requests=False)
    zone.run(20.0)
    assert zone.events("SERVER_SUSPECT")
    assert not zone.events("FLOW_RESET")


def test_flows_of_a_silent_server_are_reset_beside_lost_packets():
    zone = LossyZone(loss=0.05, silent=["i-3d"])
    zone.run(3.0, with_requests=False)
    zone.run(5.0)
    assert set(zone.events("FLOW_RESET")) == {"i-3d"}
