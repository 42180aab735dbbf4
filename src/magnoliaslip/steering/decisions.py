"""Interface of the log of steering decisions, and a buffer for the start."""

from abc import ABC, abstractmethod
from collections import deque
from time import time
from typing import Any

MAX_BUFFERED_DECISIONS = 500  # as many as an instance makes in its first half second


class DecisionLog(ABC):
    """Records each decision that affects a flow or the assessment of a server."""

    __slots__ = ()

    @abstractmethod
    def record(
        self, event: str, flow: bytes = b"", *, at: float | None = None, **fields: Any
    ) -> None:
        """Record one decision; never blocks.

        Args:
            event: Name of a log event.
            flow: The flow that it affects; empty when it affects none.
            at: Unix time of the decision in seconds; now when None.
            fields: Values that the decision is based on, and its outcome.
        """


class DecisionBuffer(DecisionLog):
    """Buffers decisions until logging is available.

    Attributes:
        dropped: Decisions that did not fit into the buffer.
    """

    __slots__ = ("_decisions", "dropped")

    def __init__(self) -> None:
        self._decisions: deque[tuple[str, bytes, float, dict[str, Any]]] = deque()
        self.dropped = 0

    def record(
        self, event: str, flow: bytes = b"", *, at: float | None = None, **fields: Any
    ) -> None:
        """Buffer one decision, or count it as dropped."""
        if len(self._decisions) < MAX_BUFFERED_DECISIONS:
            self._decisions.append((event, flow, time() if at is None else at, fields))
        else:
            self.dropped += 1

    def flush_to(self, log: DecisionLog) -> None:
        """Move all buffered decisions to a log."""
        while self._decisions:
            event, flow, at, fields = self._decisions.popleft()
            log.record(event, flow, at=at, **fields)
