"""Record the small answers of claimed calls while relaying them."""

from __future__ import annotations

import typing

from tamarackthread.agent import claims
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, stream


class ResponseSink(typing.Protocol):
    """Destination of an answer."""

    def send_head(self, head: messages.CallHead) -> None:
        """Send the head of the answer."""

    async def send(self, payload: bytes) -> None:
        """Send a piece of the body."""

    def finish(self, end: messages.CallEnd) -> None:
        """End a complete answer."""


class ResponseRecorder(ResponseSink):
    """Relay an answer while its stream lasts, and record all of it for the
    caller's retry, even after the stream is lost.
    """

    def __init__(self, call: stream.Stream) -> None:
        """Relay to ``call``."""
        self._call = call
        self._head: messages.CallHead | None = None
        self._body = bytearray()
        self._fits = True

    @property
    def answer(self) -> claims.Answer | None:
        """Return the recorded answer unless it exceeded the size limit."""
        if self._head is None or not self._fits:
            return None
        return claims.Answer(
            status=self._head.status,
            headers=tuple(self._head.headers or ()),
            body=bytes(self._body),
        )

    def send_head(self, head: messages.CallHead) -> None:
        """Record and relay the head of the answer."""
        self._head = head
        if not self._call.failed:
            self._call.send_head(head)

    async def send(self, payload: bytes) -> None:
        """Record and relay a piece of the body."""
        self._record(payload)
        if self._call.failed:
            return
        try:
            await self._call.send(payload)
        except errors.CodedError:
            # The stream is lost; the rest of the answer is only recorded.
            return

    def finish(self, end: messages.CallEnd) -> None:
        """End the answer as complete."""
        self._call.finish(end)

    def _record(self, payload: bytes) -> None:
        if len(self._body) + len(payload) > claims.MAX_ANSWER_BYTES:
            self._fits = False
            self._body.clear()
        if self._fits:
            self._body += payload
