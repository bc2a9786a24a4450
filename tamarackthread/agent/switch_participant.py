"""Take part in map switches, as the participant of a two-phase commit.  An
armed rank holds at the switch step until it knows the recorded outcome.
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
    """Timing of one participant: after ``outcome_wait_seconds`` without an
    outcome from the owner, it polls control.
    """

    outcome_wait_seconds: float = 0.3
    poll_seconds: float = 0.1
    retry_seconds: float = 0.1


class SwitchParticipant:
    """Keep one engine on the map recorded for each step."""

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
        """Prepare the state; ``run`` follows the engine."""
        self._group = group
        self._rank = rank
        self._engine = rank_engine
        self._control = control
        self._maps = maps
        self._loader = loader
        self._settings = settings or ParticipantSettings()
        self._lifecycle = lifecycle.Lifecycle()
        self._record = self._initial_record()
        self._loaded_map = ''
        self._starts = 0
        self._fence = 0
        self._lock = asyncio.Lock()
        self._polling: asyncio.Task[None] | None = None

    @property
    def state(self) -> str:
        """Return the name of the current state."""
        return self._lifecycle.state

    @property
    def record(self) -> switch_record.SwitchRecord:
        """Return the record last applied to the engine."""
        return self._record

    async def run(self) -> None:
        """Recover the engine at each of its starts, until cancelled."""
        incarnation = 0
        while True:
            incarnation = await self._engine.wait_started(incarnation)
            async with self._lock:
                self._reset()
                await self._recover()

    def close(self) -> None:
        """Stop polling for an outcome."""
        self._stop_polling()

    async def load(
        self,
        target: expert_map.ExpertMap,
        report: engine.Report,
    ) -> None:
        """Load the weights that a map adds; raise ``RankNotReady`` if the
        engine restarts meanwhile, which loses the pieces loaded before.
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
        self._lifecycle.trigger('load')

    async def arm(
        self,
        record: switch_record.SwitchRecord,
        fence: int,
    ) -> None:
        """Arm the engine for an open switch; idempotent."""
        async with self._lock:
            if (
                record.number <= self._record.number
                and self.state != lifecycle.UNPLACED
            ):
                self._check_past_switch(record)
                return
            fits = record.base == self._record.settled_map
            if (
                self.state != lifecycle.LOADED
                or record.target != self._loaded_map
            ):
                raise order_errors.RankNotReady(f'rank is {self.state}')
            if not fits or not await self._is_past_last_switch():
                raise order_errors.RankNotReady(
                    'rank serves another map than the base'
                )
            self._fence = max(self._fence, fence)
            await self._engine.apply_record(record, self._fence)
            self._record = record
            self._lifecycle.trigger('arm')
            self._start_polling()

    async def apply_outcome(self, record: switch_record.SwitchRecord) -> None:
        """Apply the outcome of the switch that the rank is armed for."""
        async with self._lock:
            if self.state == lifecycle.ARMED:
                await self._apply_decision(record)

    async def _is_past_last_switch(self) -> bool:
        if self._record.stage is not switch_record.Stage.COMMITTED:
            return True
        status = await self._engine.status()
        return status.step >= self._record.from_step

    def _check_past_switch(self, record: switch_record.SwitchRecord) -> None:
        if record.number < self._record.number:
            raise order_errors.SwitchAborted('rank has seen a later switch')
        if self._record.stage is switch_record.Stage.ABORTED:
            raise order_errors.SwitchAborted()

    async def _apply_decision(self, latest: switch_record.SwitchRecord) -> None:
        decided = self._record.outcome_from(latest)
        if decided is None:
            return
        await self._engine.apply_record(decided, self._fence)
        self._record = decided
        self._loaded_map = ''
        self._lifecycle.trigger('settle')
        await self._forget_unused()
        _log.info('switch: %d is %s', decided.number, decided.stage.value)

    async def _recover(self) -> None:
        """Restore a started engine from control's latest record before its
        first step, or a rank restarted after arming might use the old map.
        """
        while True:
            try:
                self._record = await self._restore()
            except errors.CodedError as exc:
                _log.warning(
                    'switch: cannot restore the engine, %s %s', exc.code, exc
                )
                await asyncio.sleep(self._settings.retry_seconds)
                continue
            self._lifecycle.trigger('arm' if self._record.is_open else 'place')
            if self._record.is_open:
                self._start_polling()
            return

    async def _restore(self) -> switch_record.SwitchRecord:
        await self._loader.sync_loaded()
        self._fence = await self._control.highest_fence(self._group)
        record = await self._control.latest(self._group)
        record = record or self._initial_record()
        digests = {record.base, record.settled_map}
        if record.is_open:
            digests.add(record.target)
        for digest in sorted(digests):
            placement = await self._maps.get(digest)
            await self._engine.add_map(placement)
            wanted = self._moves(placement.holds(), urgent=True)
            await self._loader.load(wanted, _ignore_progress)
        await self._engine.apply_record(record, self._fence)
        return record

    def _start_polling(self) -> None:
        self._stop_polling()
        self._polling = asyncio.create_task(self._poll_outcome())

    def _stop_polling(self) -> None:
        if self._polling is not None:
            self._polling.cancel()
            self._polling = None

    async def _poll_outcome(self) -> None:
        """Poll control for the outcome if the owner doesn't send it."""
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
            _log.warning('switch: engine did not apply the outcome, %s', exc)

    def _reset(self) -> None:
        self._stop_polling()
        self._lifecycle.trigger('lose')
        self._starts += 1
        self._loaded_map = ''

    async def _forget_unused(self) -> None:
        serving = await self._maps.get(self._record.settled_map)
        self._loader.retain(self._moves(serving.holds()))

    def _moves(
        self,
        held: numpy.ndarray,
        urgent: bool = False,
    ) -> list[moves.Move]:
        return rank_moves(held, self._rank, urgent=urgent)

    def _initial_record(self) -> switch_record.SwitchRecord:
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


def _ignore_progress(done: float) -> None:
    """Ignore the progress."""
