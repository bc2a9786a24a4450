"""Record a response while it is sent to the caller."""

from __future__ import annotations

from tamarackthread.entry import claim_client, responses
from tamarackthread.generated.messages import ttypes as messages


class RecordingSink(responses.Sink):
    """Forward a response and keep a copy of it, up to a size limit."""

    def __init__(self, sink: responses.Sink, limit_bytes: int) -> None:
        """Write to ``sink``; a response over the limit is not kept."""
        self._sink = sink
        self._limit = limit_bytes
        self._head: responses.Head | None = None
        self._body = bytearray()
        self._is_kept = True

    @property
    def started(self) -> bool:
        """Return whether any of the response was sent to the caller."""
        return self._sink.started

    async def start(self, head: responses.Head) -> None:
        """Send the head of a streamed response."""
        self._head = head
        await self._sink.start(head)

    async def write(self, payload: bytes) -> None:
        """Send a chunk of the body."""
        self._keep(payload)
        await self._sink.write(payload)

    async def finish(self) -> None:
        """End a streamed response as complete."""
        await self._sink.finish()

    async def send(self, head: responses.Head, body: bytes) -> None:
        """Send a complete response."""
        self._head = head
        self._keep(body)
        await self._sink.send(head, body)

    def claim_outcome(self) -> claim_client.Outcome:
        """Return the outcome to record, with the response if it was kept."""
        state = messages.ClaimState.COMPLETE
        if self._head is None or not self._is_kept:
            return claim_client.Outcome(state)
        headers = tuple(
            messages.Header(name=name, value=value)
            for name, value in self._head.headers
        )
        body = bytes(self._body)
        return claim_client.Outcome(state, self._head.status, headers, body)

    def _keep(self, payload: bytes) -> None:
        if len(self._body) + len(payload) > self._limit:
            self._is_kept = False
            self._body.clear()
        if self._is_kept:
            self._body += payload
