"""Define the record of a map switch.  Control stores it as two write-once
decisions: the intent, before any rank arms, and the outcome.
"""

from __future__ import annotations

import enum
import json

import attrs

from tamarackthread.agent import order_errors
from tamarackthread.generated.messages import ttypes as messages

LATEST = 0


class Stage(enum.Enum):
    """Stage of a switch; the value is what control stores."""

    PREPARED = 'prepare'
    COMMITTED = 'commit'
    ABORTED = 'abort'


@attrs.frozen
class SwitchRecord:
    """One switch from map ``base`` to ``target``, given by their digests, at
    step ``from_step``.
    """

    number: int
    stage: Stage
    from_step: int
    base: str
    target: str

    @property
    def is_open(self) -> bool:
        """Tell whether the switch is undecided."""
        return self.stage is Stage.PREPARED

    @property
    def order(self) -> tuple[int, bool]:
        """Return the sort key; a later record replaces earlier ones."""
        return self.number, not self.is_open

    @property
    def settled_map(self) -> str:
        """Return the digest of the map in force, the base while undecided."""
        if self.stage is Stage.COMMITTED:
            return self.target
        return self.base

    def map_at(self, step: int) -> str | None:
        """Return the map for a step, ``None`` to hold at this step."""
        if step < self.from_step or self.stage is Stage.ABORTED:
            return self.base
        if self.stage is Stage.COMMITTED:
            return self.target
        return None

    def with_outcome(self, stage: Stage) -> 'SwitchRecord':
        """Return the same switch with another stage."""
        return attrs.evolve(self, stage=stage)

    def outcome_from(self, latest: 'SwitchRecord') -> 'SwitchRecord | None':
        """Derive the outcome from the group's latest record.  A later switch
        needs this rank's arm, so its base is the result of this one.
        """
        if latest.number < self.number:
            return None
        if latest.number == self.number:
            return None if latest.is_open else latest
        if latest.base == self.target:
            return self.with_outcome(Stage.COMMITTED)
        return self.with_outcome(Stage.ABORTED)

    def to_json(self) -> str:
        """Serialize the record for a message's body."""
        fields = attrs.asdict(self)
        return json.dumps({**fields, 'stage': self.stage.value})

    def to_request(self, group: str, fence: int) -> messages.DecisionRequest:
        """Build the request that records this stage at control."""
        return messages.DecisionRequest(
            group=group,
            fence=fence,
            switch_id=2 * self.number - int(self.is_open),
            decision=self.stage.value,
            body=self.to_json(),
        )


def from_json(text: str) -> SwitchRecord:
    """Parse a record; raise ``OrderInvalid`` if malformed."""
    try:
        fields = json.loads(text)
        stage = Stage(fields.pop('stage'))
        return SwitchRecord(stage=stage, **fields)
    except (ValueError, KeyError, TypeError) as exc:
        raise order_errors.OrderInvalid(
            f'malformed switch record: {exc}'
        ) from exc


def from_reply(reply: messages.DecisionReply) -> SwitchRecord | None:
    """Parse control's reply; ``None`` if there is no record."""
    if not reply.decision:
        return None
    return from_json(reply.body)
