"""Define the actions of orders and the state of an order."""

from __future__ import annotations

import collections.abc
import json

import attrs

from tamarackthread.agent import order_errors
from tamarackthread.shared import errors

FENCE = 'fence'
STATUS = 'status'
CANCEL = 'cancel'
MAP_GET = 'map_get'
MAP_LOAD = 'map_load'
MAP_ARM = 'map_arm'
MAP_OUTCOME = 'map_outcome'

# Executed by the engine with progress; resending the order resumes it.
ENGINE_ACTIONS = frozenset(
    (
        'load_model',
        'unload_model',
        'load_adapter',
        'unload_adapter',
        'load_version',
        'unload_version',
        'set_role',
        'export_cache',
        'import_cache',
    ),
)

# Engine actions that load from the rate-limited weight store.
STORE_ACTIONS = frozenset(('load_model', 'load_adapter', 'load_version'))

RUNNING = 'running'
DONE = 'done'
FAILED = 'failed'
CANCELLED = 'cancelled'
REFUSED = 'refused'


@attrs.frozen
class OrderState:
    """State of an order: ``done`` is its progress from 0 to 1, ``code`` and
    ``text`` the error.
    """

    state: str
    done: float = 0
    code: str = ''
    text: str = ''
    result: str = ''

    def to_json(self) -> str:
        """Serialize the state for a reply's body."""
        return json.dumps(attrs.asdict(self))

    def raise_failure(self) -> None:
        """Raise the error class of ``code`` unless running or done."""
        if self.state in {RUNNING, DONE}:
            return
        error_class = errors.by_code(self.code) or order_errors.EngineFailed
        raise error_class(self.text)


def from_failure(failure: errors.CodedError, state: str) -> OrderState:
    """Build the state of a failed or refused order."""
    return OrderState(state, code=failure.code, text=str(failure))


def from_json(text: str) -> OrderState:
    """Parse a state; raise ``OrderInvalid`` if malformed."""
    try:
        return OrderState(**json.loads(text))
    except (ValueError, TypeError) as exc:
        raise order_errors.OrderInvalid(
            f'malformed order state: {exc}'
        ) from exc


def status_results(
    states: collections.abc.Mapping[int, OrderState | errors.CodedError],
) -> list[dict]:
    """Return the results of a ``status`` order, without failed ranks."""
    return [
        json.loads(state.result)
        for state in states.values()
        if isinstance(state, OrderState)
    ]
