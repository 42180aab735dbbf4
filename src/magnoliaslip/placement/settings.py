"""Settings of the placement of flows."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PlacementConfig:
    """Limits and durations of the router; all durations are in seconds.

    Attributes:
        history_window_s: Owners use the epoch that was in force this long ago as the
            base of flows without a record.
        direct_grace_s: How much later than owners an instance uses a new base for
            direct forwarding.
        lease_term_s: How long a certificate is valid after a heartbeat was sent.
        slow_start_s: Length of the ramp of a cold backend server.
        leave_timeout_s: How long a leaving instance keeps running at most.
        young_flow_age_s: A leaving instance also hands over the flows on their default
            server that were placed at most this long before it began to leave, or
            since then.
        max_records: Number of flow records above which flows are evicted; for the
            order see `FlowRecords.eviction_candidate`.
        bulk_rate_per_s: Exceptions per second that are sent again after a change of
            members or slices; a leaving instance sends ten times as many.
    """

    history_window_s: float = 3600.0
    direct_grace_s: float = 60.0
    lease_term_s: float = 1.5
    slow_start_s: float = 30.0
    leave_timeout_s: float = 30.0
    young_flow_age_s: float = 5.0
    max_records: int = 400_000
    bulk_rate_per_s: int = 100
