"""Record the first, final decision on each switch of a group's expert map.

Ranks that hold at the switch step ask for it; a second, different decision
would split the group.
"""

from __future__ import annotations

import collections
import collections.abc

from tamarackthread.control import leases
from tamarackthread.generated.messages import ttypes as messages

MAX_PER_GROUP = 16
# Switch id that stands for the highest recorded one; never recorded itself.
LATEST = 0


class Decisions:
    """Hold the last ``MAX_PER_GROUP`` decisions of each group by switch id."""

    def __init__(self, table: leases.LeaseTable) -> None:
        """Check fencing tokens against the lease named like the group."""
        self._table = table
        self._groups: dict[
            str,
            collections.OrderedDict[int, messages.DecisionRequest],
        ] = {}

    def lookup(
        self,
        request: messages.DecisionRequest,
    ) -> messages.DecisionReply:
        """Return the decision on a switch, empty if none; id 0 reads the latest.

        ``recorded`` is set if the decision is the sender's own.
        """
        recorded_switches = self._groups.get(request.group, {})
        switch = request.switch_id or max(recorded_switches, default=LATEST)
        record = recorded_switches.get(switch)
        if record is None:
            return _reply(switch)
        is_own = (record.decision, record.fence) == (
            request.decision,
            request.fence,
        )
        return _reply(switch, record.decision, record.body, is_own)

    def decide(
        self,
        request: messages.DecisionRequest,
    ) -> messages.DecisionReply:
        """Record a decision unless there is one; return the recorded one.

        A stale fencing token is refused: a deposed owner decides nothing.
        """
        found = self.lookup(request)
        is_read = not request.decision or not request.switch_id
        if found.decision or is_read:
            return found
        record = self._table.get(request.group)
        if record is None or record.fence != request.fence:
            return found
        group = self._groups.setdefault(
            request.group,
            collections.OrderedDict(),
        )
        group[request.switch_id] = request
        if len(group) > MAX_PER_GROUP:
            group.popitem(last=False)
        return self.lookup(request)

    def everything(self) -> list[messages.DecisionRequest]:
        """List all decisions."""
        return [
            record
            for group in self._groups.values()
            for record in group.values()
        ]

    def replace(
        self,
        records: collections.abc.Iterable[messages.DecisionRequest],
    ) -> None:
        """Replace all decisions by those of a snapshot."""
        self._groups.clear()
        for record in records:
            group = self._groups.setdefault(
                record.group,
                collections.OrderedDict(),
            )
            group[record.switch_id] = record


def _reply(
    switch: int,
    decision: str = '',
    body: str = '',
    recorded: bool = False,
) -> messages.DecisionReply:
    return messages.DecisionReply(
        decision=decision,
        switch_id=switch,
        body=body,
        recorded=recorded,
    )
