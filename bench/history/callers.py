"""Change and read documents as operators do: racing, resending, giving up."""

from __future__ import annotations

import asyncio
import random
import types

from bench.history import events, hosts, watched
from tamarackthread.control import failures
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, wire

_NAMES = ('harbour', 'meadow')
_ATTEMPTS = 12
PERIOD_SECONDS = 4.0
PAUSE_SECONDS = 1.8
_OUTCOMES = types.MappingProxyType(
    {
        messages.ChangeStatus.ACCEPTED: events.ACCEPTED,
        messages.ChangeStatus.CONFLICT: events.CONFLICT,
    }
)


def is_pause() -> bool:
    """Say whether all callers rest at this moment."""
    now = asyncio.get_running_loop().time()
    return now % PERIOD_SECONDS < PAUSE_SECONDS


class Caller:
    """One operator that works until cancelled."""

    def __init__(self, number: int, group: hosts.Hosts, seed: int) -> None:
        """Draw decisions from an own source, so that callers differ."""
        self._number = number
        self._hosts = group
        self._rng = random.Random(seed * 1_000 + number)
        self._versions = dict.fromkeys(_NAMES, 0)
        self._changes = 0

    async def work(self) -> None:
        """Change or read one document after another."""
        while True:
            await asyncio.sleep(self._rng.uniform(0.01, 0.15))
            await self._pause()
            name = self._rng.choice(_NAMES)
            if self._rng.random() < 0.4:
                await self._read(name)
                continue
            await self._change(name)

    async def _pause(self) -> None:
        """Rest at times, all callers alike.

        Only in a pause can a host that was cut off still have the whole log,
        and so be elected.
        """
        while is_pause():
            await asyncio.sleep(0.1)

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def _pick(self) -> hosts.Host | None:
        leader = self._hosts.leader
        if leader is not None and self._rng.random() < 0.5:
            return leader
        running = self._hosts.running
        return self._rng.choice(running) if running else None

    async def _read(self, name: str) -> None:
        host = self._pick()
        if host is None:
            return
        began = self._now()
        machine = host.machine
        try:
            await host.process.read_barrier(1.0)
        except errors.CodedError:
            return
        version, body = machine.read(name)
        self._versions[name] = version
        self._record(events.READ, name, began, version=version, body=body)

    async def _change(self, name: str) -> None:
        self._changes += 1
        change = messages.ChangeRequest(
            change_id=f'c{self._number}-{self._changes}',
            actor='operator',
            origin='bench',
            kind=watched.KIND,
            name=name,
            based_on=self._versions[name],
            body='{{"by": "{0}-{1}"}}'.format(self._number, self._changes),
        )
        began = self._now()
        unknown = False
        try:
            for _ in range(_ATTEMPTS):
                reply = await self._attempt(change)
                if isinstance(reply, messages.ChangeReply):
                    self._answered(change, began, reply)
                    unknown = False
                    return
                unknown = unknown or reply
                await asyncio.sleep(self._rng.uniform(0.05, 0.4))
        except asyncio.CancelledError:
            unknown = True
            raise
        finally:
            self._unanswered(change, began, unknown)

    async def _attempt(
        self, change: messages.ChangeRequest
    ) -> messages.ChangeReply | bool:
        """Return the answer, or whether the change may have been made."""
        host = self._pick()
        if host is None:
            return False
        command = wire.encode(
            messages.ConfigCommand(
                unix_ms=0, elapsed_ms=0, change=change, findings=[]
            )
        )
        process = host.process
        try:
            done = await process.submit(command, self._rng.uniform(0.2, 1.5))
        except failures.OutcomeUnknown:
            return True
        except errors.CodedError:
            return False
        if process.is_leader:
            self._note_leader(host.node, process.term)
        return wire.decode(messages.Reply, done.result).change

    def _note_leader(self, node: str, term: int) -> None:
        nodes = self._hosts.history.accepted_by.setdefault(term, set())
        nodes.add(node)

    def _answered(
        self,
        change: messages.ChangeRequest,
        began: float,
        reply: messages.ChangeReply,
    ) -> None:
        self._versions[change.name] = reply.version
        self._record(
            _OUTCOMES[reply.status],
            change.name,
            began,
            change_id=change.change_id,
            version=reply.version,
            body=change.body,
            based_on=change.based_on,
        )

    def _unanswered(
        self, change: messages.ChangeRequest, began: float, unknown: bool
    ) -> None:
        done = self._hosts.history.operations
        if done and done[-1].change_id == change.change_id:
            return
        outcome = events.UNKNOWN if unknown else events.REFUSED
        done.append(
            events.Operation(
                caller=self._number,
                outcome=outcome,
                name=change.name,
                began=began,
                change_id=change.change_id,
            )
        )

    def _record(
        self,
        outcome: str,
        name: str,
        began: float,
        change_id: str = '',
        version: int = 0,
        body: str = '',
        based_on: int = 0,
    ) -> None:
        self._hosts.history.operations.append(
            events.Operation(
                caller=self._number,
                outcome=outcome,
                name=name,
                began=began,
                ended=self._now(),
                change_id=change_id,
                version=version,
                body=body,
                based_on=based_on,
            )
        )
