"""Coordinate map switches of a group as two-phase commits."""

from __future__ import annotations

import asyncio
import collections.abc
import logging

import attrs

from tamarackthread.agent import (
    order_errors,
    order_state,
    owner,
    switch_record,
)
from tamarackthread.policy import expert_map
from tamarackthread.shared import errors

_log = logging.getLogger('tamarackthread.owner')


_Answers = dict[int, order_state.OrderState | errors.CodedError]
_States = collections.abc.Iterable[order_state.OrderState | errors.CodedError]
_RETRYABLE = (
    errors.RequestTimeout,
    errors.LinkLost,
    errors.AddressUnreachable,
    order_errors.OrderExpired,
)


@attrs.frozen
class CoordinatorSettings:
    """Timing of a switch.  Its step is ``lead_seconds`` ahead, longer than a
    lease and a takeover, so that ranks don't hold if the owner is lost.
    """

    lead_seconds: float = 4
    min_step_ms: float = 1
    arm_seconds: float = 1
    request_seconds: float = 0.2
    retry_seconds: float = 0.05
    load_seconds: float = 600
    poll_seconds: float = 0.1
    max_poll_seconds: float = 2


class SwitchCoordinator:
    """Run map switches for the owner of a group, one at a time."""

    def __init__(
        self,
        group_owner: owner.GroupOwner,
        settings: CoordinatorSettings | None = None,
    ) -> None:
        """Coordinate only while ``group_owner`` holds the lease."""
        self._owner = group_owner
        self._settings = settings or CoordinatorSettings()
        self._busy = False

    @property
    def is_busy(self) -> bool:
        """Tell whether a switch is in progress."""
        return self._busy

    async def switch_to(
        self,
        target: expert_map.ExpertMap,
    ) -> switch_record.SwitchRecord:
        """Switch the group and return the committed record.  Raises
        ``SwitchAborted``, or ``NotOwner`` if the next owner will decide.
        """
        if self._busy:
            raise order_errors.SwitchUnderWay()
        self._busy = True
        try:
            return await self._switch(target)
        finally:
            self._busy = False

    async def _switch(
        self,
        target: expert_map.ExpertMap,
    ) -> switch_record.SwitchRecord:
        if not self._owner.is_owner:
            raise order_errors.NotOwner()
        latest = await self._owner.control.latest(self._owner.group)
        number = 1 if latest is None else latest.number + 1
        await self._load(number, target)
        base, step = await self._await_previous_switch(latest)
        intent = switch_record.SwitchRecord(
            number=number,
            stage=switch_record.Stage.PREPARED,
            from_step=step,
            base=base,
            target=target.digest(),
        )
        return await self._decide(intent)

    async def _load(self, number: int, target: expert_map.ExpertMap) -> None:
        """Load the map at all ranks, polling by resending the order."""
        order_id = f'load-{number}-{target.digest()}'
        map_json = target.to_json()
        body = map_json
        pause = self._settings.poll_seconds
        end = asyncio.get_running_loop().time() + self._settings.load_seconds
        while asyncio.get_running_loop().time() < end:
            states = await self._owner.order_all(
                order_state.MAP_LOAD,
                order_id,
                body,
            )
            if _all_done(states.values()):
                return
            _raise_refusal(states.values(), was_poll=not body)
            # A restarted agent has lost the order and needs its map again.
            body = map_json if _any_needs_body(states.values()) else ''
            await asyncio.sleep(pause)
            pause = min(pause * 2, self._settings.max_poll_seconds)
        raise order_errors.SwitchAborted('timed out while ranks loaded weights')

    async def _await_previous_switch(
        self,
        latest: switch_record.SwitchRecord | None,
    ) -> tuple[str, int]:
        """Wait until all ranks are past the previous switch, as a later record
        hides it from a restarted rank; return the map and the switch step.
        """
        previous_step = 0
        if latest is not None:
            is_committed = latest.stage is switch_record.Stage.COMMITTED
            previous_step = latest.from_step if is_committed else 0
        while True:
            found = await self._statuses()
            if min(status['step'] for status in found) >= previous_step:
                break
            await asyncio.sleep(self._settings.poll_seconds)
        maps = {status['map'] for status in found}
        if latest is not None:
            maps.add(latest.settled_map)
        if len(maps) != 1:
            raise order_errors.SwitchAborted('ranks serve different maps')
        return maps.pop(), self._choose_step(found)

    def _choose_step(self, found: list[dict]) -> int:
        """Choose the switch step from the shortest step time reported."""
        shortest_ms = min(status['step_ms'] for status in found)
        step_ms = max(shortest_ms, self._settings.min_step_ms)
        steps = int(self._settings.lead_seconds * 1000 / step_ms) + 1
        return max(status['step'] for status in found) + steps

    async def _statuses(self) -> list[dict]:
        answers = await self._order_with_retries(
            order_state.STATUS, 'status', ''
        )
        if not _all_done(answers.values()):
            raise order_errors.SwitchAborted('a rank did not report its status')
        return order_state.status_results(answers)

    async def _decide(
        self,
        intent: switch_record.SwitchRecord,
    ) -> switch_record.SwitchRecord:
        """Record the intent, arm all ranks, record and send the outcome."""
        if await self._owner.record(intent) != intent:
            raise order_errors.SwitchAborted('control refused the intent')
        stage = switch_record.Stage.ABORTED
        if await self._arm(intent):
            stage = switch_record.Stage.COMMITTED
        wanted = intent.with_outcome(stage)
        decided = await self._owner.record(wanted)
        if decided is None:
            raise order_errors.NotOwner('another owner decides the switch')
        _log.info('owner: switch %d is %s', decided.number, decided.stage.value)
        await self._owner.send_outcome(decided)
        if decided.stage is not switch_record.Stage.COMMITTED:
            raise order_errors.SwitchAborted('not every rank armed in time')
        return decided

    async def _arm(self, intent: switch_record.SwitchRecord) -> bool:
        """Arm all ranks; return whether all succeeded before the timeout."""
        answers = await self._order_with_retries(
            order_state.MAP_ARM,
            f'arm-{intent.number}',
            intent.to_json(),
        )
        return _all_done(answers.values())

    async def _order_with_retries(
        self, action: str, order_id: str, body: str
    ) -> _Answers:
        """Send an order to all ranks and retry those without an answer, as one
        lost message would abort the switch; a refusal is final.
        """
        end = asyncio.get_running_loop().time() + self._settings.arm_seconds
        answers: _Answers = {}
        pending = list(self._owner.transport.ranks)
        while pending and asyncio.get_running_loop().time() < end:
            found = await self._owner.order_ranks(
                pending,
                action,
                order_id,
                body,
                self._settings.request_seconds,
            )
            answers.update(found)
            pending = [
                rank
                for rank, answer in found.items()
                if isinstance(answer, _RETRYABLE)
            ]
            if not pending or any(map(_is_refusal, found.values())):
                break
            # A broken link fails at once; without a pause this would spin.
            await asyncio.sleep(self._settings.retry_seconds)
        return answers


def _is_refusal(answer: order_state.OrderState | errors.CodedError) -> bool:
    is_error = isinstance(answer, errors.CodedError)
    return is_error and not isinstance(answer, _RETRYABLE)


def _all_done(states: _States) -> bool:
    return all(
        isinstance(state, order_state.OrderState)
        and state.state == order_state.DONE
        for state in states
    )


def _any_needs_body(states: _States) -> bool:
    return any(
        isinstance(state, expert_map.ExpertMapInvalid) for state in states
    )


def _raise_refusal(states: _States, was_poll: bool) -> None:
    """Raise the errors that a retry cannot resolve."""
    for state in states:
        if isinstance(state, order_errors.NotOwner | order_errors.OrderStale):
            raise state
    if not was_poll and _any_needs_body(states):
        raise expert_map.ExpertMapInvalid('a rank refused the map')
