"""Gossip between instances with server tags: loads, evidence and revisions.

Everything is best effort. An instance that receives no digests continues with its own
state. Instances with tunnels use `magnoliaslip.peering` instead.
"""
