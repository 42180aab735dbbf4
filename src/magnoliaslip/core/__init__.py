"""Errors, log events, clocks, HTTP and interfaces that all other packages use.

It serves instances with tunnels and instances with server tags.
"""
