"""Transport addresses."""

from typing import NamedTuple, Self

from magnoliaslip.core.address_text import split_address


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
            ValueError: The host is not an IP address or the port is out of range.
        """
        return cls(*split_address(text))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"
