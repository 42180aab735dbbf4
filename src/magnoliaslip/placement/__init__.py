"""Owners, flow records and the choice of servers, for instances with tunnels.

Instances with server tags use only `hashing`, in `magnoliaslip.gossip`.
"""
