"""Why a flow gets the backend server that it gets."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class Explanation:
    """The answer of the router to ``explain``.

    Attributes:
        service: The service that a route names; empty when no route does.
        server: The backend server that a packet of the flow would get; empty
            when there is none.
        zone: Availability zone of that server.
        reason: Why, in the terms of the ``forward`` record.
        owner: The instance that decides the flow in this instance's view.
        config_version: Version of the snapshot in force.
        bucket: Number of the flow's bucket.
        steps: What was considered, in order, for an operator to read.
    """

    service: str = ""
    server: str = ""
    zone: str = ""
    reason: str = ""
    owner: str = ""
    config_version: int = 0
    bucket: int = 0
    steps: tuple[str, ...] = ()
