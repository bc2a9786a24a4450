"""Define the interface to the engine process of a rank."""

from __future__ import annotations

import abc
import collections.abc

import attrs

from tamarackthread.agent import switch_record
from tamarackthread.policy import expert_map, moves

# Called with the progress, from 0 to 1.
Report = collections.abc.Callable[[float], None]


@attrs.frozen
class EngineStatus:
    """State reported by an engine.  ``step`` is the last step begun,
    ``step_ms`` the recent mean step time.
    """

    step: int
    incarnation: int
    step_ms: float


class Engine(abc.ABC):
    """Control one rank's engine; methods raise ``EngineFailed``."""

    @abc.abstractmethod
    async def status(self) -> EngineStatus:
        """Return step, incarnation and step time."""

    @abc.abstractmethod
    async def wait_started(self, incarnation: int) -> int:
        """Wait for another incarnation and return it.  A started engine runs
        no step before ``apply_record``.
        """

    @abc.abstractmethod
    async def add_map(self, placement: expert_map.ExpertMap) -> None:
        """Register a map; its weights are loaded separately, in pieces."""

    @abc.abstractmethod
    async def loaded(self) -> collections.abc.Collection[moves.Move]:
        """List the moves whose weights are completely loaded."""

    @abc.abstractmethod
    async def load_piece(self, piece: moves.Piece) -> None:
        """Load one piece; cancelling discards it."""

    @abc.abstractmethod
    async def apply_record(
        self,
        record: switch_record.SwitchRecord,
        fence: int,
    ) -> None:
        """Use the record's map for each step, and hold where it has none.
        Raises ``ArmTooLate`` when the step of an open switch has begun.
        """

    @abc.abstractmethod
    async def execute(
        self,
        action: str,
        body: str,
        fence: int,
        report: Report,
    ) -> str:
        """Execute an engine order and return its result.  Cancelling stops the
        order; calling again resumes it.
        """
