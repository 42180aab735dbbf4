"""Heartbeats, membership and the spread of tables, between instances with tunnels.

Instances with server tags use `magnoliaslip.gossip` instead.
"""
