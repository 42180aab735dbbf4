"""In-flight load of backend servers, and the budgets of cold servers."""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Iterable
from math import floor

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.core.group import GroupView

# How long a new flow counts as in flight on a warm server, and on a cold one.
NEW_FLOW_S = 1.0
COLD_NEW_FLOW_S = 5.0
REPORT_MAX_AGE_S = 3.0
# Slots of a cold server without configured slots; also scales the load of a warm one.
ASSUMED_SLOTS = 32


class InFlightObserver(ABC):
    """Counts requests in flight where the protocol of a service shows them."""

    __slots__ = ()

    @abstractmethod
    def outstanding(self, service: str, server: str) -> int:
        """Return the number of flows of the server with an outstanding request."""


def scaled_budget(budget: float, view: GroupView) -> int:
    """Scale a fleet-wide budget to the reachable part of the fleet.

    The sum over the sides of a partition never exceeds the budget: a minority
    rounds down, and so does the half without the lowest listed identifier.

    >>> scaled_budget(4, GroupView(1))
    0
    """
    reachable = len(view.members)
    listed = reachable + len(view.unreachable)
    share = view.reachable_share
    lowest = min([*view.members, *view.unreachable], default="")
    majority = reachable * 2 > listed or (
        reachable * 2 == listed and lowest in view.members
    )
    return floor(budget * share + (0.5 if majority else 0.0))


class LoadTracker:
    """Tracks recent flows, reports of other owners and slow starts of one service.

    Args:
        service: Name of the service.
        slow_start_s: Length of the ramp in seconds.
        observer: Counts requests in flight; None when nothing does.
    """

    __slots__ = (
        "_cold",
        "_flows",
        "_observer",
        "_reports",
        "_service",
        "_slow_start_s",
    )

    def __init__(
        self,
        service: str,
        *,
        slow_start_s: float,
        observer: InFlightObserver | None = None,
    ) -> None:
        self._service = service
        self._slow_start_s = slow_start_s
        self._observer = observer
        # Removing the oldest entry of a plain dict again and again takes linear time.
        self._flows: dict[int, OrderedDict[bytes, float]] = {}
        self._reports: dict[int, dict[str, tuple[int, float]]] = {}
        self._cold: dict[int, float] = {}

    def add_flow(self, number: int, key: bytes, now: float) -> None:
        """Count a new flow on a server."""
        flows = self._flows.get(number)
        if flows is None:
            flows = self._flows[number] = OrderedDict()
        flows[key] = now
        flows.move_to_end(key)

    def remove_flow(self, number: int, key: bytes) -> None:
        """Stop counting a flow."""
        flows = self._flows.get(number)
        if flows:
            flows.pop(key, None)

    def own_in_flight(self, number: int, now: float) -> int:
        """Return the number of recent flows that this instance placed on a server."""
        flows = self._flows.get(number)
        if not flows:
            return 0
        term = COLD_NEW_FLOW_S if self.is_cold(number, now) else NEW_FLOW_S
        limit = now - term
        while flows:
            key = next(iter(flows))
            if flows[key] > limit:
                break
            flows.popitem(last=False)
        return len(flows)

    def in_flight(self, server: BackendServer, number: int, now: float) -> int:
        """Return the in-flight load of a server, reports of other owners included."""
        total = self.own_in_flight(number, now) + self.reported(number, now)
        if self._observer is not None:
            total += self._observer.outstanding(self._service, server.name)
        return total

    def reported(
        self,
        number: int,
        now: float,
        *,
        among: Iterable[str] | None = None,
        max_age_s: float = REPORT_MAX_AGE_S,
    ) -> int:
        """Return the in-flight load that other instances reported.

        Args:
            number: Number of the server.
            now: Monotonic time in seconds.
            among: Only these instances; None for all.
            max_age_s: Seconds after which a report no longer counts.
        """
        reports = self._reports.get(number)
        if not reports:
            return 0
        for peer in [p for p, r in reports.items() if now - r[1] > COLD_NEW_FLOW_S]:
            del reports[peer]
        names = reports.keys() if among is None else reports.keys() & set(among)
        return sum(
            reports[peer][0] for peer in names if now - reports[peer][1] <= max_age_s
        )

    def apply_report(self, peer: str, number: int, in_flight: int, now: float) -> None:
        """Apply the in-flight load that another owner reports."""
        self._reports.setdefault(number, {})[peer] = (in_flight, now)

    def reporters(self, number: int) -> list[str]:
        """Return the instances with a report about a server."""
        return list(self._reports.get(number, ()))

    def begin_slow_start(self, number: int, since: float) -> bool:
        """Start the ramp of a server.

        Args:
            number: Number of the server.
            since: Monotonic time in seconds at which the ramp starts.

        Returns:
            Whether the server was warm, or in a ramp that began more than 1 s earlier.
        """
        former = self._cold.get(number)
        if former is not None and since <= former + 1.0:
            return False
        self._cold[number] = since
        return True

    def is_cold(self, number: int, now: float) -> bool:
        """Check whether a server is in slow start."""
        since = self._cold.get(number)
        if since is None:
            return False
        if now - since >= self._slow_start_s:
            del self._cold[number]
            return False
        return True

    def cold_age_ms(self, number: int, now: float) -> int:
        """Return milliseconds since the slow start began; 0 for a warm server."""
        if not self.is_cold(number, now):
            return 0
        return max(1, int((now - self._cold[number]) * 1000))

    def budget(
        self, server: BackendServer, number: int, view: GroupView, now: float
    ) -> int:
        """Return how many new flows a cold server may have in flight at a time.

        This is the budget of all owners in the reachable part of the fleet together.
        """
        since = self._cold.get(number, now)
        ramp = min(1.0, max(0.0, (now - since) / self._slow_start_s))
        return scaled_budget(max(1.0, (server.slots or ASSUMED_SLOTS) * ramp), view)

    def budget_share(
        self, budget: int, server_hash: int, slices: int, owned: Iterable[int]
    ) -> int:
        """Return the share of a budget that the owner of some slices may use.

        The budget is distributed over the slices, starting at a slice that depends on
        the server, so that owners stay within the sum without exchanging messages.

        Args:
            budget: Budget of a cold server for all owners.
            server_hash: Hash of the server that is the same on every instance.
            slices: Number of slices of the service.
            owned: Numbers of the owner's slices.

        >>> tracker = LoadTracker("rota", slow_start_s=30.0)
        >>> [tracker.budget_share(3, 0, 2, [number]) for number in (0, 1)]
        [2, 1]
        """
        each, rest = divmod(budget, slices)
        return sum(each + ((number - server_hash) % slices < rest) for number in owned)

    def active_servers(self) -> set[int]:
        """Return the servers that have recent flows or are in slow start."""
        return self._cold.keys() | {n for n, flows in self._flows.items() if flows}

    def remove_server(self, number: int) -> None:
        """Remove all state of a server that left the pool or whose zone went out."""
        self._flows.pop(number, None)
        self._reports.pop(number, None)
        self._cold.pop(number, None)
