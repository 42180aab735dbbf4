"""Fields of the log events that record the decisions on a flow."""

from collections.abc import Collection
from math import inf
from typing import Any

from magnoliaslip.steering.servers import ServerSet, TrackedServer


def placement_fields(
    tracked: TrackedServer, tried: Collection[TrackedServer], now: float
) -> dict[str, Any]:
    """Return what decided on the server of a new flow.

    Args:
        tracked: The chosen server.
        tried: Servers that did not answer this flow, or another of its caller.
        now: Monotonic time in seconds.
    """
    return {
        "server": tracked.server.id,
        "server_zone": tracked.server.zone,
        "load": round(tracked.load(now), 2),
        "suspect": tracked.reachability.suspect,
        "cold": tracked.cold_until > now,
        "tried": [other.server.id for other in tried],
    }


def evidence_fields(
    tracked: TrackedServer, servers: ServerSet, now: float, *, queued_packets: int
) -> dict[str, Any]:
    """Return what shows whether a server or this instance is late.

    The number of packets that waited together, and the seconds since the server, and
    any server, last answered; None for never.
    """
    ages = {
        "answer_s": now - tracked.reachability.last_answer_at,
        "any_answer_s": now - servers.last_answer_at,
    }
    return {"queued": queued_packets} | {
        name: None if age == inf else round(age, 3) for name, age in ages.items()
    }
