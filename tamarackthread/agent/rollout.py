"""Roll a version out group by group and stop when a group gets worse."""

from __future__ import annotations

import abc
import asyncio
import collections.abc

import attrs

from tamarackthread.agent import order_errors
from tamarackthread.shared import errors


@attrs.frozen
class GroupHealth:
    """What a group shows over a while; ``failed`` is a share of calls."""

    step_ms: float
    failure_ratio: float


class RolloutGroup(abc.ABC):
    """One group that gets the version."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Return the group's name."""

    @abc.abstractmethod
    async def load_version(self, version: str, rollout_id: str) -> str:
        """Bring the group to a version and return the one before.

        Idempotent under one ``rollout_id``; raises what failed.
        """

    @abc.abstractmethod
    async def health(self, seconds: float) -> GroupHealth:
        """Watch the group for some seconds."""


@attrs.frozen
class RolloutLimits:
    """Say how much worse a group may get.

    The step time is compared with the group's own before, corrected by how
    the groups that were not touched changed meanwhile: a wave that slows all
    of them must not be blamed on the version.
    """

    observe_seconds: float = 30
    max_slowdown: float = 1.15
    max_failure_increase: float = 0.005


@attrs.frozen
class RolloutProgress:
    """What operators see of a roll-out."""

    version: str
    done: tuple[str, ...]
    left: tuple[str, ...]
    stopped: str = ''


class Rollout:
    """Bring groups to a version, one after the other."""

    def __init__(
        self,
        rollout_id: str,
        version: str,
        groups: collections.abc.Sequence[RolloutGroup],
        limits: RolloutLimits,
    ) -> None:
        """Touch no group before ``run``."""
        self._id = rollout_id
        self._version = version
        self._groups = list(groups)
        self._limits = limits
        self._done: list[str] = []
        self._stopped = ''

    @property
    def progress(self) -> RolloutProgress:
        """Return how far the roll-out has come."""
        names = [group.name for group in self._groups]
        left = tuple(name for name in names if name not in self._done)
        return RolloutProgress(
            self._version,
            tuple(self._done),
            left,
            self._stopped,
        )

    def stop(self, reason: str) -> None:
        """Touch no further group; the one under way is finished."""
        self._stopped = self._stopped or reason

    async def run(self) -> None:
        """Go through the groups; raise ``RolloutStopped`` when it ends early.

        A group that got worse is brought back to the version it had.
        """
        for number, group in enumerate(self._groups):
            if self._stopped:
                raise order_errors.RolloutStopped(self._stopped)
            if group.name in self._done:
                continue
            await self._upgrade(group, self._groups[number + 1 :])
            self._done.append(group.name)

    async def _upgrade(
        self,
        group: RolloutGroup,
        untouched: collections.abc.Sequence[RolloutGroup],
    ) -> None:
        before = await self._watch([group, *untouched])
        try:
            previous = await group.load_version(self._version, self._id)
        except errors.CodedError as exc:
            self.stop(f'{group.name}: {exc.code} {exc}')
            raise order_errors.RolloutStopped(self._stopped) from exc
        after = await self._watch([group, *untouched])
        reason = self._verdict(before, after)
        if reason:
            self.stop(f'{group.name}: {reason}')
            await group.load_version(previous, f'{self._id}-undo')
            raise order_errors.RolloutStopped(self._stopped)

    async def _watch(
        self,
        groups: collections.abc.Sequence[RolloutGroup],
    ) -> list[GroupHealth]:
        seconds = self._limits.observe_seconds
        watching = [group.health(seconds) for group in groups]
        return await asyncio.gather(*watching)

    def _verdict(
        self,
        before: list[GroupHealth],
        after: list[GroupHealth],
    ) -> str:
        """Tell why the first group got worse, empty if it did not."""
        others = [
            late.step_ms / max(early.step_ms, 1e-9)
            for early, late in zip(before[1:], after[1:], strict=True)
        ]
        usual = sorted(others)[len(others) // 2] if others else 1
        slowdown = after[0].step_ms / max(before[0].step_ms, 1e-9) / usual
        if slowdown > self._limits.max_slowdown:
            return f'steps take {slowdown:.2f} times as long'
        failed = after[0].failure_ratio - before[0].failure_ratio
        if failed > self._limits.max_failure_increase:
            return f'{failed:.1%} more calls fail'
        return ''
