"""Measurements behind the figures of ``docs/CAPACITY.md``."""
