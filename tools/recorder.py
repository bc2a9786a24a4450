"""Record test outcomes in a nose2 plugin."""

from __future__ import annotations

import traceback
import typing

from nose2 import events

from tools import outcomes


class Recorder(events.Plugin):
    """Append each outcome to a file as soon as nose2 reports it."""

    alwaysOn = True
    path = ''

    def startTest(  # noqa: N802 - nose2 names its hooks so
        self, event: events.StartTestEvent
    ) -> None:
        """Record the start, which identifies a test that hangs or crashes."""
        self._write(event, outcomes.STARTED, '')

    def testOutcome(  # noqa: N802 - nose2 names its hooks so
        self, event: events.TestOutcomeEvent
    ) -> None:
        """Append the outcome of the test."""
        self._write(event, _status(event), _text(event))

    def _write(self, event: events.Event, status: str, text: str) -> None:
        outcome = outcomes.Outcome(event.test.id().split(' ')[0], status, text)
        with open(self.path, 'a') as lines:
            lines.write(outcomes.to_line(outcome))


def _status(event: events.TestOutcomeEvent) -> str:
    if event.outcome == 'skipped':
        return outcomes.SKIPPED
    if event.outcome == 'subtest':
        return outcomes.FAILED if event.exc_info else outcomes.PASSED
    return outcomes.PASSED if event.expected else outcomes.FAILED


def _text(event: events.TestOutcomeEvent) -> str:
    if event.outcome == 'skipped':
        return event.reason or ''
    if event.exc_info is None:
        return ''
    return ''.join(_traceback(event.exc_info))


def _traceback(exc_info: typing.Any) -> list[str]:
    return traceback.format_exception(*exc_info)
