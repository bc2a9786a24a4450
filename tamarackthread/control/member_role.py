"""Track the role of a member in its group."""

from __future__ import annotations

import logging

import transitions

# The library notes each move at INFO, which says nothing of group or term.
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
    """Follower, candidate or leader; a wrong move raises.

    A learner is a follower that doesn't stand.
    """

    state: str

    def __init__(self) -> None:
        """Begin as a follower."""
        self._machine = transitions.Machine(
            model=self,
            states=[FOLLOWER, CANDIDATE, LEADER],
            transitions=[list(row) for row in _TRANSITIONS],
            initial=FOLLOWER,
            auto_transitions=False,
        )

    def move(self, trigger: str) -> None:
        """Take one step: ``stand``, ``win`` or ``follow``."""
        self._machine.events[trigger].trigger(self)

    @property
    def leads(self) -> bool:
        """Say whether this member was elected and has not stepped down."""
        return self.state == LEADER
