"""Induce the faults of one run, some of them two at a time."""

from __future__ import annotations

import asyncio
import collections.abc
import signal

from bench.faults import stand

WARM_SECONDS = 3.0
DOWN_SECONDS = 1.5
STOPPED_SECONDS = 4.0
CUT_OFF_SECONDS = 5.0
QUIET_SECONDS = 7.0


class Faults:
    """Break things on a stand, each for a while."""

    def __init__(self, subject: stand.Stand) -> None:
        """Break nothing yet."""
        self._stand = subject
        self.induced: list[str] = []

    async def kill(self, name: str) -> None:
        """Kill a process with -9 and start it again."""
        begins = self._begin(f'kill {name}')
        self._stand.send(name, signal.SIGKILL)
        await self._stand.wait_ended(name)
        await asyncio.sleep(DOWN_SECONDS)
        await self._stand.start_again(name)
        self._stand.note(begins, planned=False)

    async def freeze(self, name: str) -> None:
        """Stop a process and let it go on as if nothing had been."""
        begins = self._begin(f'stop {name}')
        self._stand.send(name, signal.SIGSTOP)
        await asyncio.sleep(STOPPED_SECONDS)
        self._stand.send(name, signal.SIGCONT)
        self._stand.note(begins, planned=False)

    async def isolate(self, name: str) -> None:
        """Cut a node off from all others, then deliver what was held back."""
        begins = self._begin(f'isolate {name}')
        self._stand.relays.isolate(name)
        await asyncio.sleep(CUT_OFF_SECONDS)
        self._stand.relays.rejoin(name)
        self._stand.note(begins, planned=False)

    async def silence(self, dialler: str, listener: str) -> None:
        """Turn the open connections between two nodes silent for good."""
        begins = self._begin(f'silence {dialler} to {listener}')
        lost = self._stand.relays.silence(dialler, listener)
        if not lost:
            self.induced.append(f'nothing to silence: {dialler} {listener}')
        await asyncio.sleep(DOWN_SECONDS)
        self._stand.note(begins, planned=False)

    async def restart(self, names: collections.abc.Iterable[str]) -> None:
        """Restart processes one after another, as a planned stop."""
        for name in names:
            begins = self._begin(f'restart {name}')
            self._stand.send(name, signal.SIGTERM)
            await self._stand.wait_ended(name)
            await self._stand.start_again(name)
            self._stand.note(begins, planned=True)

    async def run_quick(self) -> None:
        """Induce one fault of each kind, the last two together."""
        await asyncio.sleep(WARM_SECONDS)
        await self.kill('entry-0')
        await self.silence('entry-1', 'order-1')
        await self.freeze('order-0')
        await asyncio.sleep(QUIET_SECONDS)
        await self.restart(['entry-1', 'order-2', 'draft-2'])
        await asyncio.gather(
            self.isolate(await self._stand.leader()),
            self.kill('order-1'),
        )

    async def run_all(self) -> None:
        """Induce each kind of fault, alone and two at a time."""
        await asyncio.sleep(WARM_SECONDS)
        subject = self._stand
        await self.kill('order-0')
        await self.kill('entry-0')
        await self.silence('entry-1', 'order-1')
        await self.silence('entry-0', 'draft-1')
        await self.freeze('order-1')
        await asyncio.gather(
            self.kill(await subject.leader()),
            self.silence('entry-0', 'order-2'),
        )
        await self.isolate('entry-1')
        await self.isolate(await subject.leader())
        await asyncio.gather(self.freeze('entry-0'), self.kill('order-2'))
        await asyncio.gather(
            self.freeze(await subject.leader()),
            self.kill('entry-1'),
        )
        # The faults' effects are over before the planned stops begin, so
        # that whatever is cut off now was cut off by a planned stop.
        await asyncio.sleep(QUIET_SECONDS)
        everything = [*subject.entries, *subject.agents, *subject.controls]
        await self.restart(everything)
        await asyncio.gather(
            self.restart(subject.entries),
            self.kill('order-0'),
        )

    def _begin(self, text: str) -> float:
        self.induced.append(text)
        print(f'fault: {text}', flush=True)
        return asyncio.get_running_loop().time()
