"""Race operators against each other and record what they were answered."""

from __future__ import annotations

import asyncio
import json
import random
import secrets
import typing

import attrs

from bench.config import journal
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, identity, link_pool

TRY_SECONDS = 0.8
PAUSE_SECONDS = 0.02
GIVE_UP_SECONDS = 30.0
NAMES = 12
RACING_SHARE = 0.1
CALM = 0
DISTURBED = 1
BURST = 2


@attrs.define
class Tally:
    """What became of the changes."""

    changes: int = 0
    conflicts: int = 0
    unanswered: int = 0
    accepted: list[journal.Accepted] = attrs.field(factory=list)
    bodies: dict[int, str] = attrs.field(factory=dict)


class Operator:
    """Send changes to whichever control host answers."""

    def __init__(self, name: str, key: bytes, addresses: list[str]) -> None:
        """Dial nothing yet."""
        self._name = name
        self._addresses = list(addresses)
        own = identity.Identity(node=name, role=messages.Role.OPERATOR)
        self._links = link_pool.LinkPool(identity.LinkOptions(own, (key,)))

    def close(self) -> None:
        """Close the links."""
        self._links.close()

    async def ask(self, request: messages.Request) -> messages.Reply | None:
        """Ask until answered; ``None`` after half a minute."""
        loop = asyncio.get_running_loop()
        until = loop.time() + GIVE_UP_SECONDS
        while loop.time() < until:
            address = self._addresses[0]
            try:
                async with asyncio.timeout(TRY_SECONDS):
                    return await self._links.request(
                        address,
                        request,
                        TRY_SECONDS,
                    )
            except (errors.CodedError, TimeoutError):
                self._addresses.append(self._addresses.pop(0))
            await asyncio.sleep(PAUSE_SECONDS)
        return None

    async def change(
        self,
        name: str,
        based_on: int,
        body: str,
    ) -> messages.ChangeReply | None:
        """Change a profile; a resend carries the same change id."""
        change = messages.ChangeRequest(
            change_id=secrets.token_hex(8),
            actor=self._name,
            origin='bench',
            kind='profile',
            name=name,
            based_on=based_on,
            body=body,
        )
        reply = await self.ask(messages.Request(change=change))
        return None if reply is None else reply.change


class Race:
    """Have two operators change the same few profiles at a steady rate."""

    def __init__(
        self,
        operators: typing.Sequence[Operator],
        rng: random.Random,
    ) -> None:
        """Share the operators' views of versions, which are often stale."""
        self.tally = Tally()
        self.phase = CALM
        self._operators = operators
        self._rng = rng
        self._versions: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, changes: int, per_second: float) -> None:
        """Send changes at random times around the rate and await them all."""
        for number in range(changes):
            operator = self._operators[number % len(self._operators)]
            self._spawn(self._one(operator, number))
            if self._rng.random() < RACING_SHARE:
                other = self._operators[(number + 1) % len(self._operators)]
                self._spawn(self._one(other, number))
            await asyncio.sleep(self._rng.expovariate(per_second))
        while self._tasks:
            await asyncio.wait(tuple(self._tasks))

    async def burst(self, changes: int, at_once: int) -> None:
        """Send changes as fast as so many at once can be answered."""
        for start in range(0, changes, at_once):
            batch = range(start, min(start + at_once, changes))
            operators = self._operators
            await asyncio.gather(
                *(
                    self._one(operators[place % len(operators)], place)
                    for place in batch
                ),
            )

    def _spawn(self, work: typing.Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _one(self, operator: Operator, number: int) -> None:
        name = f'profile-{number % NAMES}'
        body = json.dumps({'retries': {'budget_per_second': number + 1}})
        loop = asyncio.get_running_loop()
        asked_at = loop.time()
        phase = self.phase
        self.tally.changes += 1
        based_on = self._versions.get(name, 0)
        reply = await operator.change(name, based_on, body)
        if reply is None:
            self.tally.unanswered += 1
            return
        self._versions[name] = max(based_on, reply.version)
        if reply.status != messages.ChangeStatus.ACCEPTED:
            self.tally.conflicts += 1
            return
        self.tally.bodies[reply.revision] = body
        self.tally.accepted.append(
            journal.Accepted(
                revision=reply.revision,
                asked_at=asked_at,
                accepted_at=loop.time(),
                phase=max(phase, self.phase),
            ),
        )
