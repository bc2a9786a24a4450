"""Parse and compare addresses of an IP address and a port."""

from __future__ import annotations

import ipaddress

import attrs

MAX_PORT = 65535


@attrs.frozen
class Address:
    """An IP address and a port; the kernel chooses for port 0."""

    host: str
    port: int

    def __str__(self) -> str:
        """Return ``HOST:PORT``, with brackets around an IPv6 address."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'

    def overlaps(self, other: Address) -> bool:
        """Return whether the two can't be bound at the same time."""
        if not self.port or self.port != other.port:
            return False
        own_ip = ipaddress.ip_address(self.host)
        other_ip = ipaddress.ip_address(other.host)
        if own_ip == other_ip:
            return True
        return own_ip.is_unspecified or other_ip.is_unspecified


def parse(text: str) -> Address | None:
    """Parse ``HOST:PORT``; return ``None`` if invalid."""
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    if not is_ip(host) or not port.isascii() or not port.isdigit():
        return None
    if int(port) > MAX_PORT:
        return None
    return Address(host, int(port))


def is_ip(host: str) -> bool:
    """Return whether a host is an IP address and not a name."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
