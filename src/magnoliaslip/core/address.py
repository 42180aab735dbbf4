"""Transport addresses."""

from socket import AF_INET, AF_INET6, inet_ntop, inet_pton
from typing import NamedTuple, Self


class Address(NamedTuple):
    """An IP address with a port, usable as a socket address.

    >>> Address.parse("127.0.0.1:7001")
    Address(host='127.0.0.1', port=7001)
    >>> str(Address("::1", 80))
    '[::1]:80'
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse ``host:port`` or ``[host]:port``.

        Raises:
            ValueError: The host is no IP address or the port is out of range.
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
        return cls(host, port)

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
