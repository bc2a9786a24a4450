"""Serve the platform's HTTP API for operators and targets at a control host."""

from __future__ import annotations

import functools
import types

from aiohttp import web

from tamarackthread.control.site import (
    announcing,
    api,
    callers,
    evacuation,
    http_errors,
    http_server,
)
from tamarackthread.platform import wire
from tamarackthread.shared import fields, request_body
from tamarackthread.shared.site import announcements

MILLISECONDS = 1000
# Size limit of a configuration.
MAX_BODY_BYTES = 8 << 20
MAX_ANNOUNCEMENT_BYTES = 1 << 20
_State = announcements.State
_STATES = types.MappingProxyType(
    {'ready': _State.READY, 'draining': _State.LEAVING},
)


class PlatformApi(http_server.HttpServer):
    """Map the platform's HTTP paths to control's functions."""

    def application(
        self,
        site: api.SiteApi,
        targets: announcing.Announcing,
        zones: evacuation.Evacuation,
    ) -> web.Application:
        """Return the handlers of all paths."""
        app = web.Application()
        router = app.router
        router.add_post(wire.REPLACE, http_errors.bind(_replace, site))
        router.add_get(wire.READ, http_errors.bind(_read, site))
        zone_paths = {wire.EVACUATE: True, wire.RESTORE: False}
        for path, is_evacuated in zone_paths.items():
            handler = functools.partial(_set_zone, is_evacuated)
            router.add_post(path, http_errors.bind(handler, zones))
        router.add_post(wire.HEARTBEAT, http_errors.bind(_heartbeat, targets))
        router.add_post(wire.DEREGISTER, http_errors.bind(_deregister, targets))
        return app


async def _replace(
    site: api.SiteApi,
    request: web.Request,
) -> web.StreamResponse:
    body = await request_body.read(request, MAX_BODY_BYTES)
    version = await site.replace(body)
    return web.json_response({'version': version})


async def _read(site: api.SiteApi, request: web.Request) -> web.StreamResponse:
    held = await site.read()
    return web.Response(body=held.body, content_type='application/json')


async def _set_zone(
    is_evacuated: bool,
    zones: evacuation.Evacuation,
    request: web.Request,
) -> web.StreamResponse:
    await zones.request(
        request.match_info['zone'],
        callers.HttpCaller(request),
        is_evacuated=is_evacuated,
    )
    return web.json_response({})


async def _heartbeat(
    targets: announcing.Announcing,
    request: web.Request,
) -> web.StreamResponse:
    body = await request_body.read(request, MAX_ANNOUNCEMENT_BYTES)
    with targets.registry.validating(_sender(request)):
        announcement = read_announcement(request.match_info['target'], body)
        await targets.announce(announcement)
    return web.json_response({})


async def _deregister(
    targets: announcing.Announcing,
    request: web.Request,
) -> web.StreamResponse:
    body = await request_body.read(request, MAX_ANNOUNCEMENT_BYTES)
    with targets.registry.validating(_sender(request)):
        row = fields.parse(body) if body.strip() else {}
        born = fields.integer(row, wire.BORN, default=0)
        await targets.deregister(request.match_info['target'], born)
    return web.json_response({})


def _sender(request: web.Request) -> str:
    return f'{request.match_info["target"]} from {request.remote}'


def read_announcement(target: str, body: bytes) -> announcements.Announcement:
    """Parse a target's heartbeat; raise ``FieldInvalid``."""
    row = fields.parse(body)
    return announcements.Announcement(
        target=target,
        service=fields.text(row, 'service'),
        address=fields.address(row, 'address'),
        zone=fields.text(row, 'zone'),
        slots=fields.integer(row, 'slots', fields.MAX_INT32),
        state=fields.choice(row, 'state', _STATES),
        sequence=fields.integer(row, 'sequence'),
        cold=fields.number(row, 'cold-remaining-ms', 0) / MILLISECONDS,
        born=fields.integer(row, wire.BORN, default=0),
    )
