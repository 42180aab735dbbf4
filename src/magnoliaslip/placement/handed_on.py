"""Exceptions that this instance has handed on to other members."""

from collections import OrderedDict

MAX_HANDED_ON_FLOWS = 4_096


class HandedOnExceptions:
    """Tracks which members received an exception from here, bounded in flows.

    The owner's removal may reach such a member before the exception does, or not at
    all. The removal that this instance then sends follows the exception in the same
    log.

    >>> handed_on = HandedOnExceptions()
    >>> handed_on.add(b"flow", "i4", "kd-5", 20.0)
    >>> handed_on.take(b"flow", "kd-5", 15.0)
    []
    >>> handed_on.take(b"flow", "kd-6", 15.0)
    [('i4', 'kd-5')]
    >>> handed_on.take(b"flow", "kd-6", 15.0)
    []
    """

    __slots__ = ("_flows",)

    def __init__(self) -> None:
        # For each flow, the server that each member received, and the deadline.
        self._flows: OrderedDict[bytes, dict[str, tuple[str, float]]] = OrderedDict()

    def add(self, key: bytes, peer: str, server: str, deadline: float) -> None:
        """Add an exception that was handed on.

        Args:
            key: Flow key.
            peer: The member that receives the exception.
            server: Name of the server.
            deadline: Monotonic time in seconds from which it is not tracked any more.
        """
        self._flows.setdefault(key, {})[peer] = server, deadline
        self._flows.move_to_end(key)
        if len(self._flows) > MAX_HANDED_ON_FLOWS:
            self._flows.popitem(last=False)

    def take(self, key: bytes, server: str, now: float) -> list[tuple[str, str]]:
        """Remove and return the members that received another server, and that server.

        Args:
            key: Flow key.
            server: Name of the present server; empty without one.
            now: Monotonic time in seconds.
        """
        peers = self._flows.get(key)
        if peers is None:
            return []
        outdated = []
        for peer, (former, deadline) in list(peers.items()):
            if now >= deadline:
                del peers[peer]
            elif former != server:
                del peers[peer]
                outdated.append((peer, former))
        if not peers:
            del self._flows[key]
        return outdated
