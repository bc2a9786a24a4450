"""Name the decisions that are logged, so that tools can find them.

``docs/LOGS.md`` lists each with its fields; a test holds the two together.
"""

from __future__ import annotations

import enum
import logging
import typing


class Event(enum.StrEnum):
    """Name what a line tells."""

    # Of one call.
    TRY_FAILED = 'try_failed'
    CALL_ANSWERED = 'call_answered'
    CALL_REFUSED = 'call_refused'
    CALL_FAILED = 'call_failed'
    CALL_BROKEN = 'call_broken'
    CALLER_LEFT = 'caller_left'
    SUSPECT = 'suspect'
    CALLS_SUMMED = 'calls_summed'
    # Of what a process believes.
    CONFIGURATION = 'configuration'
    TARGET = 'target'
    DEPENDENCY = 'dependency'
    LEADER = 'leader'
    MEMBERS = 'members'
    ZONE = 'zone'
    GROUPS = 'groups'
    MAP = 'map'
    PLAN = 'plan'
    HELD = 'held'
    # Of the process itself.
    STARTED = 'started'
    STOPPING = 'stopping'


def emit(  # noqa: WPS211  a line has its parts
    log: logging.Logger,
    event: Event,
    text: str,
    *arguments: typing.Any,
    level: int = logging.INFO,
    **fields: typing.Any,
) -> None:
    """Write a line with an event's name and its fields beside the sentence."""
    log.log(
        level, text, *arguments, extra={'event': event.value, 'fields': fields}
    )
