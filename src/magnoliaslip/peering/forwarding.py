"""Forwarding of messages to members that cannot be reached directly."""

from magnoliaslip.core.links import PeerLink
from magnoliaslip.peering.membership import Membership
from magnoliaslip.peering.proto.peer_pb2 import PeerMessage


class ForwardingLink(PeerLink):
    """Sets the sender of messages and sends them through another member if needed.

    While the direct path to a member is not confirmed in both directions, each
    message is sent directly and once more through a forwarding member. Messages are
    idempotent, and the direct one shows when the path works again.

    Args:
        link: Sends over the network.
        membership: Selects the forwarding members.
    """

    __slots__ = ("_link", "_membership")

    def __init__(self, link: PeerLink, membership: Membership) -> None:
        self._link = link
        self._membership = membership

    def send(self, instance_id: str, msg: PeerMessage) -> None:
        """Set the sender and incarnation of a message and send it."""
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
        """Send a message of another instance directly to its addressee.

        ``forward_to`` stays set: it shows the addressee that the message was forwarded.
        """
        self._link.send(msg.forward_to, msg)
