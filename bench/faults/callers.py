"""Call a cluster's entries as callers behind the platform's balancer would.

The balancer sends a call to an entry that says it is ready.  It tries another
one when nothing was sent or the call was refused as not run.  It repeats an
order that may have run only under the order's own key.
"""

from __future__ import annotations

import asyncio
import collections.abc
import itertools
import json
import random

import aiohttp
import attrs

from bench import load
from bench.checks import calls

TOKENS = ('token-a', 'token-b')
DEADLINE_SECONDS = 12.0
TRY_SECONDS = 6.0
PAUSE_SECONDS = 0.1
READY_SECONDS = 0.05
HEDGED_EACH = 5
SHARES = (
    (calls.Kind.STREAM, 40),
    (calls.Kind.KEYED, 25),
    (calls.Kind.LOOKUP, 20),
    (calls.Kind.KEYLESS, 15),
)


@attrs.frozen
class Planned:
    """One call to make, ``at`` seconds after the start of the load."""

    name: str
    kind: calls.Kind
    at: float
    tokens: int


def plan(count: int, seconds: float, rng: random.Random) -> list[Planned]:
    """Draw a mix of calls, evenly spread over a time."""
    kinds = [kind for kind, _ in SHARES]
    weights = [weight for _, weight in SHARES]
    return [
        Planned(
            name=f'call-{number}',
            kind=rng.choices(kinds, weights)[0],
            at=rng.uniform(0, seconds),
            tokens=rng.randrange(10, 80),
        )
        for number in range(count)
    ]


class Balancer:
    """Know which entries say that they are ready."""

    def __init__(self, session: aiohttp.ClientSession) -> None:
        """Know no entry yet."""
        self._session = session
        self._ready: dict[str, str] = {}
        self._watchers: dict[str, asyncio.Task[None]] = {}
        self._turns = itertools.count()

    def watch(self, name: str, address: str) -> None:
        """Ask an entry for its readiness from now on, at its address."""
        self.forget(name)
        loop = asyncio.get_running_loop()
        self._watchers[name] = loop.create_task(self._watch(name, address))

    def forget(self, name: str) -> None:
        """Send an entry nothing more."""
        self._ready.pop(name, None)
        watcher = self._watchers.pop(name, None)
        if watcher is not None:
            watcher.cancel()

    def pick(self) -> str | None:
        """Give the address of a ready entry, each in turn."""
        ready = sorted(self._ready.values())
        return ready[next(self._turns) % len(ready)] if ready else None

    def close(self) -> None:
        """Watch no entry any more."""
        for name in tuple(self._watchers):
            self.forget(name)

    async def _watch(self, name: str, address: str) -> None:
        timeout = aiohttp.ClientTimeout(total=0.5)
        url = f'http://{address}/-/ready'
        while True:
            try:
                async with self._session.get(url, timeout=timeout) as answer:
                    is_ready = answer.status == 200
            except (aiohttp.ClientError, OSError, TimeoutError):
                is_ready = False
            if is_ready:
                self._ready[name] = address
            else:
                self._ready.pop(name, None)
            await asyncio.sleep(READY_SECONDS)


class Callers:
    """Make the planned calls and record each try."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        balancer: Balancer,
    ) -> None:
        """Record nothing yet."""
        self._balancer = balancer
        self._callers = [
            load.Caller(session, token, TRY_SECONDS) for token in TOKENS
        ]
        self.tries: list[calls.Try] = []
        self.endings: dict[str, load.Outcome] = {}

    async def run(self, planned: collections.abc.Iterable[Planned]) -> None:
        """Make each call at its time and wait for all."""
        await asyncio.gather(*(self._call(made) for made in planned))

    async def _call(self, planned: Planned) -> None:
        await asyncio.sleep(planned.at)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + DEADLINE_SECONDS
        ending = load.Outcome.REFUSED
        for number in itertools.count():
            left = deadline - loop.time()
            if left < PAUSE_SECONDS:
                break
            address = self._balancer.pick()
            if address is not None:
                told = await self._send(planned, number, address, left)
                if told == load.Outcome.COMPLETE:
                    ending = told
                    break
                ending = _worse(ending, told)
                if not _may_repeat(planned.kind, told):
                    break
            await asyncio.sleep(PAUSE_SECONDS)
        self.endings[planned.name] = ending

    async def _send(
        self,
        planned: Planned,
        number: int,
        address: str,
        left: float,
    ) -> load.Outcome:
        """Send one try; some orders go out twice at once under their key."""
        other = self._balancer.pick()
        is_hedged = planned.tokens % HEDGED_EACH == 0
        if planned.kind != calls.Kind.KEYED or not is_hedged or not other:
            return await self._try(planned, number, address, left)
        both = await asyncio.gather(
            self._try(planned, number, address, left),
            self._try(planned, number, other, left),
        )
        return (
            load.Outcome.COMPLETE if load.Outcome.COMPLETE in both else both[0]
        )

    async def _try(
        self,
        planned: Planned,
        number: int,
        address: str,
        left: float,
    ) -> load.Outcome:
        body = _body(planned, number)
        caller = self._callers[planned.tokens % len(self._callers)]
        headers = {
            'X_Deadline_Ms': str(int(min(left, TRY_SECONDS - 1) * 1000)),
        }
        asked_at = asyncio.get_running_loop().time()
        answer, whole = await _send(planned, caller, address, body, headers)
        outcome: load.Outcome | None = answer.outcome
        if 'TimeoutError' in answer.code:
            outcome = None
        self.tries.append(
            calls.Try(
                call=planned.name,
                kind=planned.kind,
                body=body,
                asked_at=asked_at,
                told_at=answer.ended_at,
                outcome=outcome,
                text=answer.text if answer.status == 200 else '',
                whole=whole,
                code=answer.code,
            ),
        )
        return answer.outcome


async def _send(
    planned: Planned,
    caller: load.Caller,
    address: str,
    body: str,
    headers: dict[str, str],
) -> tuple[load.Answer, str]:
    if planned.kind == calls.Kind.STREAM:
        chat = load.Chat(prompt=body, tokens=planned.tokens)
        answer = await caller.chat(address, chat, **headers)
        return answer, load.expected_text(chat)
    if planned.kind == calls.Kind.LOOKUP:
        path = f'/stock/{body}'
        answer = await caller.plain(address, 'GET', path, **headers)
        return answer, json.dumps({'booked': '', 'path': path})
    if planned.kind == calls.Kind.KEYED:
        headers['Idempotency_Key'] = planned.name
    path = '/stock/order'
    answer = await caller.plain(address, 'POST', path, body, **headers)
    return answer, json.dumps({'booked': body, 'path': path})


def _body(planned: Planned, number: int) -> str:
    if planned.kind == calls.Kind.KEYED:
        return planned.name
    return f'{planned.name}.{number}'


def _may_repeat(kind: calls.Kind, told: load.Outcome) -> bool:
    if told in {load.Outcome.REFUSED, load.Outcome.UNREACHED}:
        return True
    return kind != calls.Kind.KEYLESS


def _worse(before: load.Outcome, told: load.Outcome) -> load.Outcome:
    """Keep 'may have run' once it was said; a later refusal doesn't undo it."""
    if told in {load.Outcome.BROKEN, load.Outcome.MAY_HAVE_RUN}:
        return load.Outcome.MAY_HAVE_RUN
    return before
