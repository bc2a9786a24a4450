"""Convert coded errors of HTTP request handlers into responses."""

from __future__ import annotations

import collections.abc
import functools
import typing

from aiohttp import web

from tamarackthread.shared import errors, request_body

PartHandler = collections.abc.Callable[
    [typing.Any, web.Request],
    collections.abc.Awaitable[web.StreamResponse],
]
Handler = collections.abc.Callable[
    [web.Request],
    collections.abc.Awaitable[web.StreamResponse],
]


def bind(handler: PartHandler, part: typing.Any) -> Handler:
    """Bind a request handler to ``part`` and convert its coded errors."""
    return functools.partial(_handle, handler, part)


async def _handle(
    handler: PartHandler,
    part: typing.Any,
    request: web.Request,
) -> web.StreamResponse:
    try:
        with request_body.releasing(request):
            return await handler(part, request)
    except errors.CodedError as exc:
        body = {'error': {'code': exc.code, 'message': str(exc)}}
        return web.json_response(body, status=exc.status)
