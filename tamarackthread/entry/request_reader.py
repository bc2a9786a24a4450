"""Read and parse callers' requests."""

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
TYPICAL_RESPONSE_TOKENS = 256
_DROPPED_HEADERS = frozenset(
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
    """Convert HTTP requests to calls."""

    def __init__(
        self,
        config: directory.Directory,
        limits: settings.Entry,
    ) -> None:
        """Use the directory for lookups and enforce the limits."""
        self._directory = config
        self._limits = limits

    async def read(
        self, request: web.BaseRequest, request_id: str
    ) -> calls.Call:
        """Read a complete request; raise a coded error if it is invalid."""
        caller = self._directory.caller(
            request.headers.get('Authorization', ''),
        )
        key = _key(request)
        seconds_given = _requested_seconds(request)
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
        seconds = seconds_given or _default_seconds(prompt, profile)
        return calls.Call(
            request_id=request_id,
            service=service,
            kind=details.kind,
            profile=profile,
            method=request.method,
            path=request.raw_path,
            headers=_forwarded_headers(request),
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
            chunk = await self._chunk(request)
            if not chunk:
                return bytes(body)
            body += chunk
            if len(body) > limit:
                raise failures.BodyTooLarge(f'limit is {limit} bytes')

    async def _chunk(self, request: web.BaseRequest) -> bytes:
        try:
            async with asyncio.timeout(self._limits.slow_body_seconds):
                return await request.content.readany()
        except TimeoutError as exc:
            raise failures.BodyTooSlow from exc


def request_id_of(request: web.BaseRequest) -> str:
    """Return the caller's request id, or generate one."""
    header = request.headers.get(responses.REQUEST_ID_HEADER, '')
    if header and len(header) <= MAX_KEY_LENGTH and header.isprintable():
        return header
    return secrets.token_hex(8)


def _key(request: web.BaseRequest) -> str:
    key = request.headers.get(KEY_HEADER, '')
    if len(key) > MAX_KEY_LENGTH:
        raise failures.HeaderInvalid(
            f'{KEY_HEADER} is longer than {MAX_KEY_LENGTH}',
        )
    return key


def _requested_seconds(request: web.BaseRequest) -> float:
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
    # Models have no side effects; a plain service names its safe methods.
    if details.kind == 'model':
        return True
    return request.method in details.idempotent_methods


def _forwarded_headers(request: web.BaseRequest) -> tuple[tuple[str, str], ...]:
    return tuple(
        (name, value)
        for name, value in request.headers.items()
        if name.lower() not in _DROPPED_HEADERS
    )


def _prompt(request: web.BaseRequest, body: bytes) -> _Prompt:
    if not request.path.startswith('/v1/') or not body:
        return _Prompt()
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as exc:
        raise failures.BodyInvalid(f'not JSON: {exc}') from exc
    if not isinstance(fields, dict):
        raise failures.BodyInvalid('not a JSON object')
    return _Prompt(
        model=str(fields.get('model', '')),
        text=_text(fields),
        answer_tokens=_answer_tokens(fields),
        is_stream=fields.get('stream') is True,
    )


def _text(fields: dict[str, typing.Any]) -> bytes:
    chat = fields.get('messages')
    if not isinstance(chat, list):
        return str(fields.get('prompt', '')).encode()
    texts = []
    for item in chat:
        if isinstance(item, dict):
            texts.append(str(item.get('content', '')))
    return '\n'.join(texts).encode()


def _answer_tokens(fields: dict[str, typing.Any]) -> int:
    limit = fields.get('max_tokens', TYPICAL_RESPONSE_TOKENS)
    if isinstance(limit, bool) or not isinstance(limit, int) or limit < 1:
        raise failures.BodyInvalid('max_tokens must be a whole number above 0')
    # Most responses are shorter than the limit; taken as the length, it
    # would refuse calls that complete in time.
    return min(limit, TYPICAL_RESPONSE_TOKENS)


def _default_seconds(prompt: _Prompt, profile: generated.Profile) -> float:
    if prompt.is_stream:
        return profile.timeouts.stream_seconds
    return profile.admission.default_deadline_seconds
