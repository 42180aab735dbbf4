"""The simulated router fabric, which sprays packets over the instances."""

from collections.abc import Callable
from random import Random

from magnoliaslip.proof.network import CALLERS, Network

# Routers detect a failed or unreachable instance by missing keepalives.
FABRIC_DETECTION_DELAY_S = 1.0


class Fabric:
    """Forwards each packet to a random instance, independent of its flow.

    Packets of callers enter outside of all zones. Answers of a backend server enter
    in its zone, from which some instances may be unreachable.

    Args:
        network: The simulated network.
        rng: Random source of the spraying.
    """

    def __init__(self, network: Network, rng: Random) -> None:
        self._network = network
        self._rng = rng
        self._instances: dict[str, Callable[[bytes], None]] = {}
        self._candidates: dict[str, tuple[str, ...]] = {}

    def add(self, instance_id: str, receive: Callable[[bytes], None]) -> None:
        """Start to send packets to an instance immediately."""
        self._instances[instance_id] = receive
        self.refresh_reachability()

    def remove(self, instance_id: str) -> None:
        """Stop sending packets to an instance immediately.

        The calling code simulates the detection delay.
        """
        self._instances.pop(instance_id, None)
        self.refresh_reachability()

    def refresh_reachability(self) -> None:
        """Discard the cached sets of instances that each node can reach."""
        self._candidates.clear()

    def schedule_refresh(self) -> None:
        """Call `refresh_reachability` after the detection delay of the routers."""
        self._network.loop.call_later(
            FABRIC_DETECTION_DELAY_S, self.refresh_reachability
        )

    def forward_from_caller(self, packet: bytes) -> None:
        """Forward a packet of a caller to a random instance."""
        self._spray(CALLERS, packet)

    def forward_from_server(self, server: str, packet: bytes) -> None:
        """Forward an answer of a backend server to a random reachable instance.

        Args:
            server: Node name of the backend server.
            packet: The inner packet.
        """
        self._spray(server, packet)

    def _spray(self, src: str, packet: bytes) -> None:
        candidates = self._candidates.get(src)
        if candidates is None:
            candidates = tuple(
                i for i in self._instances if self._network.is_reachable(src, i)
            )
            self._candidates[src] = candidates
        if candidates:
            chosen = candidates[self._rng.randrange(len(candidates))]
            receive = self._instances.get(chosen)
            if receive is not None:
                self._network.send(src, chosen, receive, packet)
