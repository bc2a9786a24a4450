"""Serve the platform's operators and targets at a control host."""

from __future__ import annotations

import collections.abc
import functools
import json
import types
import typing

from aiohttp import web

from tamarackthread.control.site import api, book, host
from tamarackthread.platform import wire
from tamarackthread.shared import errors
from tamarackthread.shared.site import announcements

MILLISECONDS = 1000
# The most that an operator's configuration may have.
BODY_BYTES = 8 << 20
_State = announcements.State
_STATES = types.MappingProxyType(
    {'ready': _State.READY, 'draining': _State.LEAVING},
)
_UNREADABLE = (KeyError, TypeError, ValueError, AttributeError)

_Handler = collections.abc.Callable[
    [web.Request],
    collections.abc.Awaitable[web.StreamResponse],
]
_Answer = collections.abc.Callable[
    [typing.Any, web.Request],
    collections.abc.Awaitable[web.StreamResponse],
]


class AnnouncementInvalid(errors.CodedError):
    """Announcement of a target can't be read."""

    code = 'TT7301'
    status = 400


class PlatformDoor(host.Door):
    """Translate between the platform's paths and the product's calls."""

    def __init__(self) -> None:
        """Serve nothing until ``open``."""
        self._runner: web.AppRunner | None = None

    async def open(
        self,
        address: str,
        site: api.SiteApi,
        targets: book.Book,
    ) -> str:
        """Serve at HOST:PORT and return the address in use."""
        app = web.Application(client_max_size=BODY_BYTES)
        app.router.add_post(wire.REPLACE, _coded(_replace, site))
        app.router.add_get(wire.READ, _coded(_read, site))
        app.router.add_post(wire.ANNOUNCE, _coded(_announce, targets))
        app.router.add_post(wire.FAREWELL, _coded(_farewell, targets))
        self._runner = web.AppRunner(
            app, access_log=None, handle_signals=False, shutdown_timeout=0.5
        )
        await self._runner.setup()
        bound, _, port = address.rpartition(':')
        site_of = web.TCPSite(self._runner, bound, int(port), backlog=1024)
        await site_of.start()
        bound_host, bound_port = self._runner.addresses[0][:2]
        return f'{bound_host}:{bound_port}'

    async def close(self) -> None:
        """Stop serving."""
        if self._runner is not None:
            await self._runner.cleanup()


async def _replace(
    site: api.SiteApi,
    request: web.Request,
) -> web.StreamResponse:
    version = await site.replace(await request.read())
    return web.json_response({'version': version})


async def _read(site: api.SiteApi, request: web.Request) -> web.StreamResponse:
    held = await site.read()
    return web.Response(body=held.body, content_type='application/json')


async def _announce(
    targets: book.Book,
    request: web.Request,
) -> web.StreamResponse:
    body = await request.read()
    try:
        said = _announcement(request.match_info['target'], json.loads(body))
    except _UNREADABLE as exc:
        raise AnnouncementInvalid(repr(exc)) from exc
    targets.take(said)
    return web.json_response({})


async def _farewell(
    targets: book.Book,
    request: web.Request,
) -> web.StreamResponse:
    targets.farewell(request.match_info['target'])
    return web.json_response({})


def _announcement(
    target: str,
    body: dict[str, typing.Any],
) -> announcements.Announcement:
    return announcements.Announcement(
        target=target,
        service=str(body['service']),
        address=str(body['address']),
        zone=str(body.get('zone') or ''),
        slots=int(body.get('slots') or 0),
        state=_STATES[body['state']],
        sequence=int(body['sequence']),
        cold=float(body.get('cold-remaining-ms') or 0) / MILLISECONDS,
    )


def _coded(
    answer: _Answer,
    part: typing.Any,
) -> _Handler:
    """Give a part to a handler and turn its coded errors into answers."""

    return functools.partial(_handle, answer, part)


async def _handle(
    answer: _Answer,
    part: typing.Any,
    request: web.Request,
) -> web.StreamResponse:
    try:
        return await answer(part, request)
    except errors.CodedError as exc:
        body = {'error': {'code': exc.code, 'message': str(exc)}}
        return web.json_response(body, status=exc.status)
