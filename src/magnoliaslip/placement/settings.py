"""Settings of the placement of flows."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PlacementConfig:
    """Bounds and terms of the router; all times are in seconds.

    Attributes:
        history_window: How long an epoch stays in the history.
        lease_term: How long a certificate holds after a heartbeat was sent.
        slow_start: Length of the ramp of a cold backend server.
        leave_deadline: How long a leaving instance goes on at most.
        young_flow: Flows opened more recently than this are handed to the new
            owners when the instance leaves, defaults included.
        max_records: Flow records held; the oldest defaults go first.
    """

    history_window: float = 3600.0
    lease_term: float = 1.5
    slow_start: float = 30.0
    leave_deadline: float = 30.0
    young_flow: float = 60.0
    max_records: int = 400_000
