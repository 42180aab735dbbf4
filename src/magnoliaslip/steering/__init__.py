"""Forwarding of flows whose packets carry the tag of their backend server.

It serves instances with server tags, on the fleet platform.
"""
