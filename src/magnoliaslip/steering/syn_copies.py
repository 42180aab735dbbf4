"""Copies of a SYN that a caller sends while it has no answer."""

# Times in seconds from the first SYN, and from each copy, until the caller sends the
# next one; after the last copy, until it gives up (protocol).
NEXT_COPY_DELAYS_S = (0.2, 0.4, 0.8)
# Copies of a SYN are sent, and answers to it accepted, for this time in seconds.
SYN_LIFETIME_S = sum(NEXT_COPY_DELAYS_S)
# An answer reaches the caller within this time in seconds after its SYN was forwarded:
# a round trip to another zone takes at most about 20 ms.
ANSWER_TIME_S = 0.05


def may_be_superseded(retransmission: int, max_wait_s: float) -> bool:
    """Check whether the caller of a SYN may have sent a later copy of it by now.

    Answers the load pattern of an instance that was frozen, or is starting, while SYNs
    waited in its receive queue. The routers may have sent their copies to another
    instance, which has opened the flows on other servers. A server that gets such a
    SYN now answers as well, and the caller repeats the tag of the last answer: its
    next packet then reaches a server that does not have the flow. The copy opens the
    flow, so the SYN is not needed.

    Args:
        retransmission: Number of earlier transmissions of the SYN.
        max_wait_s: Longest time in seconds that the SYN may have waited.

    >>> may_be_superseded(0, max_wait_s=0.1), may_be_superseded(0, max_wait_s=0.2)
    (False, True)
    >>> may_be_superseded(1, max_wait_s=0.2), may_be_superseded(1, max_wait_s=0.4)
    (False, True)
    """
    last = len(NEXT_COPY_DELAYS_S) - 1
    delay_s = NEXT_COPY_DELAYS_S[min(retransmission, last)]
    return max_wait_s + ANSWER_TIME_S > delay_s
