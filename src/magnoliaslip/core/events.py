"""Numbered log events.

Every log line of the system is one event: a fixed number and name, followed by
``key=value`` fields. ``docs/events.md`` lists them all; a test compares the page
with this module.
"""

from enum import Enum
from logging import ERROR, INFO, WARNING, Logger
from typing import Any


class Event(Enum):
    """All log events: number, level and meaning.

    Numbers: 1xx process, 2xx configuration, 3xx placement, 4xx data path,
    5xx peers, 6xx platform, 7xx backend servers, 8xx lab.
    """

    INSTANCE_STARTED = (100, INFO, "the instance has opened its sockets")
    INSTANCE_STATE = (101, INFO, "the instance changed its state")
    INSTANCE_STOPPED = (102, INFO, "the instance has stopped")
    CLOCK_JUMPED = (103, WARNING, "the process was paused; its view is suspect")
    VIEW_CONFIRMED = (104, INFO, "the view was refreshed after it was suspect")
    LOG_LIMITED = (105, WARNING, "log lines were suppressed, counted by event")
    SETTINGS_RELOADED = (106, INFO, "the settings file was read again")
    SETTINGS_KEPT = (107, ERROR, "the changed settings are invalid; the old ones stay")
    UNEXPECTED_ERROR = (108, WARNING, "an unexpected error was caught; work goes on")
    CONFIG_IN_FORCE = (200, INFO, "a snapshot came into force")
    CONFIG_REJECTED = (201, ERROR, "a published set was rejected as a whole")
    CONFIG_STALE = (202, WARNING, "an older version was ignored")
    CONFIG_CONFLICT = (203, ERROR, "a version was published with differing content")
    DIRECTORY_CHANGED = (204, INFO, "routes, servers or zones changed")
    ENTRY_UNREADABLE = (205, WARNING, "a published entry can't be read")
    FLOW_PLACED = (300, INFO, "a new flow was placed on a backend server")
    FLOW_REPLACED = (301, INFO, "a refused flow was placed on another server")
    FLOW_REFUSED = (302, WARNING, "a new flow was refused; no server admits it")
    FLOW_GIVEN_UP = (303, WARNING, "a flow was abandoned; its availability zone is out")
    FLOW_RESET = (304, INFO, "a flow was reset by the system")
    FLOW_DROPPED = (305, WARNING, "a packet of a flow had no destination")
    PACKET_DROPPED = (400, WARNING, "packets were dropped, counted by kind")
    MEMBER_LIVE = (500, INFO, "members became live")
    MEMBER_LOST = (501, WARNING, "no heartbeats arrive from members")
    PEER_LINK_REPLACED = (502, WARNING, "an idle or broken stream was replaced")
    PEER_REJECTED = (503, WARNING, "a message from a non-member was dropped")
    SNAPSHOT_TAKEN = (505, INFO, "the directory of another instance was adopted")
    SNAPSHOT_FAILED = (506, WARNING, "the directory of an instance can't be read")
    PLATFORM_DOWN = (600, WARNING, "the platform does not answer")
    PLATFORM_UP = (601, INFO, "the platform answers again")
    HISTORY_LOST = (602, WARNING, "the platform dropped changes; a full list is read")
    STORE_WATCHED = (603, INFO, "the instance starts or stops watching the platform")
    STORE_RESTORED = (604, WARNING, "the store was restored from an older copy")
    PLATFORM_BUSY = (605, WARNING, "the platform answers that it is busy")
    SERVER_COLD = (700, INFO, "a backend server is in slow start")
    SERVER_REFUSING = (701, WARNING, "a backend server refused or ignored a new flow")
    SERVER_ACCEPTING = (702, INFO, "a backend server accepts new flows again")
    FLOW_SILENT = (703, WARNING, "an established flow gets no answers")
    SERVER_SUSPECT = (704, WARNING, "packets to a backend server stay unanswered")
    SERVER_HEARD = (705, INFO, "a suspect backend server answers again")
    LAB_MESSAGE = (800, INFO, "a message of a simulated component of the lab")

    @property
    def number(self) -> int:
        """The number that the log line contains."""
        return self.value[0]

    @property
    def level(self) -> int:
        """The level of the standard ``logging`` module."""
        return self.value[1]

    @property
    def meaning(self) -> str:
        """What the event means to an operator."""
        return self.value[2]


def log_event(
    logger: Logger, event: Event, *, at: float | None = None, **fields: Any
) -> None:
    """Write one event.

    Args:
        logger: Logger of the calling module.
        event: The event.
        at: Unix time of the event in seconds; now when None.
        fields: Values in the order in which they appear in the line.
    """
    if logger.isEnabledFor(event.level):
        logger.log(
            event.level,
            "MS%03d %s %s",
            event.number,
            event.name,
            _FieldText(fields),
            extra={"event": event, "fields": fields, "at": at},
        )


class _FieldText:
    """Fields as text, formatted only when a handler writes text."""

    __slots__ = ("_fields",)

    def __init__(self, fields: dict[str, Any]) -> None:
        self._fields = fields

    def __str__(self) -> str:
        return " ".join(f"{key}={value}" for key, value in self._fields.items())
