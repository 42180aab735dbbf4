"""Data that several rules derive from a history, computed once."""

from bisect import bisect_right
from collections import defaultdict
from dataclasses import dataclass
from functools import cached_property
from itertools import pairwise
from math import inf

from magnoliaslip.proof.history import History, Record

Interval = tuple[float, float]  # begin and end in seconds; the end is excluded

# Phases of call records that end an established flow.
FLOW_END_PHASES = ("reset", "timeout", "closed")


@dataclass(slots=True, frozen=True)
class InstanceLifetime:
    """Lifetime of one process of an instance.

    Attributes:
        instance: Identifier of the instance.
        begin: Time of its start, in seconds.
        end: Time at which it stopped, was killed or, without a record of either, was
            replaced by a new process; infinite if it still runs.
    """

    instance: str
    begin: float
    end: float


@dataclass(slots=True, frozen=True)
class ZoneOutInterval:
    """Interval in which an availability zone is published as out.

    Attributes:
        zone: Name of the zone.
        begin: Time of the publication as out, in seconds.
        end: Time of the publication as in service, in seconds; infinite without one.
    """

    zone: str
    begin: float
    end: float


class Facts:
    """Processes, servers, zones and flows as derived from a history.

    Args:
        history: The history.
    """

    def __init__(self, history: History) -> None:
        self.history = history

    @cached_property
    def lifetimes(self) -> list[InstanceLifetime]:
        """Lifetimes of all processes of all instances."""
        kills: dict[str, list[float]] = defaultdict(list)
        for record in self.history.of("fault"):
            if record["fault"] == "kill" and record["phase"] == "begin":
                kills[record["target"]].append(record.t)
        starts: dict[str, list[float]] = defaultdict(list)
        stops: dict[str, list[float]] = defaultdict(list)
        for record in self.history.of("state"):
            if record["state"] == "joining" or not starts[record.who]:
                starts[record.who].append(record.t)
            if record["state"] == "stopped":
                stops[record.who].append(record.t)
        lifetimes = []
        for instance, begins in starts.items():
            ends = sorted(kills[instance] + stops[instance])
            for begin, following in zip(begins, [*begins[1:], inf], strict=True):
                end = next((t for t in ends if begin <= t <= following), following)
                lifetimes.append(InstanceLifetime(instance, begin, end))
        return lifetimes

    @cached_property
    def intervals_without_updates(self) -> dict[str, list[Interval]]:
        """Intervals in which no platform update can reach an instance, by instance.

        Fault records carry ``cut_off``: all instances that no update can reach,
        directly or through others, from that moment on. Besides a partition, an outage
        or stale values of the platform have this effect.
        """
        intervals: dict[str, list[Interval]] = defaultdict(list)
        since: dict[str, float] = {}
        for record in self.history.of("fault"):
            cut_off = record.get("cut_off")
            if cut_off is None:
                continue
            for instance in [i for i in since if i not in cut_off]:
                intervals[instance].append((since.pop(instance), record.t))
            for instance in cut_off:
                since.setdefault(instance, record.t)
        for instance, begin in since.items():
            intervals[instance].append((begin, inf))
        return intervals

    @cached_property
    def pauses(self) -> dict[str, list[Interval]]:
        """Intervals in which the process of an instance was paused, by instance."""
        return self.fault_intervals("pause")

    def fault_intervals(self, fault: str) -> dict[str, list[Interval]]:
        """Return the intervals in which a fault was present, by target."""
        intervals: dict[str, list[Interval]] = defaultdict(list)
        since: dict[str, float] = {}
        for record in self.history.of("fault"):
            if record["fault"] != fault:
                continue
            if record["phase"] == "begin":
                since.setdefault(record["target"], record.t)
            elif record["target"] in since:
                target = record["target"]
                intervals[target].append((since.pop(target), record.t))
        for target, begin in since.items():
            intervals[target].append((begin, inf))
        return intervals

    def update_deadline(
        self, instance: str, published: float, bound_s: float, *, exclude_pauses: bool
    ) -> float:
        """Return the time by which an instance must act on a published update.

        Args:
            instance: The instance.
            published: Time of the publication, in seconds.
            bound_s: Time allowed while updates can reach the instance, in seconds.
            exclude_pauses: Whether pauses of the process do not count towards
                ``bound_s``.

        Returns:
            The time ``bound_s`` after the publication. An interruption that begins
            before it restarts the count at the end of the interruption.
        """
        blocked = list(self.intervals_without_updates.get(instance, ()))
        if exclude_pauses:
            blocked += self.pauses.get(instance, ())
        deadline = published + bound_s
        for begin, end in sorted(blocked):
            if begin < deadline and end > published:
                deadline = max(deadline, end + bound_s)
        return deadline

    @cached_property
    def zone_out_intervals(self) -> list[ZoneOutInterval]:
        """All intervals in which a zone is published as out."""
        intervals, since = [], {}
        for record in self.history.of("publish"):
            if not record.get("accepted", True):
                continue
            now_out = set(record["zones_out"])
            for zone in sorted(set(since) - now_out):
                intervals.append(ZoneOutInterval(zone, since.pop(zone), record.t))
            for zone in sorted(now_out):
                since.setdefault(zone, record.t)
        intervals += [
            ZoneOutInterval(zone, begin, inf) for zone, begin in since.items()
        ]
        return intervals

    @cached_property
    def server_states(self) -> dict[str, list[Record]]:
        """State records by server."""
        states: dict[str, list[Record]] = defaultdict(list)
        for record in self.history.of("server_state"):
            states[record["server"]].append(record)
        return states

    @cached_property
    def server_faults(self) -> dict[str, list[float]]:
        """Start times of the faults that target a server, by server."""
        faults: dict[str, list[float]] = defaultdict(list)
        for record in self.history.of("fault"):
            if record["phase"] == "begin" and record["target"] in self.server_states:
                faults[record["target"]].append(record.t)
        return faults

    @cached_property
    def restarts_and_stops(self) -> dict[str, list[float]]:
        """Times at which a server lost all its flows or stopped, by server."""
        found: dict[str, list[float]] = defaultdict(list)
        for server, states in self.server_states.items():
            for before, record in pairwise(states):
                state, capacity = record["state"], record["bears"]
                # A server records each change of state and, when it restarts, its
                # state again. Only a restart lowers the capacity of a cold server.
                restarted_cold = state == "cold" and (
                    before["state"] != "cold" or capacity <= before["bears"]
                )
                restarted_warm = (
                    state == before["state"] == "warm" and capacity == before["bears"]
                )
                if restarted_cold or restarted_warm or state == "stopped":
                    found[server].append(record.t)
        return found

    @cached_property
    def calls(self) -> dict[str, list[Record]]:
        """Records of kind ``call``, which callers write, by flow."""
        calls: dict[str, list[Record]] = defaultdict(list)
        for record in self.history.of("call"):
            calls[record["flow"]].append(record)
        return calls

    @cached_property
    def flow_servers(self) -> dict[str, tuple[str, str]]:
        """Server and zone of each established flow.

        The server is that of the flow's first request record. Without one, it is the
        target of the last SYN that was forwarded before the flow was established.
        """
        zones = {r["server"]: r["zone"] for r in self.history.of("forward")}
        flow_servers = {}
        for record in self.history.of("request"):
            flow_servers.setdefault(record["flow"], record["server"])
        for flow, calls in self.calls.items():
            established = next(
                (r.t for r in calls if r["phase"] == "established"), None
            )
            if flow in flow_servers or established is None:
                continue
            syn_targets = [
                record["server"]
                for record in self.history.flows[flow]
                if record.kind == "forward"
                and record["segment"] == "open"
                and record.t <= established
            ]
            if syn_targets:
                flow_servers[flow] = syn_targets[-1]
        return {
            flow: (server, zones.get(server, ""))
            for flow, server in flow_servers.items()
        }

    def state_at(self, server: str, t: float) -> Record | None:
        """Return the state record of a server that is current at a time."""
        states = self.server_states.get(server, [])
        at = bisect_right(states, t, key=lambda record: record.t)
        return states[at - 1] if at else None

    def max_slots(self, server: str) -> int:
        """Return the highest capacity a server ever reported, in parallel requests."""
        return max((r["bears"] for r in self.server_states.get(server, ())), default=0)
