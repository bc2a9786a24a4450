"""Describe a switch of the expert map as control records it.

Control keeps the first decision under each id of a group and never changes
it.  Switch ``number`` uses two ids: ``2 * number - 1`` for the intent, which
is recorded before any rank arms, and ``2 * number`` for its outcome.  A rank
that lost its memory reads the latest id and so cannot miss an open switch.
"""

from __future__ import annotations

import enum
import json

import attrs

from tamarackthread.agent import order_errors
from tamarackthread.generated.messages import ttypes as messages

LATEST = 0


class Stage(enum.Enum):
    """Say how far a switch has come; the value is control's word for it."""

    PREPARED = 'prepare'
    COMMITTED = 'commit'
    ABORTED = 'abort'


@attrs.frozen
class SwitchRecord:
    """One switch: maps are named by their digests.

    ``target`` serves from step ``from_step`` on if the switch is committed.
    """

    number: int
    stage: Stage
    from_step: int
    base: str
    target: str

    @property
    def is_open(self) -> bool:
        """Tell whether the outcome is still to be decided."""
        return self.stage is Stage.PREPARED

    @property
    def order(self) -> tuple[int, bool]:
        """Return the place in time; a later record replaces earlier ones."""
        return self.number, not self.is_open

    @property
    def settled_map(self) -> str:
        """Return the digest of the map that serves in the end."""
        if self.stage is Stage.COMMITTED:
            return self.target
        return self.base

    def map_at(self, step: int) -> str | None:
        """Return the map for a step; ``None`` means to hold at this step."""
        if step < self.from_step or self.stage is Stage.ABORTED:
            return self.base
        if self.stage is Stage.COMMITTED:
            return self.target
        return None

    def with_outcome(self, stage: Stage) -> 'SwitchRecord':
        """Return the same switch with an outcome."""
        return attrs.evolve(self, stage=stage)

    def outcome_from(self, latest: 'SwitchRecord') -> 'SwitchRecord | None':
        """Work out how this switch ended from the group's latest record.

        Asked by a rank that armed for this switch: no later switch can have
        been committed without it, so the map that a later one starts from is
        the one that this switch ended with.
        """
        if latest.number < self.number:
            return None
        if latest.number == self.number:
            return None if latest.is_open else latest
        if latest.base == self.target:
            return self.with_outcome(Stage.COMMITTED)
        return self.with_outcome(Stage.ABORTED)

    def to_json(self) -> str:
        """Write the record for a message's body."""
        fields = attrs.asdict(self)
        return json.dumps({**fields, 'stage': self.stage.value})

    def to_request(self, group: str, fence: int) -> messages.DecisionRequest:
        """Build the request that makes the record durable."""
        return messages.DecisionRequest(
            group=group,
            fence=fence,
            switch_id=2 * self.number - int(self.is_open),
            decision=self.stage.value,
            body=self.to_json(),
        )


def from_json(text: str) -> SwitchRecord:
    """Read a record; raise ``OrderInvalid`` on nonsense."""
    try:
        fields = json.loads(text)
        stage = Stage(fields.pop('stage'))
        return SwitchRecord(stage=stage, **fields)
    except (ValueError, KeyError, TypeError) as exc:
        raise order_errors.OrderInvalid(f'switch record: {exc}') from exc


def from_reply(reply: messages.DecisionReply) -> SwitchRecord | None:
    """Read what control recorded; ``None`` when it recorded nothing."""
    if not reply.decision:
        return None
    return from_json(reply.body)
