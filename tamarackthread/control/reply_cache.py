"""Keep the first answer to each change, so that a resend gets it again.

Time here is counted from what leaders measured between commands, never from
the wall clock: a clock that is set forward must not shorten the promise.
"""

from __future__ import annotations

import collections.abc
import copy

import xxhash

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import wire

RETENTION_MS = 24 * 60 * 60 * 1000
REUSED_CODE = 'change-id-reused'


class ReplyCache:
    """Hold answers by change id for 24 hours of the leaders' time."""

    def __init__(self) -> None:
        """Start with no answers."""
        self._kept: dict[str, messages.KeptAnswer] = {}

    def find(
        self,
        change: messages.ChangeRequest,
    ) -> messages.ChangeReply | None:
        """Give the first answer to a change id, ``None`` for a new one.

        The same id with another content gets a refusal instead: the answer
        to the other change would tell this one's sender a falsehood.
        """
        kept = self._kept.get(change.change_id or '')
        if kept is None:
            return None
        if kept.digest != digest_of(change):
            return _reused(change)
        reply = copy.copy(kept.reply)
        reply.repeated = True
        return reply

    def keep(
        self,
        change: messages.ChangeRequest,
        reply: messages.ChangeReply,
        clock_ms: int,
    ) -> None:
        """Remember the first answer to a change that carries an id."""
        if not change.change_id:
            return
        self._kept[change.change_id] = messages.KeptAnswer(
            change_id=change.change_id,
            digest=digest_of(change),
            clock_ms=clock_ms,
            reply=reply,
        )

    def forget(self, clock_ms: int) -> None:
        """Drop the answers that are older than the stated time."""
        for change_id, kept in tuple(self._oldest(clock_ms)):
            self._kept.pop(change_id)

    def everything(self) -> list[messages.KeptAnswer]:
        """List the answers, the oldest first."""
        return list(self._kept.values())

    def replace(
        self,
        answers: collections.abc.Iterable[messages.KeptAnswer],
    ) -> None:
        """Take the answers of a snapshot."""
        self._kept = {kept.change_id: kept for kept in answers}

    def _oldest(
        self,
        clock_ms: int,
    ) -> collections.abc.Iterator[tuple[str, messages.KeptAnswer]]:
        for change_id, kept in self._kept.items():
            if clock_ms - kept.clock_ms <= RETENTION_MS:
                return
            yield change_id, kept


def digest_of(change: messages.ChangeRequest) -> int:
    """Digest what a change asks for, without who asks and from where."""
    asked = messages.ChangeRequest(
        kind=change.kind,
        name=change.name,
        based_on=change.based_on,
        body=change.body,
    )
    digest = xxhash.xxh3_64_digest(wire.encode(asked))
    return int.from_bytes(digest, 'big', signed=True)


def _reused(change: messages.ChangeRequest) -> messages.ChangeReply:
    return messages.ChangeReply(
        status=messages.ChangeStatus.INVALID,
        revision=0,
        version=0,
        findings=[
            messages.Finding(
                place='change_id',
                code=REUSED_CODE,
                text=f'{change.change_id} was used for another change',
            ),
        ],
        repeated=False,
    )
