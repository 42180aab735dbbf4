"""Measurements behind the figures of ``docs/CAPACITY.md``.

`start` and `log_lines` measure instances with server tags, the other sections measure
instances with tunnels.
"""
