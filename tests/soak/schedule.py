"""Seeded faults in series, which may overlap."""

from asyncio import create_task, sleep
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM
from time import monotonic

from tests.soak.promises import CONTACT_S

STORE_FAULTS = ("down", "silent", "slow", "503", "429", "410")
MEAN_INTERVAL_S = 0.7
# All faults end this long before the last requests are made, in seconds.
RECOVERY_S = 8.0
CALM_S = 5.0


class Schedule:
    """Injects faults into a site for some seconds; equal seeds draw equal faults."""

    def __init__(self, site):
        self.site, self.rng = site, site.rng
        self.log = []

    async def run(self, seconds):
        faults = (
            self._kill,
            self._kill,
            self._stop,
            self._pause,
            self._kill_all,
            self._reload,
            self._store,
            self._store,
            self._cut,
            self._replace,
            self._replace,
            self._evacuate,
            self._routes,
            self._garbage,
        )
        end = monotonic() + seconds
        tasks = []
        while monotonic() < end:
            await sleep(self.rng.expovariate(1 / MEAN_INTERVAL_S))
            fault = self.rng.choice(faults)
            self.log.append(f"{monotonic() - self.site.began:.2f} {fault.__name__}")
            tasks.append(create_task(fault()))
        for task in tasks:
            await task
        await sleep(RECOVERY_S)
        self.site.calm_at = monotonic()
        await sleep(CALM_S)

    def _some(self, most=2):
        instances = list(self.site.instances.values())
        return self.rng.sample(instances, self.rng.randint(1, most))

    async def _kill(self):
        for instance in self._some():
            self.site.signal(instance, SIGKILL)
            self.site.disturb(instance)

    async def _kill_all(self):
        for instance in self.site.instances.values():
            self.site.signal(instance, SIGKILL)
            self.site.disturb(instance)

    async def _stop(self):
        for instance in self._some():
            self.site.signal(instance, SIGTERM)
            self.site.disturb(instance, 3.0)

    async def _pause(self):
        seconds = self.rng.uniform(0.3, 4.0)
        for instance in (instances := self._some()):
            instance.paused = True
            self.site.signal(instance, SIGSTOP)
        await sleep(seconds)
        for instance in instances:
            self.site.signal(instance, SIGCONT)
            instance.paused = False
            self.site.disturb(instance)

    async def _reload(self):
        for instance in self._some():
            if self.site.in_touch(instance.host, monotonic()):
                self.site.signal(instance, SIGHUP)

    async def _store(self):
        fault, instances = self.rng.choice(STORE_FAULTS), self._some(6)
        seconds = self.rng.uniform(0.5, 5.0)
        for instance in instances:
            instance.store_fault = fault
            self.site.disturb(instance, seconds)
        await sleep(seconds)
        for instance in instances:
            instance.store_fault = ""
            self.site.disturb(instance)

    async def _cut(self):
        cut = tuple(self.rng.sample("abc", 2))
        seconds = self.rng.uniform(0.5, 3.0)
        self.site.cuts.add(cut)
        self.site.disturbed_zones[cut[1]] = monotonic() + seconds + CONTACT_S
        await sleep(seconds)
        self.site.cuts.discard(cut)

    async def _replace(self):
        server = self.rng.choice(self.site.servers)
        await self.site.replace_server(server, crash=self.rng.random() < 0.5)

    async def _evacuate(self):
        zone = self.rng.choice("abc")
        if self.site.zones_out:
            return
        self.site.store.put(f"op/evacuate/{zone}", {})
        self.site.zones_out[zone] = monotonic()
        await sleep(self.rng.uniform(1.0, 8.0))
        self.site.zones_out.clear()
        self.site.store.remove(f"op/evacuate/{zone}")

    async def _routes(self):
        route = (f"198.18.1.{self.rng.randint(1, 200)}", 80)
        self.site.routes[route] = "desk"
        self.site.publish_routes()
        self.site.used_routes.append(route)
        await sleep(self.rng.uniform(1.0, 6.0))
        if self.site.routes.pop(route, None):
            self.site.used_routes.remove(route)
            self.site.dropped_at[route] = monotonic()
            self.site.publish_routes()

    async def _garbage(self):
        caller = next(iter(self.site.callers.values()))
        for instance in self._some():
            for name in ("packets", "control"):
                data = self.rng.randbytes(self.rng.randint(0, 1400))
                caller.sock.sendto(data, (instance.host, self.site.ports[name]))
