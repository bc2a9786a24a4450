"""Sum the calls that all entries have and had at each target."""

from __future__ import annotations

import asyncio

import attrs

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import poison_calls

# An entry that says nothing for so long counts for nothing.  It speaks many
# times as often; one that was killed has closed its connections to targets,
# which stop work on its calls.
SILENT_SECONDS = 1.5


@attrs.frozen
class Sum:
    """Calls at a target, and those that ended there of late."""

    calls: int = 0
    answered: int = 0
    failed: int = 0

    def changed(self, before: Sum, after: Sum) -> Sum:
        """Return the sum with one part of it changed."""
        return Sum(
            self.calls + after.calls - before.calls,
            self.answered + after.answered - before.answered,
            self.failed + after.failed - before.failed,
        )


@attrs.define(eq=False)
class _Share:
    """What one entry has told last."""

    rows: dict[str, Sum]
    heard_at: float
    suspects: tuple[messages.SiteSuspect, ...] = ()
    suspects_at: float = 0


_NONE = Sum()


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
        self._sums: dict[str, Sum] = {}
        self._changed_at: dict[str, int] = {}
        self._serial = 0
        self._suspects_serial = 0

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
        rows = {
            row.id: Sum(row.calls, row.answered or 0, row.failed or 0)
            for row in asked.own
        }
        self._put(entry, rows, now)
        if asked.suspects is not None:
            self._shares[entry].suspects = tuple(asked.suspects)
            self._shares[entry].suspects_at = now
            self._suspects_serial += 1
        self._forget_silent(now)
        is_known = asked.epoch == self._epoch
        known = asked.serial if is_known else 0
        heard = asked.suspects_serial if is_known else 0
        has_news = (heard or 0) != self._suspects_serial
        return messages.SiteLoadReply(
            epoch=self._epoch,
            serial=self._serial,
            changed=[
                _message(target, self._sums[target])
                for target, serial in self._changed_at.items()
                if serial > known
            ],
            suspects=self._suspects(entry) if has_news else None,
            suspects_serial=self._suspects_serial,
            entries=len(self._shares),
        )

    def _suspects(self, entry: str) -> list[messages.SiteSuspect]:
        """Join what all entries but one know of calls that crash targets."""
        now = asyncio.get_running_loop().time()
        rows = (
            poison_calls.from_message(row).aged(now - share.suspects_at)
            for other, share in self._shares.items()
            if other != entry
            for row in share.suspects
        )
        return [
            poison_calls.to_message(row) for row in poison_calls.merge(rows)
        ]

    def _put(self, entry: str, rows: dict[str, Sum], now: float) -> None:
        held = self._shares.get(entry)
        before = {} if held is None else held.rows
        if held is None:
            self._shares[entry] = _Share(rows, now)
        else:
            held.rows = rows
            held.heard_at = now
        for target in before.keys() | rows.keys():
            was = before.get(target, _NONE)
            told = rows.get(target, _NONE)
            if was == told:
                continue
            self._serial += 1
            summed = self._sums.get(target, _NONE)
            self._sums[target] = summed.changed(was, told)
            self._changed_at[target] = self._serial

    def _forget_silent(self, now: float) -> None:
        for entry, share in tuple(self._shares.items()):
            if now - share.heard_at > SILENT_SECONDS:
                self._put(entry, {}, now)
                self._shares.pop(entry)


def _message(target: str, summed: Sum) -> messages.SiteCalls:
    return messages.SiteCalls(
        id=target,
        calls=summed.calls,
        answered=summed.answered,
        failed=summed.failed,
    )
