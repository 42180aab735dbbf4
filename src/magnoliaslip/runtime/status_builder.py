"""Builds the status and the flow explanations that operators query.

Imported on the first query, to keep the start of an instance short.
"""

from magnoliaslip.core.address import Address
from magnoliaslip.core.clock import Clock
from magnoliaslip.gossip.membership import Membership
from magnoliaslip.registry.directory import Directory
from magnoliaslip.registry.model import Endpoint
from magnoliaslip.runtime.status import (
    FlowExplanation,
    SteeringPeerStatus,
    SteeringServerStatus,
)
from magnoliaslip.steering.router import TagRouter
from magnoliaslip.steering.server_choice import service_of
from magnoliaslip.steering.servers import TrackedServer


class StatusBuilder:
    """Builds status answers, with all times converted to Unix time.

    Each query needs a new builder: the monotonic time is that of its creation.

    Args:
        router: Decides where packets go.
        directory: Routes, servers and zones as published.
        clock: Source of time.
    """

    __slots__ = ("_clock", "_directory", "_now", "_router")

    def __init__(
        self, router: TagRouter, *, directory: Directory, clock: Clock
    ) -> None:
        self._router = router
        self._directory = directory
        self._clock = clock
        self._now = clock.monotonic()

    def servers(self) -> list[SteeringServerStatus]:
        """Return the status of every server, sorted by service and identifier."""
        statuses = [self._server_status(tracked) for tracked in self._router.servers]
        return sorted(statuses, key=lambda status: (status.service, status.id))

    def instances(self, members: Membership) -> list[SteeringPeerStatus]:
        """Return the status of the other known instances, sorted by address."""
        live = {member.host for member in members.live(self._now)}
        return sorted(
            (
                SteeringPeerStatus(
                    host=member.host,
                    zone=member.zone,
                    live=member.host in live,
                    heard_at=self._unix_time(member.advanced_at)
                    if member.heartbeat
                    else 0.0,
                )
                for member in members
            ),
            key=lambda status: status.host,
        )

    def explain(self, instance: str, flow: bytes, endpoint: Address) -> FlowExplanation:
        """Explain where packets of a flow are sent.

        Args:
            instance: Identifier of this instance.
            flow: Key of the flow.
            endpoint: Address and port that the caller sends to.

        Raises:
            ValueError: The endpoint is not IPv4.
        """
        table = self._directory.table
        explanation = FlowExplanation(
            id=instance,
            era=self._directory.era,
            revision=self._directory.revision,
            routes_version=table.version if table else 0,
            steps=[],
        )
        self._explain_flow_entry(explanation, flow)
        route_key = _route_key(endpoint)
        route = table.routes.get(route_key) if table else None
        if route is None:
            reason = (
                "there is no route table: a SYN is dropped"
                if table is None
                else "no route has this endpoint: a SYN is reset"
            )
            explanation.steps.append(f"{reason}; other packets are dropped")
            return explanation
        explanation.service = service_of(route, flow)
        explanation.steps.append(f"the route selects service {explanation.service}")
        explanation.servers = [
            status for status in self.servers() if status.service == explanation.service
        ]
        for status in explanation.servers:
            if status.state != "serving":
                explanation.steps.append(
                    f"{status.id} gets no new flow: {_exclusion_reason(status)}"
                )
        chosen = self._router.preview(route_key, explanation.service, flow, self._now)
        if chosen is None:
            explanation.steps.append("no server is eligible: a SYN is dropped")
        else:
            explanation.server = chosen.server.id
            zone_note = (
                "in the zone of this instance, " if self._is_in_own_zone(chosen) else ""
            )
            explanation.steps.append(
                f"a new flow goes to {explanation.server}: {zone_note}load "
                f"{chosen.load(self._now):.2f} requests per second and slot"
            )
        return explanation

    def _explain_flow_entry(self, explanation: FlowExplanation, flow: bytes) -> None:
        entry = self._router.flows.get(flow)
        if entry is None or entry.server is None:
            explanation.steps.append(
                "no server is remembered: the tag of a packet selects the server"
            )
            return
        explanation.remembered = entry.server.server.id
        explanation.established = entry.established
        if entry.unanswered_since:
            explanation.waiting_s = round(self._now - entry.unanswered_since, 3)
        state = "is established at" if entry.established else "was last forwarded to"
        explanation.steps.append(f"the flow {state} {explanation.remembered}")
        if explanation.waiting_s:
            explanation.steps.append(
                f"a request has been unanswered for {explanation.waiting_s} s"
            )

    def _server_status(self, tracked: TrackedServer) -> SteeringServerStatus:
        server, now = tracked.server, self._now
        status = SteeringServerStatus(
            id=server.id,
            service=server.service,
            zone=server.zone,
            state="serving",
            load=round(tracked.load(now), 2),
            cold_s=round(max(0.0, tracked.cold_until - now), 1),
        )
        if not tracked.registered:
            status.state, status.since = "left", self._unix_time(tracked.removed_at)
        elif tracked.draining:
            status.state = "draining"
        elif server.zone in self._router.servers.zones_out:
            status.state = "out"
        elif not tracked.admits(now):
            status.state = "suspect"
            if tracked.reachability.suspect:
                status.suspected_by = "own"
                status.since = self._unix_time(tracked.reachability.suspect_since)
            else:
                status.suspected_by = (
                    "instances" if tracked.suspected_by_peers else "zone"
                )
        return status

    def _is_in_own_zone(self, tracked: TrackedServer) -> bool:
        return tracked.server.zone == self._router.zone

    def _unix_time(self, moment: float) -> float:
        return round(self._clock.wall() - (self._now - moment), 3)


def _route_key(address: Address) -> Endpoint:
    """Return the key of an address in the route table.

    Raises:
        ValueError: The address is not IPv4.
    """
    parts = address.host.split(".")
    if len(parts) != 4:
        raise ValueError(f"{address} is not an IPv4 address")
    return int.from_bytes(bytes(map(int, parts)), "big"), address.port


def _exclusion_reason(status: SteeringServerStatus) -> str:
    if status.state == "suspect":
        return (
            f"it is suspect (evidence: {status.suspected_by}) and is used only if no "
            "other remains"
        )
    if status.state == "out":
        return f"its zone {status.zone} is out of service"
    return {"left": "it is no longer registered", "draining": "it is draining"}[
        status.state
    ]
