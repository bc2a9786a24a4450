"""Lead a group from one expert map to the next, as its owner."""

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
_SILENCE = (
    errors.RequestTimeout,
    errors.LinkLost,
    errors.AddressUnreachable,
    order_errors.OrderExpired,
)


@attrs.frozen
class CoordinatorSettings:
    """Hold the constants of a switch.

    ``ahead_seconds`` lie between the last step seen and the switch step:
    longer than an owner's lease and the take-over after it, so that ranks
    need not hold even when the owner is lost after they armed.
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
    """Run one switch after the other for an owner."""

    def __init__(
        self,
        group_owner: owner.GroupOwner,
        settings: CoordinatorSettings | None = None,
    ) -> None:
        """Act only while ``group_owner`` is the owner."""
        self._owner = group_owner
        self._settings = settings or CoordinatorSettings()
        self._busy = False

    @property
    def is_busy(self) -> bool:
        """Tell whether a switch is under way."""
        return self._busy

    async def switch_to(
        self,
        target: expert_map.ExpertMap,
    ) -> switch_record.SwitchRecord:
        """Switch the group and return the committed record.

        Raises ``SwitchAborted`` when the old map stays, and ``NotOwner``
        when the outcome is left to the next owner.
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
        base, step = await self._settled_state(latest)
        intent = switch_record.SwitchRecord(
            number=number,
            stage=switch_record.Stage.PREPARED,
            from_step=step,
            base=base,
            target=target.digest(),
        )
        return await self._decide(intent)

    async def _load(self, number: int, target: expert_map.ExpertMap) -> None:
        """Have every rank load; sending the order again asks how far it is."""
        order_id = f'load-{number}-{target.digest()}'
        whole = target.to_json()
        body = whole
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
            _raise_refusal(states.values(), may_lack_body=not body)
            # An agent that restarted has forgotten the order and its map.
            body = whole if _any_lacks_body(states.values()) else ''
            await asyncio.sleep(pause)
            pause = min(pause * 2, self._settings.max_poll_seconds)
        raise order_errors.SwitchAborted('weights were not loaded in time')

    async def _settled_state(
        self,
        latest: switch_record.SwitchRecord | None,
    ) -> tuple[str, int]:
        """Wait for the last switch to lie behind; return map and next step.

        The failure: the intent of a switch is recorded while some rank is
        still before the step of the switch before.  A rank that reads only
        the newer record would serve the steps in between with a map that is
        not due yet.
        """
        passed = 0
        if latest is not None:
            is_committed = latest.stage is switch_record.Stage.COMMITTED
            passed = latest.from_step if is_committed else 0
        while True:
            found = await self._statuses()
            if min(status['step'] for status in found) >= passed:
                break
            await asyncio.sleep(self._settings.poll_seconds)
        served = {status['map'] for status in found}
        if latest is not None:
            served.add(latest.settled_map)
        if len(served) != 1:
            raise order_errors.SwitchAborted('ranks serve another map')
        return served.pop(), self._step_ahead(found)

    def _step_ahead(self, found: list[dict]) -> int:
        """Choose the switch step by the fastest step time reported."""
        quickest = min(status['step_ms'] for status in found)
        step_ms = max(quickest, self._settings.min_step_ms)
        steps = int(self._settings.lead_seconds * 1000 / step_ms) + 1
        return max(status['step'] for status in found) + steps

    async def _statuses(self) -> list[dict]:
        answers = await self._ask_all(order_state.STATUS, 'status', '')
        if not _all_done(answers.values()):
            raise order_errors.SwitchAborted('a rank gave no status')
        return order_state.status_results(answers)

    async def _decide(
        self,
        intent: switch_record.SwitchRecord,
    ) -> switch_record.SwitchRecord:
        """Record the intent, arm all ranks, record and tell the outcome."""
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
        """Tell whether every rank has armed within the time for it."""
        answers = await self._ask_all(
            order_state.MAP_ARM,
            f'arm-{intent.number}',
            intent.to_json(),
        )
        return _all_done(answers.values())

    async def _ask_all(self, action: str, order_id: str, body: str) -> _Answers:
        """Order all ranks, and those that stay silent again and again.

        One lost message in a group of 32 would else cost the whole switch.
        A refusal ends the asking, since it will not change.
        """
        end = asyncio.get_running_loop().time() + self._settings.arm_seconds
        answers: _Answers = {}
        silent = list(self._owner.transport.ranks)
        while silent and asyncio.get_running_loop().time() < end:
            found = await self._owner.order_ranks(
                silent,
                action,
                order_id,
                body,
                self._settings.request_seconds,
            )
            answers.update(found)
            silent = [
                rank
                for rank, answer in found.items()
                if isinstance(answer, _SILENCE)
            ]
            if not silent or any(map(_is_refusal, found.values())):
                break
            # A link that is down fails at once: without a pause the asking
            # would take the whole processor until the time is up.
            await asyncio.sleep(self._settings.retry_seconds)
        return answers


def _is_refusal(answer: order_state.OrderState | errors.CodedError) -> bool:
    is_error = isinstance(answer, errors.CodedError)
    return is_error and not isinstance(answer, _SILENCE)


def _all_done(states: _States) -> bool:
    return all(
        isinstance(state, order_state.OrderState)
        and state.state == order_state.DONE
        for state in states
    )


def _any_lacks_body(states: _States) -> bool:
    return any(
        isinstance(state, expert_map.ExpertMapInvalid) for state in states
    )


def _raise_refusal(states: _States, may_lack_body: bool) -> None:
    """Raise what cannot get better by asking again."""
    for state in states:
        if isinstance(state, order_errors.NotOwner | order_errors.OrderStale):
            raise state
    if not may_lack_body and _any_lacks_body(states):
        raise expert_map.ExpertMapInvalid('a rank refused the map')
