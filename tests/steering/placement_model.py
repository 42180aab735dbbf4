"""Instances that place requests on servers by news that is late and sampled.

Each instance uses the product's selector on tracked servers of its own. The servers
have slots and a queue, and shed what does not fit.
"""

from functools import partial
from heapq import heappop, heappush
from random import Random

from magnoliaslip.steering.bounded_load_selector import BoundedLoadSelector
from magnoliaslip.steering.reachability import Reachability
from magnoliaslip.steering.servers import TrackedServer
from tests.steering.harness import server

NEWS_PERIOD_S = 0.5
SLOTS = 2
QUEUE = 8


class PlacementModel:
    """A zone of instances and servers under a stream of requests.

    Attributes:
        latencies: Seconds from each request to its answer.
        shed: Requests that a server did not accept.
    """

    def __init__(
        self, *, instances=32, servers=20, heard=12, work_s=0.06, seed=1, choose=None
    ):
        self.rng = Random(seed)
        self.work_s = work_s
        self.heard = min(heard, instances - 1)
        self.slow = {}  # factor for the time of work, by server
        self.gone = set()
        selector = BoundedLoadSelector("a")
        self.choose = choose or partial(selector.choose, instance_count=instances)
        self.start_instances(instances, servers)
        self.next_news = [self.rng.random() * NEWS_PERIOD_S for _ in range(instances)]
        self.in_work = [[] for _ in range(servers)]  # times of completion
        self.slots_free_at = [[0.0] * SLOTS for _ in range(servers)]
        self.now = 0.0
        self.latencies = []
        self.shed = 0

    def start_instances(self, instances, servers):
        """Start all instances, also again; none knows of any load."""
        reachability = Reachability()
        self.views = [
            [
                TrackedServer(
                    server(f"i-{n:x}a", slots=SLOTS),
                    cold_until=0.0,
                    zone_reachability=reachability,
                )
                for n in range(servers)
            ]
            for _ in range(instances)
        ]
        self.published = [[0.0] * servers for _ in range(instances)]

    def run(self, seconds, per_s):
        """Place requests at a rate."""
        end = self.now + seconds
        while self.now < end:
            self.now += self.rng.expovariate(per_s)
            for instance, due in enumerate(self.next_news):
                if self.now >= due:
                    self._exchange_news(instance)
            self._place(self.rng.randrange(len(self.views)))

    def percentile(self, share):
        return sorted(self.latencies)[int(len(self.latencies) * share)]

    def _exchange_news(self, instance):
        self.next_news[instance] += NEWS_PERIOD_S
        others = [n for n in range(len(self.views)) if n != instance]
        heard = self.rng.sample(others, self.heard)
        scale = len(others) / len(heard)
        for n, tracked in enumerate(self.views[instance]):
            total = sum(self.published[other][n] for other in heard)
            tracked.peer_requests_per_s = total * scale
        self.published[instance] = [
            tracked.requests.per_s(self.now) for tracked in self.views[instance]
        ]

    def _place(self, instance):
        view = [t for n, t in enumerate(self.views[instance]) if n not in self.gone]
        tracked = self.choose(view, self.rng.randbytes(12), self.now)
        tracked.record_request(self.now)
        number = self.views[instance].index(tracked)
        queue = self.in_work[number]
        while queue and queue[0] <= self.now:
            heappop(queue)
        if len(queue) >= SLOTS + QUEUE:
            self.shed += 1
            return
        slots = self.slots_free_at[number]
        slot = slots.index(min(slots))
        work_s = self.work_s * self.rng.uniform(0.5, 1.5) * self.slow.get(number, 1.0)
        slots[slot] = max(self.now, slots[slot]) + work_s
        heappush(queue, slots[slot])
        self.latencies.append(slots[slot] - self.now)
