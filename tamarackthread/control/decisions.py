"""Keep the first decision on each switch of a group's expert map.

A switch is decided once.  Ranks that hold at the switch step ask what was
decided, so a second, different decision would split the group.
"""

from __future__ import annotations

import collections
import collections.abc

from tamarackthread.control import leases
from tamarackthread.generated.messages import ttypes as messages

MAX_PER_GROUP = 16
# Asks for the highest id of a group; nothing is ever recorded under it.
LATEST = 0


class Decisions:
    """Hold the latest decisions of each group by switch."""

    def __init__(self, table: leases.LeaseTable) -> None:
        """Check fencing numbers against the leases of ``table``.

        A group's owner holds the lease that has the group's name.
        """
        self._table = table
        self._groups: dict[
            str,
            collections.OrderedDict[int, messages.DecisionRequest],
        ] = {}

    def lookup(
        self,
        request: messages.DecisionRequest,
    ) -> messages.DecisionReply:
        """Say what is decided about a switch; an empty decision is none.

        Id 0 asks for the group's latest: a rank that lost its memory does
        not know which switch it might have armed for.
        ``recorded`` tells whether it is the asker's own, so that an owner
        that lost the answer learns that its decision stands.
        """
        kept = self._groups.get(request.group, {})
        switch = request.switch_id or max(kept, default=LATEST)
        record = kept.get(switch)
        if record is None:
            return _reply(switch)
        own = (record.decision, record.fence) == (
            request.decision,
            request.fence,
        )
        return _reply(switch, record.decision, record.body, own)

    def decide(
        self,
        request: messages.DecisionRequest,
    ) -> messages.DecisionReply:
        """Record a decision unless there is one; reply with the one in force.

        An owner whose fencing number is no longer the group's decides
        nothing: it may act on what it knew before it was cut off.
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
        """List all decisions that are kept."""
        return [
            record
            for group in self._groups.values()
            for record in group.values()
        ]

    def replace(
        self,
        records: collections.abc.Iterable[messages.DecisionRequest],
    ) -> None:
        """Take the decisions of a snapshot."""
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
