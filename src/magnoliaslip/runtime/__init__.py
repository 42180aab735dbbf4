"""The process that forwards packets with server tags, on the fleet platform.

The process that forwards packets through tunnels is `magnoliaslip.instance`.
"""
