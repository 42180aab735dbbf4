"""Processes that simulate the surroundings of instances with tunnels.

The package also starts such instances and runs experiments with them.
"""
