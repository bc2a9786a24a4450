"""Cache the reply to each change, which makes retries idempotent."""

from __future__ import annotations

import collections.abc
import copy

import xxhash

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import wire

RETENTION_MS = 24 * 60 * 60 * 1000
REUSED_CODE = 'change-id-reused'


class ReplyCache:
    """Hold replies by change id for ``RETENTION_MS`` of the machine's clock."""

    # That clock adds up what leaders measure between commands.  With the wall
    # clock, one that is set forward would shorten the retention.

    def __init__(self) -> None:
        """Start empty."""
        self._cached: dict[str, messages.KeptAnswer] = {}

    def find(
        self,
        change: messages.ChangeRequest,
    ) -> messages.ChangeReply | None:
        """Return the cached reply to a change id, ``None`` for a new id.

        An id that was used for other content gets an ``INVALID`` reply.
        """
        kept = self._cached.get(change.change_id or '')
        if kept is None:
            return None
        if kept.digest != content_digest(change):
            return _refuse_reuse(change)
        reply = copy.copy(kept.reply)
        reply.repeated = True
        return reply

    def store(
        self,
        change: messages.ChangeRequest,
        reply: messages.ChangeReply,
        clock_ms: int,
    ) -> None:
        """Store the reply to a change that carries an id."""
        if not change.change_id:
            return
        self._cached[change.change_id] = messages.KeptAnswer(
            change_id=change.change_id,
            digest=content_digest(change),
            clock_ms=clock_ms,
            reply=reply,
        )

    def evict_expired(self, clock_ms: int) -> None:
        """Drop the replies older than ``RETENTION_MS``."""
        for change_id, kept in tuple(self._expired(clock_ms)):
            self._cached.pop(change_id)

    def everything(self) -> list[messages.KeptAnswer]:
        """List the cached replies, the oldest first."""
        return list(self._cached.values())

    def replace(
        self,
        replies: collections.abc.Iterable[messages.KeptAnswer],
    ) -> None:
        """Replace all replies by those of a snapshot."""
        self._cached = {kept.change_id: kept for kept in replies}

    def _expired(
        self,
        clock_ms: int,
    ) -> collections.abc.Iterator[tuple[str, messages.KeptAnswer]]:
        for change_id, kept in self._cached.items():
            if clock_ms - kept.clock_ms <= RETENTION_MS:
                return
            yield change_id, kept


def content_digest(change: messages.ChangeRequest) -> int:
    """Hash the content of a change, without its id, actor and origin."""
    content = messages.ChangeRequest(
        kind=change.kind,
        name=change.name,
        based_on=change.based_on,
        body=change.body,
    )
    digest = xxhash.xxh3_64_digest(wire.encode(content))
    return int.from_bytes(digest, 'big', signed=True)


def _refuse_reuse(change: messages.ChangeRequest) -> messages.ChangeReply:
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
