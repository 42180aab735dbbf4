"""The process that forwards packets with server tags."""
