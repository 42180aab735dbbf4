"""Parsing of addresses with ports.

Separate from `Address`, which imports `typing`: an instance opens its sockets before
it loads other modules.
"""

from socket import AF_INET, AF_INET6, inet_ntop, inet_pton


def split_address(text: str) -> tuple[str, int]:
    """Return host and port of ``host:port`` or ``[host]:port``.

    Raises:
        ValueError: The host is not an IP address or the port is out of range.

    >>> split_address("[::1]:80")
    ('::1', 80)
    """
    host, separator, port_text = text.rpartition(":")
    if not separator or not port_text.isascii() or not port_text.isdigit():
        raise ValueError(f"{text!r} is not of the form ADDRESS:PORT")
    host = host.strip("[]")
    family = AF_INET6 if ":" in host else AF_INET
    try:
        host = inet_ntop(family, inet_pton(family, host))
    except OSError as exc:
        raise ValueError(f"{host!r} is not an IP address") from exc
    port = int(port_text)
    if not 0 < port < 65536:
        raise ValueError(f"port {port} is not between 1 and 65535")
    return host, port
