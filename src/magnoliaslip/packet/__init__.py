"""Bytes of inner packets and tunnels; only instances with tunnels forward these."""
