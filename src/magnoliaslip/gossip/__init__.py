"""Gossip between instances that steer by server tags: loads, evidence, revisions.

Everything is best effort. An instance that receives no digests continues with its own
state.
"""
