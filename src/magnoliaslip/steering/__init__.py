"""Forwarding of flows whose packets carry the tag of their backend server."""
