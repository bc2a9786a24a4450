"""Roll a version out group by group; roll back and stop on a regression."""

from __future__ import annotations

import abc
import asyncio
import collections.abc

import attrs

from tamarackthread.agent import order_errors
from tamarackthread.shared import errors


@attrs.frozen
class GroupHealth:
    """Mean step time and failure ratio of a group over a period."""

    step_ms: float
    failure_ratio: float


class RolloutGroup(abc.ABC):
    """One group of the roll-out."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """Return the group's name."""

    @abc.abstractmethod
    async def load_version(self, version: str, rollout_id: str) -> str:
        """Load a version and return the previous one; raise a coded error on
        failure.  Idempotent under one ``rollout_id``.
        """

    @abc.abstractmethod
    async def health(self, seconds: float) -> GroupHealth:
        """Measure the group for some seconds."""


@attrs.frozen
class RolloutLimits:
    """Limits of a regression.  The slowdown is relative to that of the groups
    not yet upgraded, so that a change of load is not blamed on the version.
    """

    observe_seconds: float = 30
    max_slowdown: float = 1.15
    max_failure_increase: float = 0.005


@attrs.frozen
class RolloutProgress:
    """Progress of a roll-out; ``stopped`` is the reason if it was."""

    version: str
    done: tuple[str, ...]
    left: tuple[str, ...]
    stopped: str = ''


class Rollout:
    """Upgrade groups to a version, one after the other."""

    def __init__(
        self,
        rollout_id: str,
        version: str,
        groups: collections.abc.Sequence[RolloutGroup],
        limits: RolloutLimits,
    ) -> None:
        """Prepare the roll-out; ``run`` starts it."""
        self._id = rollout_id
        self._version = version
        self._groups = list(groups)
        self._limits = limits
        self._done: list[str] = []
        self._stopped = ''

    @property
    def progress(self) -> RolloutProgress:
        """Return the current progress."""
        names = [group.name for group in self._groups]
        left = tuple(name for name in names if name not in self._done)
        return RolloutProgress(
            self._version,
            tuple(self._done),
            left,
            self._stopped,
        )

    def stop(self, reason: str) -> None:
        """Stop after the current group."""
        self._stopped = self._stopped or reason

    async def run(self) -> None:
        """Upgrade all groups; raise ``RolloutStopped`` if stopped early, after
        rolling back a group with a regression.
        """
        for position, group in enumerate(self._groups):
            if self._stopped:
                raise order_errors.RolloutStopped(self._stopped)
            if group.name in self._done:
                continue
            await self._upgrade(group, self._groups[position + 1 :])
            self._done.append(group.name)

    async def _upgrade(
        self,
        group: RolloutGroup,
        untouched: collections.abc.Sequence[RolloutGroup],
    ) -> None:
        before = await self._measure([group, *untouched])
        try:
            previous = await group.load_version(self._version, self._id)
        except errors.CodedError as exc:
            self.stop(f'{group.name}: {exc.code} {exc}')
            raise order_errors.RolloutStopped(self._stopped) from exc
        after = await self._measure([group, *untouched])
        reason = self._regression(before, after)
        if reason:
            self.stop(f'{group.name}: {reason}')
            await group.load_version(previous, f'{self._id}-undo')
            raise order_errors.RolloutStopped(self._stopped)

    async def _measure(
        self,
        groups: collections.abc.Sequence[RolloutGroup],
    ) -> list[GroupHealth]:
        seconds = self._limits.observe_seconds
        measuring = [group.health(seconds) for group in groups]
        return await asyncio.gather(*measuring)

    def _regression(
        self,
        before: list[GroupHealth],
        after: list[GroupHealth],
    ) -> str:
        """Return the regression of the first group, or an empty string."""
        other_slowdowns = [
            later.step_ms / max(earlier.step_ms, 1e-9)
            for earlier, later in zip(before[1:], after[1:], strict=True)
        ]
        median_slowdown = (
            sorted(other_slowdowns)[len(other_slowdowns) // 2]
            if other_slowdowns
            else 1
        )
        slowdown = (
            after[0].step_ms / max(before[0].step_ms, 1e-9) / median_slowdown
        )
        if slowdown > self._limits.max_slowdown:
            return f'steps take {slowdown:.2f} times as long'
        failed = after[0].failure_ratio - before[0].failure_ratio
        if failed > self._limits.max_failure_increase:
            return f'{failed:.1%} more calls fail'
        return ''
