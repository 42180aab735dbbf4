"""Simulated peers that only reply, to test one real instance in a large group."""

from magnoliaslip.bench.sim_fleet import SimFleet
from magnoliaslip.core.group import MemberState
from magnoliaslip.peering.node import HEARTBEAT_INTERVAL_S
from magnoliaslip.peering.proto.peer_pb2 import Heartbeat, PeerMessage
from magnoliaslip.placement.replication import ack_message

INCARNATION = 1


class EchoPeer:
    """Sends heartbeats that list every member as received, and acknowledges logs.

    It reports no configuration version, so that no peer requests one from it.

    Args:
        name: Id of the peer.
        fleet: Fleet of the real instance.
        target: Id of the real instance.
    """

    __slots__ = ("_echo", "_fleet", "_name", "_number", "_received", "_target")

    def __init__(self, name: str, fleet: SimFleet, target: str) -> None:
        self._name = name
        self._fleet = fleet
        self._target = target
        self._number = 0
        self._echo = (0, 0)  # incarnation and number of the last heartbeat received
        self._received = sorted(fleet.entries.keys() - {name})
        fleet.network.add(name, fleet.entries[name].zone)
        fleet.receivers.messages[name] = self._receive
        offset = fleet.rng.uniform(0, HEARTBEAT_INTERVAL_S)
        fleet.loop.call_later(offset, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        self._number += 1
        heartbeat = Heartbeat(
            number=self._number,
            echo_incarnation=self._echo[0],
            echo_number=self._echo[1],
            state=int(MemberState.SERVING),
            instances_version=1,
            heard=self._received,
        )
        self._send(PeerMessage(heartbeat=heartbeat))
        self._fleet.loop.call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def _receive(self, data: bytes) -> None:
        msg = PeerMessage.FromString(data)
        body = msg.WhichOneof("body")
        if body == "heartbeat":
            self._echo = msg.incarnation, msg.heartbeat.number
        elif body == "log":
            log = msg.log
            last = log.first_sequence + len(log.buckets) + len(log.exceptions) - 1
            self._send(ack_message(last, msg.incarnation))

    def _send(self, msg: PeerMessage) -> None:
        msg.sender = self._name
        msg.incarnation = INCARNATION
        fleet = self._fleet
        receive = fleet.receivers.messages[self._target]
        data = msg.SerializeToString()
        fleet.network.send_stream(self._name, self._target, receive, data)
