"""The command ``magnoliaslip-ops``, with which operators check and query.

Its ``steering`` commands serve instances with server tags, all others instances with
tunnels.
"""
