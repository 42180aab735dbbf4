"""The simulated router fabric that sprays packets over the instances."""

from collections.abc import Callable
from random import Random

from magnoliaslip.proof.network import CALLERS, Network

# Routers notice a dead or unreachable instance by missing keepalives.
FABRIC_LAG_S = 1.0


class Fabric:
    """Hands any packet of any flow to any instance, at random.

    Packets of callers enter in front of all zones. Answers of a backend server enter
    in its zone, from where only some instances may be reachable.

    Args:
        network: The simulated network.
        rng: Random source of the spraying.
    """

    def __init__(self, network: Network, rng: Random) -> None:
        self._network = network
        self._rng = rng
        self._instances: dict[str, Callable[[bytes], None]] = {}
        self._known: dict[str, tuple[str, ...]] = {}

    def add(self, instance_id: str, receive: Callable[[bytes], None]) -> None:
        """Begin to spray packets to an instance; at once."""
        self._instances[instance_id] = receive
        self.refresh()

    def remove(self, instance_id: str) -> None:
        """Stop spraying to an instance; at once, the caller models the lag."""
        self._instances.pop(instance_id, None)
        self.refresh()

    def refresh(self) -> None:
        """Notice which instances each place reaches now."""
        self._known.clear()

    def refresh_late(self) -> None:
        """Call `refresh` once the routers have noticed a change of reachability."""
        self._network.loop.call_later(FABRIC_LAG_S, self.refresh)

    def from_caller(self, packet: bytes) -> None:
        """Hand a caller's packet to any instance."""
        self._spray(CALLERS, packet)

    def from_server(self, server: str, packet: bytes) -> None:
        """Hand an answer of a backend server to an instance that its zone reaches.

        Args:
            server: Network name of the backend server.
            packet: The inner packet.
        """
        self._spray(server, packet)

    def _spray(self, src: str, packet: bytes) -> None:
        known = self._known.get(src)
        if known is None:
            known = tuple(i for i in self._instances if self._network.reachable(src, i))
            self._known[src] = known
        if known:
            chosen = known[self._rng.randrange(len(known))]
            receive = self._instances.get(chosen)
            if receive is not None:
                self._network.send(src, chosen, receive, packet)
