"""Addresses of a site's control hosts, and timeouts for dialling them."""

from __future__ import annotations

from tamarackthread.generated import settings as generated

# Longest backoff between dials.  Entries must learn within two seconds of a
# drain that was announced to a host that just restarted.
MAX_BACKOFF_SECONDS = 0.3
# Shorter than the kernel's one-second SYN retransmission, so that a host that
# was down during the first SYN is dialled again soon after it is back.
DIAL_TIMEOUT_SECONDS = 0.25


def host_of(address: str) -> str:
    """Return the host of HOST:PORT."""
    return address.rpartition(':')[0]


def link_addresses(site: generated.Site) -> list[str]:
    """Return the link addresses of the control hosts in the settings."""
    hosts = dict.fromkeys(host_of(seed) for seed in site.seeds)
    return [f'{host}:{site.link_port}' for host in hosts]
