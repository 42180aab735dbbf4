"""A small history that satisfies every rule, for tests of the checker itself.

It covers everything that the rules check: two services, answered and refused calls, a
zone that is taken out and put back, a server that drains and stops, another in slow
start, and instances that start and stop.

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
ZONE_OUT_AT_S = 10.0
ZONE_IN_AT_S = 20.0
DRAIN_AT_S = 24.0
STOP_AT_S = 30.0
COLD_AT_S = 5.0


class _SampleBuilder:
    """Builds the records of a run without faults."""

    def __init__(self, seed: int) -> None:
        self.rng = Random(seed)
        self.records: list[Record] = []
        self.servers = {
            service: [f"{prefix}-{n}" for n in range(1, 4)]
            for service, prefix in (("kit-desk", "kd"), ("spawn-lab", "sl"))
        }
        self._numbers = count(1)

    def record(self, t: float, who: str, kind: str, **fields: object) -> None:
        """Append one record."""
        self.records.append(Record(round(t, 6), who, kind, fields))

    def build(self) -> History:
        """Return the complete history."""
        for at, instance in enumerate(INSTANCES):
            self._record_instance_start(instance, at * 0.01)
        self._publish(0.0, 1)
        self._publish(ZONE_OUT_AT_S, 2, zones_out=["b"])
        self._publish(ZONE_IN_AT_S, 3)
        self._publish(DRAIN_AT_S, 4, draining=["kd-3"])
        for service, names in self.servers.items():
            for name in names:
                self._record_server_state(0.0, service, name, "warm", SLOTS)
        for t, state, capacity in (
            (COLD_AT_S, "cold", 2),
            (COLD_AT_S + 5, "cold", 3),
            (COLD_AT_S + 10, "warm", SLOTS),
        ):
            self._record_server_state(t, "spawn-lab", "sl-1", state, capacity)
        self._record_server_state(DRAIN_AT_S, "kit-desk", "kd-3", "draining", SLOTS)
        self._record_server_state(STOP_AT_S, "kit-desk", "kd-3", "stopped", SLOTS)
        self.record(STOP_AT_S, "i7", "state", state="leaving")
        self.record(STOP_AT_S + 4, "i7", "state", state="stopped")
        for number in range(200):
            self._call(0.5 + number * 0.19)
        return History(self.records)

    def _record_instance_start(self, instance: str, t: float) -> None:
        self.record(t, instance, "state", state="joining")
        self.record(t + 0.5, instance, "state", state="serving")

    def _publish(
        self,
        t: float,
        version: int,
        *,
        zones_out: list[str] | None = None,
        draining: list[str] | None = None,
    ) -> None:
        zones_out = zones_out or []
        self.record(
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
            self.record(later, instance, "config", version=version, zones_out=zones_out)

    def _record_server_state(
        self, t: float, service: str, server: str, state: str, capacity: int
    ) -> None:
        self.record(
            t,
            server,
            "server_state",
            server=server,
            service=service,
            state=state,
            bears=capacity,
        )

    def _choose_server(self, service: str, t: float) -> tuple[str, str]:
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
        server, zone = self._choose_server(service, t)
        entry_instance = self.rng.choice(
            INSTANCES[:-1] if t > STOP_AT_S - 2 else INSTANCES
        )
        request = f"c-{number}"
        call_fields = {"flow": flow, "request": request, "service": service}
        call_fields |= {"complete": False, "answered_by": ""}
        self.record(t, "caller", "call", **call_fields, phase="open")
        if number % 40 == 0:
            self.record(t + 0.01, entry_instance, "refuse", flow=flow, service=service)
            self.record(t + 0.02, "caller", "call", **call_fields, phase="refused")
            return
        self._packet(t + 0.01, entry_instance, server, zone, call_fields, "open")
        self.record(t + 0.02, "caller", "call", **call_fields, phase="established")
        self.record(t + 0.03, "caller", "call", **call_fields, phase="sent")
        self._packet(t + 0.04, entry_instance, server, zone, call_fields, "payload")
        request_fields = {"server": server, "service": service, "flow": flow}
        request_fields |= {"request": request, "idempotent": number % 2 == 0}
        self.record(t + 0.05, server, "request", **request_fields, phase="start")
        self.record(t + 0.15, server, "request", **request_fields, phase="end")
        call_fields |= {"complete": True, "answered_by": server}
        self.record(t + 0.2, "caller", "call", **call_fields, phase="answered")
        call_fields |= {"request": "", "complete": False, "answered_by": ""}
        self.record(t + 0.21, "caller", "call", **call_fields, phase="closed")

    def _packet(
        self,
        t: float,
        entry_instance: str,
        server: str,
        zone: str,
        call_fields: dict[str, object],
        segment: str,
    ) -> None:
        packet_fields = {
            "flow": call_fields["flow"],
            "service": call_fields["service"],
            "server": server,
        }
        self.record(
            t,
            entry_instance,
            "forward",
            **packet_fields,
            zone=zone,
            config=1,
            segment=segment,
            reason="default",
        )
        known = segment != "open"
        self.record(
            t + 0.002, server, "segment", **packet_fields, segment=segment, known=known
        )


def sample_history(seed: int) -> History:
    """Return a history that satisfies every rule.

    Args:
        seed: Seed of all random choices.
    """
    return _SampleBuilder(seed).build()
