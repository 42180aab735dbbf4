"""Deployments in virtual time, faults in them and rules for their histories.

The package covers instances with tunnels; those with server tags record no history.
"""
