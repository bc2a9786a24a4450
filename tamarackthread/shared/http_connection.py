"""Read answers on pooled HTTP connections, each for its own request only.

What arrives on a connection while no answer is due belongs to no request, and
so does what follows the end of an answer.  Taken for the next answer, it would
leave the connection one answer behind for as long as it is used.  Such a
connection is closed at once, and so is one with a malformed head.
"""

from __future__ import annotations

import asyncio
import collections.abc
import functools
import typing

import aiohttp
from aiohttp import client_proto, helpers, streams

from tamarackthread.shared import response_head

READ_BYTES = 32 << 10
# Bytes of an answer besides its body: heads, sizes of chunks and trailers.
MAX_FRAMING_BYTES = 64 << 10
# More of them are allowed in proportion to the body: a chunk of one byte has five.
MAX_FRAMING_RATIO = 8
# A last chunk without trailers ends so.
_CHUNKS_END = b'\r\n\r\n'
_FIRST_FINAL_STATUS = 200


OnForeign = collections.abc.Callable[[str], None]


class AnswerProtocol(client_proto.ResponseHandler):
    """Read at most one answer for each request."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_foreign: OnForeign | None = None,
    ) -> None:
        """Start without a request.

        ``on_foreign`` is called with HOST:PORT of a peer that sends what belongs
        to no request.
        """
        super().__init__(loop=loop)
        self._on_foreign = on_foreign
        self._uses = 0
        self._is_due = False
        self._has_surplus = False
        self._received_bytes = 0
        # The last bytes before the current piece: the end of chunks may lie in
        # both.
        self._last_bytes = b''
        self._head_reader = response_head.HeadReader()
        self._head: typing.Any = None
        self._body: streams.StreamReader | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Read no more at once than may wait for the reader of an answer."""
        super().connection_made(transport)
        # asyncio reads up to 256 KB; it has no setting for that.
        transport.max_size = READ_BYTES  # type: ignore[attr-defined]

    @property
    def is_first_use(self) -> bool:
        """Return whether no other request was sent on this connection."""
        return self._uses == 1

    def set_response_params(self, **settings: typing.Any) -> None:
        """Prepare for the answer to a request that is about to be sent."""
        self._uses += 1
        self._is_due = True
        self._received_bytes = 0
        self._last_bytes = b''
        self._head_reader = response_head.HeadReader()
        self._head = None
        self._body = None
        super().set_response_params(**settings)

    def feed_data(
        self, data: tuple[typing.Any, streams.StreamReader], size: int = 0
    ) -> None:
        """Take a parsed head, unless the answer's own has been read."""
        if self._head is not None:
            self._has_surplus = True
            return
        head, body = data
        if head.code >= _FIRST_FINAL_STATUS:
            if _has_unknown_coding(head):
                failure = 'transfer coding of the body is unknown'
                self._fail(response_head.MalformedHead(failure))
                return
            self._head = head
            self._body = body
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse a piece, and close the connection on what is no answer."""
        if not data:
            # aiohttp resumes its parser so, after a pause.
            super().data_received(data)
            if self._is_complete:
                self._is_due = False
            else:
                self._check_chunks()
            return
        while data and self._is_due:
            try:
                size = self._part_size(data)
            except response_head.MalformedHead as exc:
                self._fail(exc)
                return
            self._receive(data[:size])
            data = data[size:]
        # What follows in an answer that has failed is the answer's own.
        if data and self.exception() is None:
            self.give_up()

    def forbid_reuse(self) -> None:
        """Close the connection once its answer was read, or now if it was."""
        self.force_close()
        if not self._is_due and self.transport is not None:
            self.transport.close()

    def give_up(self) -> None:
        """Close a connection that carries what belongs to no request."""
        self._note_foreign()
        self._abort()

    @property
    def _is_complete(self) -> bool:
        return self._body is not None and self._body.is_eof()

    @property
    def _body_bytes(self) -> int:
        if self._body is None or self._body is streams.EMPTY_PAYLOAD:
            return 0
        return self._body.total_bytes

    def _part_size(self, data: bytes) -> int:
        """Return the size of the part of a piece to parse next.

        By itself, a head isn't lost with invalid bytes after its answer.
        Raises ``MalformedHead`` before the parser can repair the head.
        """
        if self._head is not None:
            return len(data)
        return self._head_reader.feed(data)

    def _receive(self, data: bytes) -> None:
        """Parse a head, a part of one, or a part of a body."""
        had_head = self._head is not None
        bytes_before = self._body_bytes
        client_proto.ResponseHandler.data_received(self, data)
        self._received_bytes += len(data)
        if not self._is_complete:
            if had_head:
                self._last_bytes = data[1 - len(_CHUNKS_END) :]
            self._check_chunks()
            self._check_framing()
            return
        self._is_due = False
        is_exact = self._body_bytes - bytes_before == len(data)
        if self._head.chunked:
            is_exact = (self._last_bytes + data).endswith(_CHUNKS_END)
        if self._has_surplus or (had_head and not is_exact):
            self.give_up()

    def _check_chunks(self) -> None:
        """End a body whose chunks can't be parsed, for which aiohttp waits."""
        if self._body is None or self.exception() is None:
            return
        self._fail(aiohttp.ClientPayloadError('chunks are malformed'))

    def _check_framing(self) -> None:
        framing_bytes = self._received_bytes - self._body_bytes
        limit = MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * self._body_bytes
        if framing_bytes <= limit:
            return
        failure = aiohttp.ClientPayloadError(
            f'over {MAX_FRAMING_BYTES} bytes that are no body'
        )
        self._note_foreign()
        self._fail(failure)

    def _note_foreign(self) -> None:
        if self._on_foreign is None or self.transport is None:
            return
        peer = self.transport.get_extra_info('peername')
        if peer is not None:
            host, port = peer[:2]
            self._on_foreign(f'{host}:{port}')

    def _fail(self, failure: aiohttp.ClientError) -> None:
        """Raise a failure where the answer is read, and close the connection."""
        if self._body is not None:
            helpers.set_exception(self._body, failure)
        self.set_exception(failure)
        self._abort()

    def _abort(self) -> None:
        """Read no more, and close the connection at once."""
        self.force_close()
        self._is_due = False
        if self.transport is not None:
            self.transport.abort()


def _has_unknown_coding(head: typing.Any) -> bool:
    """Return whether a body is encoded in a way that no request accepts.

    The parser would take it for a body that ends with its connection.
    """
    codings = head.headers.getall('Transfer-Encoding', None)
    if codings is None:
        return False
    is_chunked = [coding.lower() for coding in codings] == ['chunked']
    return not (head.chunked and is_chunked)


class Response(aiohttp.ClientResponse):
    """Response that can close its connection after it has released it."""

    def __init__(self, *parts: typing.Any, **settings: typing.Any) -> None:
        """Take what aiohttp passes."""
        super().__init__(*parts, **settings)
        self._carrier: AnswerProtocol | None = None

    @property
    def carrier(self) -> AnswerProtocol:
        """Return the protocol of the connection that carried the answer."""
        assert self._carrier is not None
        return self._carrier

    async def start(
        self, connection: aiohttp.connector.Connection
    ) -> aiohttp.ClientResponse:
        """Read the head of the answer."""
        self._carrier = typing.cast(AnswerProtocol, connection.protocol)
        return await super().start(connection)

    def belongs_to(self, sent_id: str, echoed_id: str | None) -> bool:
        """Return whether an answer belongs to the request with ``sent_id``.

        Without an id it does only where no other answer can come.  Gives up
        the connection unless the answer has the id.
        """
        if echoed_id == sent_id:
            return True
        if echoed_id is None and self.carrier.is_first_use:
            self.carrier.forbid_reuse()
            return True
        self.carrier.give_up()
        return False


class _Connector(aiohttp.TCPConnector):
    """Connector whose connections read by ``AnswerProtocol``."""

    def __init__(
        self, on_foreign: OnForeign | None, **settings: typing.Any
    ) -> None:
        """Take the settings of aiohttp's connector."""
        super().__init__(**settings)
        # aiohttp has no other hook for the protocol of its connections.
        self._factory = functools.partial(
            AnswerProtocol, loop=self._loop, on_foreign=on_foreign
        )


def new_session(
    connector_settings: dict[str, typing.Any],
    on_foreign: OnForeign | None = None,
    **settings: typing.Any,
) -> aiohttp.ClientSession:
    """Open a session; must be called in the running event loop.

    ``on_foreign`` is called with HOST:PORT of a peer that sends what belongs to
    no request.
    """
    return aiohttp.ClientSession(
        connector=_Connector(on_foreign, **connector_settings),
        response_class=Response,
        **settings,
    )
