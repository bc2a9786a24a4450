"""Prove that a request's story can be told from the logs of many processes."""

import io
import json
import logging
import pathlib
import re
import unittest

from tamarackthread.cli import request_trace
from tamarackthread.generated import settings
from tamarackthread.shared import log_events, logs

ROOT = pathlib.Path(__file__).resolve().parent.parent


def line(time, node, event, request_id='', **fields):
    """Write a line as a process does, with something before it."""
    body = {
        'time': time,
        'node': node,
        'event': event,
        'text': f'{event} at {time}',
        'request_id': request_id,
        'level': 'info',
        **fields,
    }
    return f'  1.0 host {json.dumps(body)}'


class StoryCase(unittest.TestCase):
    def test_beliefs_of_the_moment(self):
        """A story shows what its process believed then, not later or elsewhere."""
        told = request_trace.tell(
            'r1',
            [
                line('05', 'a', 'configuration', version=9),
                line('04', 'a', 'call_failed', 'r1', code='TT7209'),
                line('03', 'a', 'try_failed', 'r1', target='t1'),
                line('02', 'b', 'configuration', version=8),
                line('02', 'a', 'target', target='t2'),
                line('02', 'a', 'target', target='t1', state='leaving'),
                line('01', 'a', 'target', target='t1', state='ready'),
                line('00', 'a', 'configuration', version=7),
                '{torn',
                'words of another program',
            ],
        )
        self.assertEqual(['03', '04'], [one.time for one in told.lines])
        self.assertEqual(['00', '02'], [one.time for one in told.beliefs])
        self.assertEqual('leaving', told.beliefs[1].fields['state'])
        self.assertEqual(1, told.unreadable)
        self.assertIn('code=TT7209', '\n'.join(request_trace.describe(told)))

    def test_targets_told_together(self):
        """What an entry learned of many targets in one line counts for each."""
        told = request_trace.tell(
            'r1',
            [
                line('01', 'a', 'target', targets=['t1', 't2'], state='ready'),
                line('02', 'a', 'target', targets=['t3'], state='ready'),
                line('03', 'a', 'try_failed', 'r1', target='t2'),
            ],
        )
        self.assertEqual(['01'], [one.time for one in told.beliefs])

    def test_line_of_a_process(self):
        """A line carries node, request, event and inputs."""
        stream = io.StringIO()
        writer = logs.start(
            settings.Logs(json=True), stream, node='10.0.0.1/entry'
        )
        log = logging.getLogger('tamarackthread.entry')
        with logs.request('r7'):
            log_events.emit(
                log, log_events.Event.TRY_FAILED, 'entry: try failed', code='X'
            )
        writer.flush()
        writer.close()
        told = request_trace.tell('r7', stream.getvalue().splitlines())
        self.assertEqual('10.0.0.1/entry', told.lines[0].node)
        self.assertEqual({'code': 'X'}, told.lines[0].fields)


class LogsPageCase(unittest.TestCase):
    def test_page_and_code(self):
        """The page names every event, and every event is told somewhere."""
        page = (ROOT / 'docs' / 'LOGS.md').read_text()
        code = ''.join(
            path.read_text()
            for path in (ROOT / 'tamarackthread').rglob('*.py')
            if path.name != 'log_events.py'
        )
        for event in log_events.Event:
            with self.subTest(event=event):
                self.assertIn(f'`{event.value}`', page)
                self.assertRegex(code, rf'Event\.{event.name}\b')

    def test_fields(self):
        """Each field that the code gives to an event is on the page."""
        page = (ROOT / 'docs' / 'LOGS.md').read_text()
        ledger = ROOT / 'tamarackthread' / 'entry' / 'direct' / 'call_log.py'
        running = ledger.with_name('call_runner.py')
        text = ledger.read_text() + running.read_text()
        told = re.findall(r'^ {8,12}(\w+)=[^=]*,$', text, re.MULTILINE)
        fields = set(told).intersection(re.findall(r'\w+_ms|\w+_calls', text))
        self.assertTrue(fields)
        for field in fields:
            with self.subTest(field=field):
                self.assertIn(f'`{field}`', page)
