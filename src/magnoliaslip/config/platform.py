"""The read-only configuration service of the platform."""

from abc import ABC, abstractmethod
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class PlatformValue:
    """A value as returned by the platform.

    Attributes:
        key: Name of the value, for example ``index`` or ``pools/0``.
        data: JSON document.
        index: The platform's modification counter of the key.
    """

    key: str
    data: bytes
    index: int


class Platform(ABC):
    """Read-only access to values: reads and watches them."""

    __slots__ = ()

    @abstractmethod
    async def read(self, key: str) -> PlatformValue | None:
        """Return a value, or None when the key does not exist.

        Raises:
            PlatformError: The platform gave no valid answer within the read time-out,
                2 s by default.
        """

    @abstractmethod
    async def watch(
        self, key: str, *, after: int, deadline: float
    ) -> PlatformValue | None:
        """Wait until a value is newer than ``after``.

        Args:
            key: Name of the value.
            after: Modification counter of the value already held.
            deadline: Monotonic time in seconds at which the watch ends.

        Returns:
            The newer value, or None when the deadline passed without one or the key
            does not exist.

        Raises:
            PlatformError: No valid answer arrived before the end of the grace period
                after the deadline, 2 s by default.
        """
