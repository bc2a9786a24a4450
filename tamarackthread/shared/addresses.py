"""Check addresses: IP numbers and ports, and whether two of them overlap."""

from __future__ import annotations

import ipaddress

import attrs

MAX_PORT = 65535


@attrs.frozen
class Address:
    """An IP number and a port; port 0 is picked by the kernel."""

    host: str
    port: int

    def __str__(self) -> str:
        """Give the usual form, with brackets around an IPv6 number."""
        host = f'[{self.host}]' if ':' in self.host else self.host
        return f'{host}:{self.port}'

    def overlaps(self, other: Address) -> bool:
        """Tell whether both can't be listened on at once."""
        if not self.port or self.port != other.port:
            return False
        mine = ipaddress.ip_address(self.host)
        theirs = ipaddress.ip_address(other.host)
        if mine == theirs:
            return True
        return mine.is_unspecified or theirs.is_unspecified


def parse(text: str) -> Address | None:
    """Read ``HOST:PORT``, or return ``None`` for anything else."""
    host, _, port = text.rpartition(':')
    host = host.removeprefix('[').removesuffix(']')
    if not is_ip(host) or not port.isascii() or not port.isdigit():
        return None
    if int(port) > MAX_PORT:
        return None
    return Address(host, int(port))


def is_ip(host: str) -> bool:
    """Tell whether a host is an IP number; names need a resolver."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True
