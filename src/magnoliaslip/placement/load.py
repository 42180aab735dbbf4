"""Work on backend servers and the budgets of cold ones."""

from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Iterable
from math import floor

from magnoliaslip.config.snapshot import BackendServer
from magnoliaslip.core.group import GroupView

OPEN_SECONDS = 1.0
COLD_OPEN_SECONDS = 5.0
REPORT_SECONDS = 3.0
# Stands for the slots of a server that states none while it is cold.
ASSUMED_SLOTS = 32


class WorkObserver(ABC):
    """Sees requests in progress where the protocol of a service shows them."""

    __slots__ = ()

    @abstractmethod
    def outstanding(self, service: str, server: str) -> int:
        """Return flows of the server with a request outstanding."""


def scaled_budget(budget: float, view: GroupView) -> int:
    """Scale a fleet-wide budget to the part of the fleet that is heard.

    The sum over the sides of a partition never exceeds the budget: a minority
    rounds down, and so does the half without the lowest listed identifier.

    >>> scaled_budget(4, GroupView(1))
    0
    """
    heard = len(view.members)
    listed = heard + len(view.unreachable)
    share = view.reachable_share
    lowest = min([*view.members, *view.unreachable], default="")
    majority = heard * 2 > listed or (heard * 2 == listed and lowest in view.members)
    return floor(budget * share + (0.5 if majority else 0.0))


class LoadBook:
    """Recent opens, reports of other owners and cold starts of one service.

    Args:
        service: Name of the service.
        slow_start: Length of the ramp in seconds.
        observer: Sees requests in progress; None when nothing does.
    """

    __slots__ = ("_cold", "_observer", "_opens", "_reports", "_service", "_slow_start")

    def __init__(
        self, service: str, *, slow_start: float, observer: WorkObserver | None = None
    ) -> None:
        self._service = service
        self._slow_start = slow_start
        self._observer = observer
        # Removing the oldest entry of a plain dict again and again takes linear time.
        self._opens: dict[int, OrderedDict[bytes, float]] = {}
        self._reports: dict[int, dict[str, tuple[int, float]]] = {}
        self._cold: dict[int, float] = {}

    def opened(self, number: int, key: bytes, now: float) -> None:
        """Count a flow that was opened on a server."""
        opens = self._opens.get(number)
        if opens is None:
            opens = self._opens[number] = OrderedDict()
        opens[key] = now
        opens.move_to_end(key)

    def ended(self, number: int, key: bytes) -> None:
        """Stop counting a flow."""
        opens = self._opens.get(number)
        if opens:
            opens.pop(key, None)

    def own_work(self, number: int, now: float) -> int:
        """Return the recent flows that this instance opened on a server."""
        opens = self._opens.get(number)
        if not opens:
            return 0
        term = COLD_OPEN_SECONDS if self.is_cold(number, now) else OPEN_SECONDS
        limit = now - term
        while opens:
            key = next(iter(opens))
            if opens[key] > limit:
                break
            opens.popitem(last=False)
        return len(opens)

    def work(self, server: BackendServer, number: int, now: float) -> int:
        """Return the work on a server, reports of other owners included."""
        total = self.own_work(number, now) + self.reported(number, now)
        if self._observer is not None:
            total += self._observer.outstanding(self._service, server.name)
        return total

    def reported(
        self,
        number: int,
        now: float,
        *,
        among: Iterable[str] | None = None,
        max_age: float = REPORT_SECONDS,
    ) -> int:
        """Return the work that other instances reported.

        Args:
            number: The server.
            now: Monotonic time in seconds.
            among: Only these instances; None for all.
            max_age: Seconds after which a report no longer counts.
        """
        reports = self._reports.get(number)
        if not reports:
            return 0
        for peer in [p for p, r in reports.items() if now - r[1] > COLD_OPEN_SECONDS]:
            del reports[peer]
        names = reports.keys() if among is None else reports.keys() & set(among)
        return sum(
            reports[peer][0] for peer in names if now - reports[peer][1] <= max_age
        )

    def take_report(self, peer: str, number: int, work: int, now: float) -> None:
        """Take over the work that another owner reports."""
        self._reports.setdefault(number, {})[peer] = (work, now)

    def reporters(self, number: int) -> list[str]:
        """Return the instances with a report about a server."""
        return list(self._reports.get(number, ()))

    def start_cold(self, number: int, since: float) -> bool:
        """Start the ramp of a server; returns whether it was warm or colder now."""
        former = self._cold.get(number)
        if former is not None and since <= former + 1.0:
            return False
        self._cold[number] = since
        return True

    def is_cold(self, number: int, now: float) -> bool:
        """Return whether a server is in slow start."""
        since = self._cold.get(number)
        if since is None:
            return False
        if now - since >= self._slow_start:
            del self._cold[number]
            return False
        return True

    def cold_age_ms(self, number: int, now: float) -> int:
        """Return milliseconds since the cold start began; 0 when warm."""
        if not self.is_cold(number, now):
            return 0
        return max(1, int((now - self._cold[number]) * 1000))

    def budget(
        self, server: BackendServer, number: int, view: GroupView, now: float
    ) -> int:
        """Return the budget of a cold server for the part of the fleet heard."""
        since = self._cold.get(number, now)
        ramp = min(1.0, max(0.0, (now - since) / self._slow_start))
        return scaled_budget(max(1.0, (server.slots or ASSUMED_SLOTS) * ramp), view)

    def allotment(
        self, budget: int, number_hash: int, slices: int, owned: Iterable[int]
    ) -> int:
        """Return the part of a budget that the owner of some slices may use.

        The budget is dealt out over the slices, starting at a slice that depends
        on the server, so that owners need no messages to keep within the sum.

        >>> book = LoadBook("rota", slow_start=30.0)
        >>> [book.allotment(3, 0, 2, [number]) for number in (0, 1)]
        [2, 1]
        """
        each, rest = divmod(budget, slices)
        return sum(each + ((number - number_hash) % slices < rest) for number in owned)

    def active(self) -> set[int]:
        """Return the servers with opens or a cold start."""
        return self._cold.keys() | {n for n, opens in self._opens.items() if opens}

    def forget(self, number: int) -> None:
        """Drop everything about a server that left the pool."""
        self._opens.pop(number, None)
        self._reports.pop(number, None)
        self._cold.pop(number, None)
