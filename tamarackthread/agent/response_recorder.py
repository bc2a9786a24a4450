"""Keep a claimed call's small answer, also after its entry is gone."""

from __future__ import annotations

import typing

from tamarackthread.agent import claims
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, stream


class ResponseSink(typing.Protocol):
    """Whoever is given an answer."""

    def send_head(self, head: messages.CallHead) -> None:
        """Take the head of the answer."""

    async def send(self, payload: bytes) -> None:
        """Take a piece of the body."""

    def finish(self, end: messages.CallEnd) -> None:
        """Take the end of a whole answer."""


class ResponseRecorder(ResponseSink):
    """Pass an answer on while its stream lasts, and remember it.

    An entry that dies takes its stream with it, but the work at the target
    goes on and can't be taken back.  Its answer is read to the end, so that
    the caller's second try is given it.
    """

    def __init__(self, call: stream.Stream) -> None:
        """Forward to ``call``."""
        self._call = call
        self._head: messages.CallHead | None = None
        self._body = bytearray()
        self._is_small = True

    @property
    def answer(self) -> claims.Answer | None:
        """Give the answer if it was small."""
        if self._head is None or not self._is_small:
            return None
        return claims.Answer(
            status=self._head.status,
            headers=tuple(self._head.headers or ()),
            body=bytes(self._body),
        )

    def send_head(self, head: messages.CallHead) -> None:
        """Send the head of the answer."""
        self._head = head
        if not self._call.failed:
            self._call.send_head(head)

    async def send(self, payload: bytes) -> None:
        """Send a piece of the body."""
        self._keep(payload)
        if self._call.failed:
            return
        try:
            await self._call.send(payload)
        except errors.CodedError:
            # The stream is gone and nothing is owed to it any more; what is
            # left of the answer is kept for the second try.
            return

    def finish(self, end: messages.CallEnd) -> None:
        """End the answer as whole."""
        self._call.finish(end)

    def _keep(self, payload: bytes) -> None:
        if len(self._body) + len(payload) > claims.MAX_ANSWER_BYTES:
            self._is_small = False
            self._body.clear()
        if self._is_small:
            self._body += payload
