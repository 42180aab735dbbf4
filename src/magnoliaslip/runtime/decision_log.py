"""Writes steering decisions to the log of the process."""

from collections.abc import Callable
from logging import getLogger
from typing import Any

from magnoliaslip.core.events import Event, log_event
from magnoliaslip.steering.decisions import DecisionLog

logger = getLogger(__name__)


class EventDecisionLog(DecisionLog):
    """Writes each decision as one log event.

    Args:
        flow_name: Returns the addresses and ports of a flow as text.
    """

    __slots__ = ("_flow_name",)

    def __init__(self, flow_name: Callable[[bytes], str]) -> None:
        self._flow_name = flow_name

    def record(
        self, event: str, flow: bytes = b"", *, at: float | None = None, **fields: Any
    ) -> None:
        """Write one event."""
        if flow:
            fields = {"flow": self._flow_name(flow), **fields}
        log_event(logger, Event[event], at=at, **fields)
