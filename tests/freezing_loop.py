"""Freeze single processes of a simulation, as SIGSTOP does to real ones."""

from __future__ import annotations

import asyncio
import contextvars
import typing

import async_solipsism
import attrs

# The simulated process that a callback belongs to.
PROCESS: contextvars.ContextVar[str] = contextvars.ContextVar(
    'PROCESS', default=''
)
_Callback = typing.Callable[..., typing.Any]


@attrs.define(eq=False)
class _Gate:
    """A callback that is held back while its process is frozen."""

    loop: FreezingLoop
    callback: _Callback
    arguments: tuple[typing.Any, ...]
    context: contextvars.Context
    handle: asyncio.Handle | None = None

    def __call__(self) -> None:
        if not self.loop.hold(self):
            self.callback(*self.arguments)

    def run_late(self) -> None:
        """Run the callback unless it was cancelled meanwhile."""
        if self.handle is None or not self.handle.cancelled():
            self.context.run(self.callback, *self.arguments)


class FreezingLoop(async_solipsism.EventLoop):
    """Event loop with simulated time whose processes can be frozen.

    The clock goes on meanwhile: timers that expired run late, at once.
    """

    def __init__(self) -> None:
        """Start with no process frozen."""
        super().__init__()
        self._held: dict[str, list[_Gate]] = {}

    def freeze(self, process: str) -> None:
        """Run nothing of a process until ``wake``."""
        self._held.setdefault(process, [])

    def wake(self, process: str) -> None:
        """Run what was held back, in its order."""
        for gate in self._held.pop(process, []):
            self.call_soon(gate.run_late, context=contextvars.Context())

    def wake_all(self) -> None:
        """Let no process be frozen any more."""
        for process in tuple(self._held):
            self.wake(process)

    def hold(self, gate: _Gate) -> bool:
        """Hold a callback back if its process is frozen."""
        held = self._held.get(gate.context.get(PROCESS, ''))
        if held is None:
            return False
        held.append(gate)
        return True

    def call_soon(
        self,
        callback: _Callback,
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback of the current process."""
        gate = self._gate(callback, args, context)
        gate.handle = super().call_soon(gate, context=gate.context)
        return gate.handle

    def call_at(
        self,
        when: float,
        callback: _Callback,
        *args: typing.Any,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback of the current process at a time."""
        gate = self._gate(callback, args, context)
        gate.handle = super().call_at(when, gate, context=gate.context)
        return gate.handle

    def _gate(
        self,
        callback: _Callback,
        arguments: tuple[typing.Any, ...],
        context: contextvars.Context | None,
    ) -> _Gate:
        # An empty context is false.
        if context is None:
            context = contextvars.copy_context()
        return _Gate(self, callback, arguments, context)


def create_task(
    process: str, work: typing.Coroutine[typing.Any, typing.Any, typing.Any]
) -> asyncio.Task[typing.Any]:
    """Run a coroutine as part of a process."""
    context = contextvars.copy_context()
    context.run(PROCESS.set, process)
    return asyncio.get_running_loop().create_task(work, context=context)
