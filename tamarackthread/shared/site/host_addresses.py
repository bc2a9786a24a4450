"""Work out where the hosts of a site are reached."""

from __future__ import annotations

from tamarackthread.generated import settings as generated

# A host that is back is dialled within so many seconds: a target may say its
# farewell to it at once, and entries must hear of that within two seconds.
MAX_BACKOFF_SECONDS = 0.3
# A host that has no power yet drops the first packet of a connection, and the
# kernel sends the next one a second later.  Dialled anew after this, it is
# reached a quarter of a second after it is back; its answer takes some
# milliseconds.
DIAL_TIMEOUT_SECONDS = 0.25


def host_of(address: str) -> str:
    """Give the host of HOST:PORT."""
    return address.rpartition(':')[0]


def link_addresses(site: generated.Site) -> list[str]:
    """List where the control hosts of the settings accept links."""
    hosts = dict.fromkeys(host_of(seed) for seed in site.seeds)
    return [f'{host}:{site.link_port}' for host in hosts]
