"""Watch the configuration machine that each host of a run drives."""

from __future__ import annotations

import xxhash

from bench.history import events
from tamarackthread.control import configuration, state_machine
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import wire

KIND = 'organisation'


class Watched(state_machine.StateMachine):
    """Note each command applied, and any step back."""

    def __init__(self, node: str, history: events.History) -> None:
        """Begin empty, as in a process just started."""
        self._node = node
        self._history = history
        self._held = configuration.Configuration()

    def apply(self, index: int, command: bytes) -> bytes:
        """Apply a command and note it."""
        result = self._held.apply(index, command)
        reply = wire.decode(messages.Reply, result).change
        change = wire.decode(messages.ConfigCommand, command).change
        accepted = reply.status == messages.ChangeStatus.ACCEPTED
        self._history.applied.append(
            events.Applied(
                node=self._node,
                index=index,
                digest=xxhash.xxh3_64_intdigest(command),
                change_id=change.change_id,
                is_fresh_accept=accepted and not reply.repeated,
            )
        )
        return result

    def snapshot(self) -> bytes:
        """Return the state."""
        return self._held.snapshot()

    def restore(self, data: bytes) -> None:
        """Take a state, which must not be an older one."""
        before = self._held.documents.revision
        self._held.restore(data)
        if self._held.documents.revision < before:
            self._history.reverts.append(f'revert: {self._node} went back')

    def read(self, name: str) -> tuple[int, str]:
        """Return a document's version and body, 0 and empty if none."""
        held = self._held.documents.latest(KIND, name)
        return (held.version, held.body) if held else (0, '')

    def keep(self) -> events.Kept:
        """Describe what this host holds."""
        data = self._held.snapshot()
        state = wire.decode(messages.ConfigSnapshot, data)
        answers: dict[str, int] = {}
        for kept in state.answers:
            if kept.reply.status == messages.ChangeStatus.ACCEPTED:
                answers[kept.change_id] = kept.reply.version
        return events.Kept(
            node=self._node,
            state=xxhash.xxh3_64_intdigest(data),
            versions={held.name: held.version for held in state.documents},
            answers=answers,
        )
