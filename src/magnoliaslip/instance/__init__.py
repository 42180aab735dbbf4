"""The process ``magnoliaslip-instance``, which forwards packets through tunnels.

The process that forwards packets with server tags is `magnoliaslip.runtime`.
"""
