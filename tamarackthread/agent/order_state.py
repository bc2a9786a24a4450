"""Name the actions of orders and describe how far an order has come."""

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

# Executed by the engine itself; progress is reported, sending again resumes.
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

# Of these, the ones that load from the rate-limited weight store.
STORE_ACTIONS = frozenset(('load_model', 'load_adapter', 'load_version'))

RUNNING = 'running'
DONE = 'done'
FAILED = 'failed'
CANCELLED = 'cancelled'
REFUSED = 'refused'


@attrs.frozen
class OrderState:
    """What the sender and operators see of an order.

    ``done`` is the part executed, from 0 to 1; ``code`` and ``text`` tell
    why it failed or was refused.
    """

    state: str
    done: float = 0
    code: str = ''
    text: str = ''
    result: str = ''

    def to_json(self) -> str:
        """Write the state for a reply's body."""
        return json.dumps(attrs.asdict(self))

    def raise_failure(self) -> None:
        """Raise the failure under its own class unless the order is well."""
        if self.state in {RUNNING, DONE}:
            return
        kind = errors.by_code(self.code) or order_errors.EngineFailed
        raise kind(self.text)


def from_failure(failure: errors.CodedError, state: str) -> OrderState:
    """Describe a failure or refusal."""
    return OrderState(state, code=failure.code, text=str(failure))


def from_json(text: str) -> OrderState:
    """Read a state; raise ``OrderInvalid`` on nonsense."""
    try:
        return OrderState(**json.loads(text))
    except (ValueError, TypeError) as exc:
        raise order_errors.OrderInvalid(f'order state: {exc}') from exc


def status_results(
    states: collections.abc.Mapping[int, OrderState | errors.CodedError],
) -> list[dict]:
    """Return what the ranks that answered said to a ``status`` order."""
    return [
        json.loads(state.result)
        for state in states.values()
        if isinstance(state, OrderState)
    ]
