"""State machine of a member's role: follower, candidate or leader."""

from __future__ import annotations

import logging

import transitions

# The library logs each transition at INFO, without group or term.
logging.getLogger('transitions').setLevel(logging.WARNING)

FOLLOWER = 'follower'
CANDIDATE = 'candidate'
LEADER = 'leader'

_TRANSITIONS = (
    ('stand', FOLLOWER, CANDIDATE),
    ('win', CANDIDATE, LEADER),
    ('follow', (FOLLOWER, CANDIDATE, LEADER), FOLLOWER),
)


class MemberRole:
    """Role of a member; a learner is a follower that is never a candidate."""

    state: str

    def __init__(self) -> None:
        """Start as a follower."""
        self._machine = transitions.Machine(
            model=self,
            states=[FOLLOWER, CANDIDATE, LEADER],
            transitions=[list(row) for row in _TRANSITIONS],
            initial=FOLLOWER,
            auto_transitions=False,
        )

    def move(self, trigger: str) -> None:
        """Trigger ``stand``, ``win`` or ``follow``; raises if invalid."""
        self._machine.events[trigger].trigger(self)

    @property
    def leads(self) -> bool:
        """Return whether this member is the leader."""
        return self.state == LEADER
