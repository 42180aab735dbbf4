"""Processes that simulate the surroundings of instances with tunnels.

It starts such instances too, and runs experiments with them.
"""
