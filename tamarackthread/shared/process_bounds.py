"""Derive what a process may hold from what its machine has."""

from __future__ import annotations

import resource

import attrs

from tamarackthread.generated import settings as generated
from tamarackthread.shared import connection_table

MEBIBYTE = 1 << 20
# Share of the memory for what clients make a process hold; the rest is for the
# process itself and for what allocation adds.
HELD_SHARE = 0.3
# Descriptors for files, and for links to other processes.
FILE_DESCRIPTORS = 200
LINK_DESCRIPTORS = 32
MIN_CONNECTIONS = 8
# For a server whose few clients are part of the site's equipment.
FEW = connection_table.Bounds(connections=32, held_bytes=4 * MEBIBYTE)


@attrs.frozen
class ProcessBounds:
    """What one process may use."""

    memory_bytes: int = 200 * MEBIBYTE
    descriptors: int = 4100

    @property
    def held_bytes(self) -> int:
        """Return how many bytes clients may make the process hold."""
        return int(HELD_SHARE * self.memory_bytes)

    @property
    def clients(self) -> connection_table.Bounds:
        """Return the bounds of the server for clients in general.

        Half of the descriptors are left for what is done for clients.
        """
        sockets = self.descriptors - FILE_DESCRIPTORS
        connections = min(
            sockets // 2 - LINK_DESCRIPTORS,
            self.held_bytes // connection_table.ORDINARY_BYTES,
        )
        return connection_table.Bounds(
            connections=max(MIN_CONNECTIONS, connections),
            held_bytes=self.held_bytes,
        )

    @property
    def handshakes(self) -> int:
        """Return how many peers may be unknown at a time."""
        sockets = self.descriptors - FILE_DESCRIPTORS
        return max(MIN_CONNECTIONS, sockets // 4 - LINK_DESCRIPTORS)


# Of a small machine.
SMALL = ProcessBounds().clients


def of(site: generated.Site) -> ProcessBounds:
    """Return the bounds by the settings and by the system's own limit."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = site.file_descriptors
    if soft_limit != resource.RLIM_INFINITY:
        descriptors = min(descriptors, soft_limit)
    return ProcessBounds(
        memory_bytes=site.memory_megabytes * MEBIBYTE,
        descriptors=descriptors,
    )
