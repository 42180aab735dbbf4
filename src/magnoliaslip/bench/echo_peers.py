"""Minimal simulated peers, to measure one instance in a large group."""

from magnoliaslip.bench.sim_fleet import SimFleet
from magnoliaslip.core.group import MemberState
from magnoliaslip.peering.node import HEARTBEAT_INTERVAL_S
from magnoliaslip.peering.proto.peer_pb2 import Heartbeat, PeerMessage
from magnoliaslip.placement.replication import ack_message

INCARNATION = 1


class EchoPeer:
    """Sends heartbeats to one instance and acknowledges its replication logs.

    The heartbeats report that every other member is received directly. They contain no
    configuration version, so that the instance requests none from the peer.

    Args:
        peer_id: Id of the peer.
        fleet: Fleet of the instance.
        instance_id: Id of the instance.
    """

    __slots__ = (
        "_fleet",
        "_instance_id",
        "_last_heartbeat",
        "_number",
        "_peer_id",
        "_receives_from",
    )

    def __init__(self, peer_id: str, fleet: SimFleet, instance_id: str) -> None:
        self._peer_id = peer_id
        self._fleet = fleet
        self._instance_id = instance_id
        self._number = 0
        # Incarnation and number of the last heartbeat received.
        self._last_heartbeat = (0, 0)
        self._receives_from = sorted(fleet.entries.keys() - {peer_id})
        fleet.network.add(peer_id, fleet.entries[peer_id].zone)
        fleet.receivers.message_handlers[peer_id] = self._receive
        offset = fleet.rng.uniform(0, HEARTBEAT_INTERVAL_S)
        fleet.loop.call_later(offset, self._send_heartbeat)

    def _send_heartbeat(self) -> None:
        self._number += 1
        heartbeat = Heartbeat(
            number=self._number,
            echo_incarnation=self._last_heartbeat[0],
            echo_number=self._last_heartbeat[1],
            state=int(MemberState.SERVING),
            instances_version=1,
            heard=self._receives_from,
        )
        self._send(PeerMessage(heartbeat=heartbeat))
        self._fleet.loop.call_later(HEARTBEAT_INTERVAL_S, self._send_heartbeat)

    def _receive(self, data: bytes) -> None:
        msg = PeerMessage.FromString(data)
        body = msg.WhichOneof("body")
        if body == "heartbeat":
            self._last_heartbeat = msg.incarnation, msg.heartbeat.number
        elif body == "log":
            log = msg.log
            last = log.first_sequence + len(log.buckets) + len(log.exceptions) - 1
            self._send(ack_message(last, msg.incarnation))

    def _send(self, msg: PeerMessage) -> None:
        msg.sender = self._peer_id
        msg.incarnation = INCARNATION
        fleet = self._fleet
        receive = fleet.receivers.message_handlers[self._instance_id]
        data = msg.SerializeToString()
        fleet.network.send_stream(self._peer_id, self._instance_id, receive, data)
