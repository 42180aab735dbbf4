"""Where the steering of packets notes its decisions."""

from abc import ABC, abstractmethod
from collections import deque
from time import time
from typing import Any

MAX_BUFFERED_DECISIONS = 500  # decisions of the first half second of an instance


class DecisionLog(ABC):
    """Receives each decision that touches a flow or changes a belief."""

    __slots__ = ()

    @abstractmethod
    def record(
        self, event: str, flow: bytes = b"", *, at: float | None = None, **inputs: Any
    ) -> None:
        """Note one decision; never blocks.

        Args:
            event: Name of a log event.
            flow: The flow that it touches; empty when it touches none.
            at: Unix time of the decision in seconds; now when None.
            inputs: What decided it and the outcome.
        """


class DecisionBuffer(DecisionLog):
    """Keeps decisions until logging is available.

    Attributes:
        dropped: Decisions that did not fit.
    """

    __slots__ = ("_decisions", "dropped")

    def __init__(self) -> None:
        self._decisions: deque[tuple[str, bytes, float, dict[str, Any]]] = deque()
        self.dropped = 0

    def record(
        self, event: str, flow: bytes = b"", *, at: float | None = None, **inputs: Any
    ) -> None:
        """Keep one decision, or count it as lost."""
        if len(self._decisions) < MAX_BUFFERED_DECISIONS:
            self._decisions.append((event, flow, time() if at is None else at, inputs))
        else:
            self.dropped += 1

    def flush_to(self, log: DecisionLog) -> None:
        """Hand all kept decisions to a log."""
        while self._decisions:
            event, flow, at, inputs = self._decisions.popleft()
            log.record(event, flow, at=at, **inputs)
