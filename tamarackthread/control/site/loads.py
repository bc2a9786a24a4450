"""Sum the calls that all entries have at each target."""

from __future__ import annotations

import asyncio
import collections

import attrs

from tamarackthread.generated.messages import ttypes as messages

# An entry that says nothing for so long counts for nothing.  It speaks many
# times as often; one that was killed has closed its connections to targets,
# which stop work on its calls.
SILENT_SECONDS = 1.5


@attrs.define(eq=False)
class _Share:
    """Be what one entry has told last."""

    calls: dict[str, int]
    heard_at: float


class Loads:
    """Hold the sums, and tell each entry what has changed.

    An entry sees its own calls only.  Of many entries before a large group
    each sees a small part of the calls, and sends the next to a rank that
    others have filled while a place is free elsewhere.
    """

    def __init__(self, epoch: int) -> None:
        """Begin without calls; ``epoch`` names this start of the host."""
        self._epoch = epoch
        self._shares: dict[str, _Share] = {}
        self._sums: collections.Counter[str] = collections.Counter()
        self._changed_at: dict[str, int] = {}
        self._serial = 0

    def answer(
        self,
        entry: str,
        asked: messages.SiteLoadRequest,
    ) -> messages.SiteLoadReply:
        """Take what an entry tells and reply what has changed for it.

        The sums in the reply have the entry's own calls in them, as it has
        just told them.
        """
        now = asyncio.get_running_loop().time()
        self._put(entry, {row.id: row.calls for row in asked.own}, now)
        self._forget_silent(now)
        known = asked.serial if asked.epoch == self._epoch else 0
        return messages.SiteLoadReply(
            epoch=self._epoch,
            serial=self._serial,
            changed=[
                messages.SiteCalls(id=target, calls=self._sums[target])
                for target, serial in self._changed_at.items()
                if serial > known
            ],
        )

    def _put(self, entry: str, calls: dict[str, int], now: float) -> None:
        held = self._shares.get(entry)
        before = {} if held is None else held.calls
        self._shares[entry] = _Share(calls, now)
        for target in before.keys() | calls.keys():
            change = calls.get(target, 0) - before.get(target, 0)
            if change:
                self._serial += 1
                self._sums[target] += change
                self._changed_at[target] = self._serial

    def _forget_silent(self, now: float) -> None:
        for entry, share in tuple(self._shares.items()):
            if now - share.heard_at > SILENT_SECONDS:
                self._put(entry, {}, now)
                self._shares.pop(entry)
