"""Settings files and published tables, for instances with tunnels.

Instances with server tags use only its JSON with comments, its errors of settings and
its HTTP client.
"""
