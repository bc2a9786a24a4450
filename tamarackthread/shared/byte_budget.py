"""Bound the bytes that a process holds of answers that are not complete."""

from __future__ import annotations

import collections.abc
import contextlib

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import connection_table, errors


class BudgetExceeded(errors.CodedError):
    """Answer is too large, or the process holds too many bytes of answers."""

    code = 'TT1011'
    status = 502
    ran = messages.Ran.MAY_HAVE_RUN


class ByteBudget:
    """Bytes that may be held, of all answers and of one."""

    def __init__(self, total_bytes: int, answer_bytes: int) -> None:
        """Hold nothing yet."""
        self._total_bytes = total_bytes
        self._answer_bytes = answer_bytes
        self._held_bytes = 0

    @property
    def held_bytes(self) -> int:
        """Return the bytes that are held now."""
        return self._held_bytes

    @contextlib.contextmanager
    def reserve(
        self, connection: connection_table.Connection | None = None
    ) -> collections.abc.Iterator[Reservation]:
        """Count what one answer holds within the block, at first nothing.

        It counts for the ``connection`` of the client that it is for, too.
        """
        held = Reservation(self, connection)
        try:
            yield held
        finally:
            held.resize(0)

    def change(self, before: int, after: int) -> None:
        """Change what one answer holds; raise ``BudgetExceeded``."""
        held_bytes = self._held_bytes + after - before
        is_growing = after > before
        if is_growing and after > self._answer_bytes:
            raise BudgetExceeded(f'answer of over {self._answer_bytes} bytes')
        if is_growing and held_bytes > self._total_bytes:
            raise BudgetExceeded(f'answers of over {self._total_bytes} bytes')
        self._held_bytes = held_bytes


class Reservation:
    """The bytes that one answer holds."""

    def __init__(
        self,
        budget: ByteBudget,
        connection: connection_table.Connection | None = None,
    ) -> None:
        """Reserve nothing yet."""
        self._budget = budget
        self._connection = connection
        self._size = 0

    def resize(self, size: int) -> None:
        """Hold this many bytes; raise ``BudgetExceeded``, holding as before."""
        self._budget.change(self._size, size)
        try:
            self._hold(size)
        except connection_table.OutOfRoom as exc:
            self._budget.change(size, self._size)
            raise BudgetExceeded(str(exc)) from exc
        self._size = size

    def _hold(self, size: int) -> None:
        if self._connection is not None:
            self._connection.hold(connection_table.Purpose.ANSWER, size)
