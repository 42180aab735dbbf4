"""Sending to members that cannot be reached directly."""

from magnoliaslip.core.links import PeerLink
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.proto.peer_pb2 import PeerMessage


class ForwardingLink(PeerLink):
    """Stamps messages and sends them through a third member where needed.

    While the direct way to a member is not confirmed in both directions, each
    message goes directly and once more through a third member. Messages are safe
    to repeat, and the direct copy shows when the way works again.

    Args:
        link: Sends over the network.
        membership: Knows who hears whom.
    """

    __slots__ = ("_link", "_membership")

    def __init__(self, link: PeerLink, membership: Membership) -> None:
        self._link = link
        self._membership = membership

    def send(self, instance_id: str, msg: PeerMessage) -> None:
        """Send a message of this instance; sets its sender and incarnation."""
        msg.sender = self._membership.instance_id
        msg.incarnation = self._membership.incarnation
        self._link.send(instance_id, msg)
        forwarder = self._membership.forwarding_member(instance_id)
        if forwarder is not None:
            forwarded = PeerMessage()
            forwarded.CopyFrom(msg)
            forwarded.forward_to = instance_id
            self._link.send(forwarder, forwarded)

    def forward(self, msg: PeerMessage) -> None:
        """Send a message of another instance to its addressee, directly only."""
        self._link.send(msg.forward_to, msg)
