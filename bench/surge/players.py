"""Play the wave through one kind of balancer.

A player is the entries of one balancer with their callers.  The policies are
the product's own; only hops and engines are imitated.
"""

from __future__ import annotations

import abc
import asyncio
import enum
import functools

import attrs

from bench.surge import engine, fleet, workload
from tamarackthread.policy import tickets
from tamarackthread.shared import errors


class Outcome(enum.Enum):
    """Name how a call ended for its caller."""

    ON_TIME = 'on time'
    LATE = 'late'
    REFUSED = 'refused'


@attrs.frozen(slots=True, kw_only=True)
class Result:
    """What the caller of one call saw, times in seconds after it asked."""

    call: workload.Offered
    outcome: Outcome
    first_token: float | None
    ended: float
    retry_after: float = 0


@attrs.define(slots=True, eq=False)
class Transfer:
    """One call on its way between an entry and an engine."""

    job: engine.Job
    replica: engine.Engine
    hop: float
    ended: asyncio.Future[None]


class Player(abc.ABC):
    """Answer the callers of one balancer."""

    def __init__(self, own_fleet: fleet.Fleet) -> None:
        """Play against ``own_fleet``."""
        self._fleet = own_fleet
        self._first: dict[int, float] = {}
        self._replicas: dict[str, engine.Engine] = {}
        for replicas in own_fleet.engines.values():
            for replica in replicas:
                self._replicas[replica.name] = replica
        self.results: list[Result] = []

    @property
    def fleet(self) -> fleet.Fleet:
        """Return the engines played against."""
        return self._fleet

    @abc.abstractmethod
    def receivers(self) -> list[fleet.Receive]:
        """Return what takes in load reports, one for each entry."""

    @abc.abstractmethod
    async def answer(self, call: workload.Offered, deadline: float) -> None:
        """Answer a call at its entry; raise a coded error to refuse it."""

    async def play(self, call: workload.Offered) -> None:
        """Send a call as its caller does, and note what the caller sees."""
        loop = asyncio.get_running_loop()
        deadline = call.at + call.patience
        await asyncio.sleep(fleet.CALLER_SECONDS)
        outcome = Outcome.ON_TIME
        retry_after: float = 0
        try:
            async with asyncio.timeout_at(deadline - fleet.CALLER_SECONDS):
                await self.answer(call, deadline - fleet.CALLER_SECONDS)
        except errors.CodedError as exc:
            # A call that has begun to answer can't be refused any more.
            begun = id(call) in self._first
            outcome = Outcome.LATE if begun else Outcome.REFUSED
            retry_after = exc.retry_after
        except TimeoutError:
            outcome = Outcome.LATE
        first = self._first.pop(id(call), None)
        if first is not None:
            first += fleet.CALLER_SECONDS - call.at
        self.results.append(
            Result(
                call=call,
                outcome=outcome,
                first_token=first,
                ended=loop.time() + fleet.CALLER_SECONDS - call.at,
                retry_after=retry_after,
            ),
        )

    async def _send(
        self,
        call: workload.Offered,
        target: str,
        ticket: tickets.Ticket | None = None,
    ) -> Transfer | None:
        """Hand a call to an engine; return ``None`` when it refuses."""
        loop = asyncio.get_running_loop()
        replica = self._replicas[target]
        hop = fleet.hop_seconds(call.entry, replica)
        ended = loop.create_future()
        job = engine.Job(
            priority=call.priority,
            prompt_tokens=call.prompt_tokens,
            answer_tokens=call.answer_tokens,
            prefixes=call.prefixes,
            on_first=functools.partial(
                loop.call_later,
                hop,
                self._note_first,
                call,
                ticket,
            ),
            on_end=functools.partial(loop.call_later, hop, _finish, ended),
        )
        if ticket is not None:
            job.on_progress = functools.partial(
                loop.call_later,
                hop,
                ticket.advance,
            )
            job.answer_tokens -= ticket.start
            job.prompt_tokens += ticket.start
        await asyncio.sleep(hop)
        if replica.submit(job):
            return Transfer(job, replica, hop, ended)
        await asyncio.sleep(hop)
        return None

    async def _wait(self, transfer: Transfer) -> None:
        """Wait for the end; a caller that leaves cancels at the engine."""
        try:
            await transfer.ended
        except asyncio.CancelledError:
            loop = asyncio.get_running_loop()
            loop.call_later(
                transfer.hop,
                transfer.replica.cancel,
                transfer.job,
            )
            raise

    def _note_first(
        self,
        call: workload.Offered,
        ticket: tickets.Ticket | None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self._first.setdefault(id(call), loop.time())
        if ticket is not None:
            ticket.first_token()


def _finish(ended: asyncio.Future[None]) -> None:
    if not ended.done():
        ended.set_result(None)
