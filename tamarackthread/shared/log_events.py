"""Names of logged events, by which tools find them; see ``docs/LOGS.md``."""

from __future__ import annotations

import enum
import logging
import typing


class Event(enum.StrEnum):
    """Name of a logged event."""

    # Single calls.
    TRY_FAILED = 'try_failed'
    CALL_ANSWERED = 'call_answered'
    CALL_REFUSED = 'call_refused'
    CALL_FAILED = 'call_failed'
    CALL_BROKEN = 'call_broken'
    CALLER_LEFT = 'caller_left'
    CALL_LOST = 'call_lost'
    SUSPECT = 'suspect'
    CALLS_SUMMED = 'calls_summed'
    RETRY_BUDGET = 'retry_budget'
    REPEATS_SUMMED = 'repeats_summed'
    # State as seen by this process.
    CONFIGURATION = 'configuration'
    TARGET = 'target'
    DEPENDENCY = 'dependency'
    LEADER = 'leader'
    LEADER_LOST = 'leader_lost'
    MEMBERS = 'members'
    ZONE = 'zone'
    GROUPS = 'groups'
    MAP = 'map'
    PLAN = 'plan'
    HELD = 'held'
    CONNECTIONS_CLOSED = 'connections_closed'
    # Start and stop of the process.
    STARTED = 'started'
    STOPPING = 'stopping'


def emit(  # noqa: WPS211  parts of a line
    log: logging.Logger,
    event: Event,
    text: str,
    *arguments: typing.Any,
    level: int = logging.INFO,
    **fields: typing.Any,
) -> None:
    """Log a message with an event name and structured fields."""
    log.log(
        level, text, *arguments, extra={'event': event.value, 'fields': fields}
    )
