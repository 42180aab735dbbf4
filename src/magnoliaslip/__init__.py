"""A layer-4 load balancer whose instances share no stored state."""

__version__ = "0.1.0"
