"""Forwarding of flows whose packets carry a tag of their backend server."""
