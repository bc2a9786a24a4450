"""Define the timeouts and limits of a replicated log."""

from __future__ import annotations

import attrs


@attrs.frozen
class Timing:
    """Timeouts, in seconds of the event loop's clock, and limits."""

    heartbeat: float = 0.15
    election_min: float = 0.9
    election_max: float = 1.5
    drift: float = 0.1  # largest relative difference in clock rate
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
    # Off where a host may be suspended: reads then never rely on the lease.
    is_lease_trusted: bool = True
    # An unresponsive voter is replaced by a host that joins, or removed while
    # more than ``min_voters`` remain; 0 leaves removals to operators.
    voter_timeout: float = 1.5
    min_voters: int = 0
    # Election timeout without a leader to wait for; 0, which leases need, uses
    # the ordinary one.
    short_election_max: float = 0

    @property
    def lease(self) -> float:
        """Return the duration of the leader lease after one heartbeat."""
        return self.election_min * (1 - self.drift)

    @property
    def heartbeat_timeout(self) -> float:
        """Return the timeout of one heartbeat."""
        return 2 * self.heartbeat
