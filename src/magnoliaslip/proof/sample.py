"""A small history that keeps every rule, for checks of the checker itself.

It shows all that the rules look at: two services, calls that are answered, refused
and left open, a zone that goes out and returns, a server that drains and stops, one
in a cold start, and instances that start and stop.

>>> from magnoliaslip.proof.checker import Checker
>>> Checker().check(sample_history(1)).passed
True
"""

from itertools import count
from random import Random

from magnoliaslip.proof.history import History, Record

INSTANCES = tuple(f"i{number}" for number in range(1, 8))
ZONES = ("a", "b", "c")
SLOTS = 4
LENGTH_S = 40.0
ZONE_OUT_AT_S = 10.0
ZONE_IN_AT_S = 20.0
DRAIN_AT_S = 24.0
STOP_AT_S = 30.0
COLD_AT_S = 5.0


class _Sample:
    """Writes the records of a run that is free of faults."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.records: list[Record] = []
        self.servers = {
            service: [f"{prefix}-{n}" for n in range(1, 4)]
            for service, prefix in (("kit-desk", "kd"), ("spawn-lab", "sl"))
        }
        self._numbers = count(1)

    def note(self, t: float, who: str, kind: str, **fields: object) -> None:
        """Append one record."""
        self.records.append(Record(round(t, 6), who, kind, fields))

    def write(self) -> History:
        """Return the whole history."""
        for at, instance in enumerate(INSTANCES):
            self._start(instance, at * 0.01)
        self._publish(0.0, 1)
        self._publish(ZONE_OUT_AT_S, 2, zones_out=["b"])
        self._publish(ZONE_IN_AT_S, 3)
        self._publish(DRAIN_AT_S, 4, draining=["kd-3"])
        for service, names in self.servers.items():
            for name in names:
                self._state(0.0, service, name, "warm", SLOTS)
        for t, state, bears in (
            (COLD_AT_S, "cold", 2),
            (COLD_AT_S + 5, "cold", 3),
            (COLD_AT_S + 10, "warm", SLOTS),
        ):
            self._state(t, "spawn-lab", "sl-1", state, bears)
        self._state(DRAIN_AT_S, "kit-desk", "kd-3", "draining", SLOTS)
        self._state(STOP_AT_S, "kit-desk", "kd-3", "stopped", SLOTS)
        self.note(STOP_AT_S, "i7", "state", state="leaving")
        self.note(STOP_AT_S + 4, "i7", "state", state="stopped")
        for number in range(200):
            self._call(0.5 + number * 0.19)
        return History(self.records)

    def _start(self, instance: str, t: float) -> None:
        self.note(t, instance, "state", state="joining")
        self.note(t + 0.5, instance, "state", state="serving")

    def _publish(
        self,
        t: float,
        version: int,
        *,
        zones_out: list[str] | None = None,
        draining: list[str] | None = None,
    ) -> None:
        zones_out = zones_out or []
        self.note(
            t,
            "platform",
            "publish",
            version=version,
            values={"index": version},
            zones_out=zones_out,
            draining=draining or [],
        )
        for instance in INSTANCES:
            later = t + 0.1 + self.rng.random()
            self.note(later, instance, "config", version=version, zones_out=zones_out)

    def _state(
        self, t: float, service: str, server: str, state: str, bears: int
    ) -> None:
        self.note(
            t,
            server,
            "server_state",
            server=server,
            service=service,
            state=state,
            bears=bears,
        )

    def _choose(self, service: str, t: float) -> tuple[str, str]:
        zone_out = ZONE_OUT_AT_S - 1 <= t <= ZONE_IN_AT_S + 1
        choices = [
            (server, zone)
            for server, zone in zip(self.servers[service], ZONES, strict=True)
            if not (zone == "b" and zone_out)
            and not (server == "kd-3" and t >= DRAIN_AT_S - 2)
            and not (server == "sl-1" and COLD_AT_S - 2 <= t <= COLD_AT_S + 0.5)
        ]
        return self.rng.choice(choices)

    def _call(self, t: float) -> None:
        number = next(self._numbers)
        flow = f"0a00{number:04x}c6336464" + f"{1024 + number:04x}01bb"
        service = self.rng.choice(list(self.servers))
        server, zone = self._choose(service, t)
        entry = self.rng.choice(INSTANCES[:-1] if t > STOP_AT_S - 2 else INSTANCES)
        request = f"c-{number}"
        call = {"flow": flow, "request": request, "service": service}
        call |= {"complete": False, "answered_by": ""}
        self.note(t, "caller", "call", **call, phase="open")
        if number % 40 == 0:
            self.note(t + 0.01, entry, "refuse", flow=flow, service=service)
            self.note(t + 0.02, "caller", "call", **call, phase="refused")
            return
        self._packet(t + 0.01, entry, server, zone, call, "open")
        self.note(t + 0.02, "caller", "call", **call, phase="established")
        self.note(t + 0.03, "caller", "call", **call, phase="sent")
        self._packet(t + 0.04, entry, server, zone, call, "payload")
        work = {"server": server, "service": service, "flow": flow}
        work |= {"request": request, "idempotent": number % 2 == 0}
        self.note(t + 0.05, server, "request", **work, phase="start")
        self.note(t + 0.15, server, "request", **work, phase="end")
        call |= {"complete": True, "answered_by": server}
        self.note(t + 0.2, "caller", "call", **call, phase="answered")
        call |= {"request": "", "complete": False, "answered_by": ""}
        self.note(t + 0.21, "caller", "call", **call, phase="closed")

    def _packet(
        self,
        t: float,
        entry: str,
        server: str,
        zone: str,
        call: dict[str, object],
        segment: str,
    ) -> None:
        to = {"flow": call["flow"], "service": call["service"], "server": server}
        self.note(
            t,
            entry,
            "forward",
            **to,
            zone=zone,
            config=1,
            segment=segment,
            reason="default",
        )
        known = segment != "open"
        self.note(t + 0.002, server, "segment", **to, segment=segment, known=known)


def sample_history(seed: int) -> History:
    """Return a history that keeps every rule.

    Args:
        seed: Seed of the choice of servers and entry instances.
    """
    return _Sample(seed).write()
