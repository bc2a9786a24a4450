"""Read a caller's request and understand what it asks for."""

from __future__ import annotations

import asyncio
import json
import secrets
import typing

import attrs
from aiohttp import web

from tamarackthread.entry import calls, directory, failures, responses
from tamarackthread.generated import documents as generated
from tamarackthread.generated import settings
from tamarackthread.policy import affinity
from tamarackthread.policy import calls as facts

KEY_HEADER = 'Idempotency-Key'
DEADLINE_HEADER = 'X-Deadline-Ms'
PRIORITY_HEADER = 'X-Priority'
MAX_KEY_LENGTH = 255
MAX_DEADLINE_SECONDS = 3600
CHARACTERS_PER_TOKEN = 4
TYPICAL_ANSWER_TOKENS = 256
_OWN_HEADERS = frozenset(
    (
        'authorization',
        'x-call-id',
        'x-resume-events',
        'x-priority',
        'x-request-id',
        'x-deadline-ms',
        'content-length',
        'transfer-encoding',
        'connection',
        'keep-alive',
        'expect',
        'host',
    ),
)


@attrs.frozen
class _Prompt:
    model: str = ''
    text: bytes = b''
    answer_tokens: int = 0
    is_stream: bool = False


class RequestReader:
    """Turn HTTP requests into calls."""

    def __init__(
        self,
        known: directory.Directory,
        limits: settings.Entry,
    ) -> None:
        """Look things up in the directory and keep to the limits."""
        self._directory = known
        self._limits = limits

    async def read(
        self, request: web.BaseRequest, request_id: str
    ) -> calls.Call:
        """Read a request whole; raise a coded error if it makes no sense."""
        caller = self._directory.caller(
            request.headers.get('Authorization', ''),
        )
        key = _key(request)
        stated = _stated_deadline(request)
        body = await self._body(request)
        prompt = _prompt(request, body)
        service = self._directory.service(
            request.headers.get('Host', '').partition(':')[0],
            request.path,
            prompt.model,
        )
        details = self._directory.services[service]
        profile = self._directory.profile(service)
        now = asyncio.get_running_loop().time()
        seconds = stated or _own_deadline(prompt, profile)
        return calls.Call(
            request_id=request_id,
            service=service,
            kind=details.kind,
            profile=profile,
            method=request.method,
            path=request.raw_path,
            headers=_passed_on(request),
            body=body,
            key=key,
            home_region=caller.details.home_region,
            facts=facts.CallFacts(
                organisation=caller.organisation,
                deadline=now + seconds,
                priority=_priority(request, details),
                prompt_tokens=len(prompt.text) // CHARACTERS_PER_TOKEN,
                answer_tokens=prompt.answer_tokens,
                prefixes=affinity.prefix_hashes(prompt.text),
                idempotent=_is_idempotent(request, details),
            ),
        )

    async def _body(self, request: web.BaseRequest) -> bytes:
        limit = self._limits.body_limit_bytes
        if (request.content_length or 0) > limit:
            raise failures.BodyTooLarge(f'limit is {limit} bytes')
        body = bytearray()
        while True:
            part = await self._part(request)
            if not part:
                return bytes(body)
            body += part
            if len(body) > limit:
                raise failures.BodyTooLarge(f'limit is {limit} bytes')

    async def _part(self, request: web.BaseRequest) -> bytes:
        try:
            async with asyncio.timeout(self._limits.slow_body_seconds):
                return await request.content.readany()
        except TimeoutError as exc:
            raise failures.BodyTooSlow from exc


def request_id_of(request: web.BaseRequest) -> str:
    """Take the caller's request id, or make one."""
    given = request.headers.get(responses.REQUEST_ID_HEADER, '')
    if given and len(given) <= MAX_KEY_LENGTH and given.isprintable():
        return given
    return secrets.token_hex(8)


def _key(request: web.BaseRequest) -> str:
    key = request.headers.get(KEY_HEADER, '')
    if len(key) > MAX_KEY_LENGTH:
        raise failures.HeaderInvalid(
            f'{KEY_HEADER} is longer than {MAX_KEY_LENGTH}',
        )
    return key


def _stated_deadline(request: web.BaseRequest) -> float:
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return 0
    if not text.isascii() or not text.isdecimal():
        raise failures.HeaderInvalid(
            f'{DEADLINE_HEADER} must be whole milliseconds',
        )
    seconds = int(text) / 1000
    if not 0 < seconds <= MAX_DEADLINE_SECONDS:
        raise failures.HeaderInvalid(f'{DEADLINE_HEADER} is out of range')
    return seconds


def _priority(
    request: web.BaseRequest,
    details: generated.Service,
) -> facts.Priority:
    name = request.headers.get(PRIORITY_HEADER, details.priority)
    try:
        return facts.Priority[name.upper()]
    except KeyError as exc:
        raise failures.HeaderInvalid(
            f'{PRIORITY_HEADER} must be urgent, normal or background',
        ) from exc


def _is_idempotent(
    request: web.BaseRequest,
    details: generated.Service,
) -> bool:
    # A draft that is made twice harms nobody: only one of them is relayed.
    # What a plain service does on other methods may not be done twice.
    if details.kind == 'model':
        return True
    return request.method in details.idempotent_methods


def _passed_on(request: web.BaseRequest) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in _OWN_HEADERS
    )


def _prompt(request: web.BaseRequest, body: bytes) -> _Prompt:
    if not request.path.startswith('/v1/') or not body:
        return _Prompt()
    try:
        asked = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise failures.BodyInvalid(f'not JSON: {exc}') from exc
    if not isinstance(asked, dict):
        raise failures.BodyInvalid('not a JSON object')
    return _Prompt(
        model=str(asked.get('model', '')),
        text=_text(asked),
        answer_tokens=_answer_tokens(asked),
        is_stream=asked.get('stream') is True,
    )


def _text(asked: dict[str, typing.Any]) -> bytes:
    listed = asked.get('messages')
    if not isinstance(listed, list):
        return str(asked.get('prompt', '')).encode()
    texts = []
    for item in listed:
        if isinstance(item, dict):
            texts.append(str(item.get('content', '')))
    return '\n'.join(texts).encode()


def _answer_tokens(asked: dict[str, typing.Any]) -> int:
    limit = asked.get('max_tokens', TYPICAL_ANSWER_TOKENS)
    if isinstance(limit, bool) or not isinstance(limit, int) or limit < 1:
        raise failures.BodyInvalid('max_tokens must be a whole number above 0')
    # The limit is what the caller allows, and most answers end well before
    # it.  Taken for the length, it would refuse calls that end in time.
    return min(limit, TYPICAL_ANSWER_TOKENS)


def _own_deadline(prompt: _Prompt, profile: generated.Profile) -> float:
    if prompt.is_stream:
        return profile.timeouts.stream_seconds
    return profile.admission.default_deadline_seconds
