"""Switch one rank's expert map at the step that was agreed, or not at all.

A rank loads what the new map adds while the old one serves, and arms.  From
then on its engine holds at the switch step until the outcome is known, so it
passes that step only with the map that control recorded.
"""

from __future__ import annotations

import asyncio
import logging

import attrs
import numpy

from tamarackthread.agent import (
    control_client,
    engine,
    lifecycle,
    map_cache,
    order_errors,
    switch_record,
    weight_loading,
)
from tamarackthread.policy import expert_map, moves
from tamarackthread.shared import errors

_log = logging.getLogger('tamarackthread.switch')


@attrs.frozen
class ParticipantSettings:
    """Hold the constants of a rank's switch; times are in seconds.

    The outcome normally comes by message within ``patience_seconds``; only
    after that does the rank ask control itself.
    """

    outcome_wait_seconds: float = 0.3
    poll_seconds: float = 0.1
    retry_seconds: float = 0.1


class SwitchParticipant:
    """Keep one engine on the map that control recorded for each step."""

    def __init__(
        self,
        group: str,
        rank: int,
        rank_engine: engine.Engine,
        control: control_client.ControlClient,
        maps: map_cache.MapCache,
        loader: weight_loading.WeightLoader,
        settings: ParticipantSettings | None = None,
    ) -> None:
        """Do nothing before ``run``."""
        self._group = group
        self._rank = rank
        self._engine = rank_engine
        self._control = control
        self._maps = maps
        self._loader = loader
        self._settings = settings or ParticipantSettings()
        self._life = lifecycle.Lifecycle()
        self._record = self._first_record()
        self._loaded_map = ''
        self._starts = 0
        self._fence = 0
        self._lock = asyncio.Lock()
        self._watch: asyncio.Task[None] | None = None

    @property
    def state(self) -> str:
        """Return the state's name, for reports and operators."""
        return self._life.state

    @property
    def record(self) -> switch_record.SwitchRecord:
        """Return the switch that the engine follows."""
        return self._record

    async def run(self) -> None:
        """Place the engine at each of its starts, for ever."""
        incarnation = 0
        while True:
            incarnation = await self._engine.wait_started(incarnation)
            async with self._lock:
                self._lose()
                await self._recover()

    def close(self) -> None:
        """Stop asking for an outcome, when the agent stops."""
        self._stop_watch()

    async def load(
        self,
        target: expert_map.ExpertMap,
        report: engine.Report,
    ) -> None:
        """Load what a map adds for this rank, keeping the one that serves.

        An engine that restarts meanwhile has lost the pieces that came
        before; without the check the rank would arm for experts it lacks.
        """
        if self.state not in {lifecycle.STEADY, lifecycle.LOADED}:
            raise order_errors.RankNotReady(f'rank is {self.state}')
        starts = self._starts
        serving = self._record.settled_map
        current = await self._maps.get(serving)
        added = target.holds() & ~current.holds()
        digest = self._maps.add(target)
        await self._engine.add_map(target)
        await self._loader.load(self._moves(added), report)
        if starts != self._starts or serving != self._record.settled_map:
            raise order_errors.RankNotReady('rank restarted during the load')
        self._loaded_map = digest
        self._life.trigger('load')

    async def arm(
        self,
        record: switch_record.SwitchRecord,
        fence: int,
    ) -> None:
        """Arm the engine for an open switch; arming again does nothing."""
        async with self._lock:
            if (
                record.number <= self._record.number
                and self.state != lifecycle.UNPLACED
            ):
                self._check_known(record)
                return
            fits = record.base == self._record.settled_map
            if (
                self.state != lifecycle.LOADED
                or record.target != self._loaded_map
            ):
                raise order_errors.RankNotReady(f'rank is {self.state}')
            if not fits or not await self._is_past_last_switch():
                raise order_errors.RankNotReady('rank serves another map')
            self._fence = max(self._fence, fence)
            await self._engine.apply_record(record, self._fence)
            self._record = record
            self._life.trigger('arm')
            self._start_watch()

    async def apply_outcome(self, record: switch_record.SwitchRecord) -> None:
        """Take the outcome of the switch that the rank is armed for."""
        async with self._lock:
            if self.state == lifecycle.ARMED:
                await self._settle(record)

    async def _is_past_last_switch(self) -> bool:
        if self._record.stage is not switch_record.Stage.COMMITTED:
            return True
        status = await self._engine.status()
        return status.step >= self._record.from_step

    def _check_known(self, record: switch_record.SwitchRecord) -> None:
        if record.number < self._record.number:
            raise order_errors.SwitchAborted('rank knows of a later switch')
        if self._record.stage is switch_record.Stage.ABORTED:
            raise order_errors.SwitchAborted()

    async def _settle(self, latest: switch_record.SwitchRecord) -> None:
        decided = self._record.outcome_from(latest)
        if decided is None:
            return
        await self._engine.apply_record(decided, self._fence)
        self._record = decided
        self._loaded_map = ''
        self._life.trigger('settle')
        await self._drop_unused()
        _log.info('switch: %d is %s', decided.number, decided.stage.value)

    async def _recover(self) -> None:
        """Bring an engine that has started back with what control knows.

        The failure: a rank that armed restarts before the switch step and
        comes up with the map that it was started with, while the others
        switch; tokens then go to ranks that do not have the expert.  Control
        recorded the intent before this rank could arm, so a read made after
        the restart finds it, and the engine runs no step before that read.
        """
        while True:
            try:
                self._record = await self._place()
            except errors.CodedError as exc:
                _log.warning('switch: cannot place rank, %s %s', exc.code, exc)
                await asyncio.sleep(self._settings.retry_seconds)
                continue
            self._life.trigger('arm' if self._record.is_open else 'place')
            if self._record.is_open:
                self._start_watch()
            return

    async def _place(self) -> switch_record.SwitchRecord:
        await self._loader.sync_loaded()
        self._fence = await self._control.fence(self._group)
        record = await self._control.latest(self._group)
        record = record or self._first_record()
        digests = {record.base, record.settled_map}
        if record.is_open:
            digests.add(record.target)
        for digest in sorted(digests):
            placement = await self._maps.get(digest)
            await self._engine.add_map(placement)
            wanted = self._moves(placement.holds(), urgent=True)
            await self._loader.load(wanted, _no_report)
        await self._engine.apply_record(record, self._fence)
        return record

    def _start_watch(self) -> None:
        self._stop_watch()
        self._watch = asyncio.create_task(self._watch_outcome())

    def _stop_watch(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None

    async def _watch_outcome(self) -> None:
        """Ask control for the outcome when no message brought it."""
        await asyncio.sleep(self._settings.outcome_wait_seconds)
        while self.state == lifecycle.ARMED:
            try:
                latest = await self._control.latest(self._group)
            except errors.CodedError:
                latest = None
            if latest is not None:
                await self._try_apply_outcome(latest)
            await asyncio.sleep(self._settings.poll_seconds)

    async def _try_apply_outcome(
        self, latest: switch_record.SwitchRecord
    ) -> None:
        try:
            await self.apply_outcome(latest)
        except errors.CodedError as exc:
            _log.warning('switch: engine did not follow, %s', exc)

    def _lose(self) -> None:
        self._stop_watch()
        self._life.trigger('lose')
        self._starts += 1
        self._loaded_map = ''

    async def _drop_unused(self) -> None:
        serving = await self._maps.get(self._record.settled_map)
        self._loader.retain(self._moves(serving.holds()))

    def _moves(
        self,
        held: numpy.ndarray,
        urgent: bool = False,
    ) -> list[moves.Move]:
        return rank_moves(held, self._rank, urgent=urgent)

    def _first_record(self) -> switch_record.SwitchRecord:
        initial = self._maps.initial_digest
        return switch_record.SwitchRecord(
            number=0,
            stage=switch_record.Stage.ABORTED,
            from_step=0,
            base=initial,
            target=initial,
        )


def rank_moves(
    held: numpy.ndarray,
    rank: int,
    urgent: bool,
) -> list[moves.Move]:
    """List one rank's (layer, expert) pairs as moves."""
    pairs = numpy.argwhere(numpy.take(held, rank, axis=1))
    return [
        moves.Move(int(layer), rank, int(expert), urgent)
        for layer, expert in pairs
    ]


def _no_report(done: float) -> None:
    """Take no notice of progress."""
