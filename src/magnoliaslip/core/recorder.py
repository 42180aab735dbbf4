"""Recording of the actions of a process, for the history checker."""

from abc import ABC, abstractmethod
from typing import Any


class Recorder(ABC):
    """Receives a record of each action that the history checker verifies."""

    __slots__ = ()

    @abstractmethod
    def record(self, kind: str, **fields: Any) -> None:
        """Append the record of one action.

        Args:
            kind: The kind of action, for example ``forward`` or ``refuse``.
            fields: Values that describe the action; JSON-serializable.
        """


class NullRecorder(Recorder):
    """Discards every record."""

    __slots__ = ()

    def record(self, kind: str, **fields: Any) -> None:
        """Discard the record."""
