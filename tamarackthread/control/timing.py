"""Hold the times and bounds of a replicated log."""

from __future__ import annotations

import attrs


@attrs.frozen
class Timing:
    """Bound how long members wait and how much they send at once.

    Times are in seconds of the event loop's clock.  ``drift`` is the greatest
    share by which two hosts' clocks may differ in rate; the leader's lease is
    shorter than the voters' silence by this share.  ``is_lease_trusted`` says
    whether reads rest on the leader's lease: not where a host may be suspended
    with its clock.  A voter that is silent for ``voter_timeout`` makes room for another
    that joins, and is let go while more than ``min_voters`` are left; 0
    leaves that to operators.

    A member that has no leader to wait for, because it has just started or its
    leader's process is gone, stands within ``short_election_max``.  0 makes it wait as if it
    had heard a leader a moment ago, which whoever counts on the lease needs.
    """

    heartbeat: float = 0.15
    election_min: float = 0.9
    election_max: float = 1.5
    drift: float = 0.1
    append_timeout: float = 3.0
    stall_timeout: float = 0.8
    batch_entries: int = 512
    batch_bytes: int = 256 << 10
    command_bytes: int = 512 << 10
    chunk_bytes: int = 256 << 10
    segment_bytes: int = 2 << 20
    snapshot_entries: int = 10_000
    snapshot_bytes: int = 8 << 20
    trailing_entries: int = 2_000
    reserve_bytes: int = 16 << 20
    pending_proposals: int = 8_192
    handover_timeout: float = 3.0
    is_lease_trusted: bool = True
    voter_timeout: float = 1.5
    min_voters: int = 0
    short_election_max: float = 0

    @property
    def lease(self) -> float:
        """Return how long one answered heartbeat keeps the leader sure."""
        return self.election_min * (1 - self.drift)

    @property
    def heartbeat_timeout(self) -> float:
        """Return how long one heartbeat is waited for before the next."""
        return 2 * self.heartbeat
