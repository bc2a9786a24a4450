"""Send calls as callers would and keep what each of them was told."""

from __future__ import annotations

import asyncio
import enum
import json
import typing

import aiohttp
import attrs

from bench.engines import batch

EVENT_PREFIX = 'data: '
DONE = '[DONE]'


class Outcome(enum.Enum):
    """Name what a caller can tell of its call."""

    COMPLETE = 'complete'
    REFUSED = 'refused_not_run'
    MAY_HAVE_RUN = 'may_have_run'
    BROKEN = 'broken'
    UNREACHED = 'unreached'


@attrs.define
class Answer:
    """What came back; times in seconds on the loop's clock."""

    outcome: Outcome
    status: int = 0
    code: str = ''
    text: str = ''
    started_at: float = 0
    first_at: float = 0
    ended_at: float = 0
    tokens: int = 0
    headers: dict[str, str] = attrs.field(factory=dict)

    @property
    def first_token_seconds(self) -> float:
        """Give the time to the first token."""
        return self.first_at - self.started_at


@attrs.frozen
class Chat:
    """One model call."""

    prompt: str
    tokens: int = 16
    stream: bool = True
    model: str = 'draft'


class Caller:
    """Call an entry with one organisation's token."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        token: str,
        timeout_seconds: float = 60.0,
    ) -> None:
        """Use a session that the caller of this class closes."""
        self._session = session
        self._token = token
        self._timeout = aiohttp.ClientTimeout(total=timeout_seconds)

    async def chat(
        self,
        address: str,
        chat: Chat,
        **headers: str,
    ) -> Answer:
        """Send a model call and read its answer to the end."""
        body = {
            'model': chat.model,
            'messages': [{'role': 'user', 'content': chat.prompt}],
            'max_tokens': chat.tokens,
            'stream': chat.stream,
        }
        url = f'http://{address}/v1/chat/completions'
        return await self._send('POST', url, json.dumps(body), headers)

    async def plain(
        self,
        address: str,
        method: str,
        path: str,
        body: str = '',
        **headers: str,
    ) -> Answer:
        """Send a call to a plain service."""
        url = f'http://{address}{path}'
        return await self._send(method, url, body, headers)

    async def _send(
        self,
        method: str,
        url: str,
        body: str,
        headers: dict[str, str],
    ) -> Answer:
        loop = asyncio.get_running_loop()
        answer = Answer(Outcome.UNREACHED, started_at=loop.time())
        sent = {
            name.replace('_', '-'): value for name, value in headers.items()
        }
        sent['Authorization'] = f'Bearer {self._token}'
        try:
            async with self._session.request(
                method,
                url,
                data=body or None,
                headers=sent,
                timeout=self._timeout,
            ) as response:
                answer.outcome = Outcome.BROKEN
                answer.status = response.status
                answer.headers = dict(response.headers)
                await _read(response, answer)
        except aiohttp.ClientConnectorError:
            answer.outcome = Outcome.UNREACHED
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            answer.outcome = Outcome.BROKEN
            answer.code = repr(exc)
        answer.ended_at = loop.time()
        return answer


async def _read(response: aiohttp.ClientResponse, answer: Answer) -> None:
    if response.content_type == 'text/event-stream':
        await _read_events(response, answer)
        return
    answer.text = await response.text()
    answer.first_at = asyncio.get_running_loop().time()
    if response.status < 400:
        answer.outcome = Outcome.COMPLETE
        return
    answer.outcome = _told(answer)


def _told(answer: Answer) -> Outcome:
    try:
        error = json.loads(answer.text)['error']
    except (ValueError, KeyError, TypeError):
        return Outcome.MAY_HAVE_RUN
    answer.code = error.get('code', '')
    if error.get('ran') == 'not_run':
        return Outcome.REFUSED
    return Outcome.MAY_HAVE_RUN


async def _read_events(
    response: aiohttp.ClientResponse,
    answer: Answer,
) -> None:
    is_done = False
    parts: list[str] = []
    async for line in response.content:
        text = line.decode().rstrip('\n')
        if not text.startswith(EVENT_PREFIX):
            continue
        payload = text[len(EVENT_PREFIX) :]
        if payload == DONE:
            is_done = True
            continue
        if not answer.first_at:
            answer.first_at = asyncio.get_running_loop().time()
        parts.append(_content(json.loads(payload), answer))
    answer.text = ''.join(parts)
    answer.tokens = len(parts)
    answer.outcome = Outcome.COMPLETE if is_done else Outcome.BROKEN


def _content(event: typing.Any, answer: Answer) -> str:
    error = event.get('error')
    if error is not None:
        answer.code = error.get('code', '')
        return ''
    return str(event['choices'][0]['delta']['content'])


def expected_text(chat: Chat) -> str:
    """Give the whole answer that the emulated engine has for a prompt."""
    return ''.join(
        batch.token_at(chat.prompt, position) for position in range(chat.tokens)
    )
