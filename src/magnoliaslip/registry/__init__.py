"""Routes, services and registered backend servers, as read from the store.

It serves instances with server tags, on the fleet platform.
"""
