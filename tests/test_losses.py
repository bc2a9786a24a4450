"""Test that lost calls and their causes are found in logs."""

from __future__ import annotations

import json
import pathlib
import tempfile
import unittest

from cleo.testers import command_tester

import attrs

from bench import day_picture
from tamarackthread.cli import application, log_lines, losses

FOLDER = pathlib.Path(__file__).parent / 'logs'
ENTRY = str(FOLDER / 'entry.log')
CONTROL = str(FOLDER / 'control.log')
HOSTILE = str(FOLDER / 'hostile.log')


class LossesCase(unittest.TestCase):
    def setUp(self):
        texts = {
            name: pathlib.Path(name).read_text().splitlines()
            for name in (ENTRY, CONTROL)
        }
        self.parsed = log_lines.read(texts)
        self.found = losses.report(self.parsed)

    def test_causes(self):
        """Each lost call has the cause that was active while it waited."""
        causes = [loss.cause for loss in self.found.losses]
        self.assertEqual(
            [
                losses.Cause.NO_CONFIGURATION,
                losses.Cause.STARTING,
                losses.Cause.UNEVEN,
                losses.Cause.NO_OWNER,
                losses.Cause.TARGET,
                losses.Cause.DEADLINE,
                losses.Cause.TARGET,
                losses.Cause.UNKNOWN,
            ],
            causes,
        )
        self.assertEqual(0.125, self.found.unattributed_share)

    def test_wait_is_the_pause(self):
        """A stream with a prompt first chunk waited in its longest pause."""
        paused = self.found.losses[2]
        self.assertAlmostEqual(9.5, paused.began)
        self.assertAlmostEqual(9.9, paused.ended)

    def test_sums(self):
        """Lost calls are grouped by a field, the largest group first."""
        rows = self.found.by('service')
        self.assertEqual([('s', 4), ('q', 4)], _names(rows))
        by_kind = dict(_names(self.found.by('kind')))
        self.assertEqual({'late': 5, 'refused': 1, 'failed': 2}, by_kind)

    def test_link_of_one_entry(self):
        """A link lost by one entry must not count as the loss of the leader."""
        lines = tuple(
            attrs.evolve(line, node='10.0.0.1/control', event='plan')
            if line.event == 'leader' and line.node == '10.0.0.2/control'
            else line
            for line in self.parsed.lines
        )
        found = losses.report(log_lines.ParsedLogs(lines, ()))
        causes = {loss.cause for loss in found.losses}
        self.assertNotIn(losses.Cause.NO_OWNER, causes)

    def test_leader_never_replaced(self):
        """Without a new leader the interval lasts until the end."""
        texts = {ENTRY: pathlib.Path(ENTRY).read_text().splitlines()}
        first = self.parsed.lines[1]
        lines = tuple(
            line
            for line in self.parsed.lines
            if line.event != 'leader' or line is first
        )
        self.assertEqual('leader', first.event)
        found = losses.report(log_lines.ParsedLogs(lines, ()))
        self.assertIs(losses.Cause.NO_OWNER, found.losses[-1].cause)
        self.assertEqual((), log_lines.read(texts).unreadable)


class CommandCase(unittest.TestCase):
    def test_table_and_hostile_lines(self):
        """Malformed lines are reported by location and the others are read."""
        code, out, err = _run(ENTRY, CONTROL, HOSTILE)
        self.assertEqual(0, code)
        self.assertIn('9 calls lost', out)
        for number in (2, 4, 5, 7, 8):
            self.assertIn(f'hostile.log:{number}: TT2107', err)
        self.assertNotIn('hostile.log:1:', err)

    def test_json(self):
        """The JSON output is one object with every group."""
        code, out, _ = _run('--json', ENTRY, CONTROL)
        values = json.loads(out)
        self.assertEqual(0, code)
        self.assertEqual(8, values['calls'])
        self.assertEqual(set(losses.DIMENSIONS), set(values['by']))

    def test_nothing_to_read(self):
        """A missing file and one without log lines fail with their codes."""
        with tempfile.NamedTemporaryFile() as empty:
            code, _, err = _run(empty.name)
        self.assertEqual(1, code)
        self.assertIn('TT2108', err)
        code, _, err = _run(str(FOLDER / 'none.log'))
        self.assertEqual(2, code)
        self.assertIn('TT2105', err)

    def test_picture(self):
        """The logs are drawn as a PNG file."""
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'day.png'
            code = day_picture.main([str(path), ENTRY, CONTROL])
            self.assertEqual(0, code)
            self.assertTrue(path.read_bytes().startswith(b'\x89PNG'))


def _run(*words):
    tester = command_tester.CommandTester(application.build().find('losses'))
    code = tester.execute(' '.join(words))
    return code, tester.io.fetch_output(), tester.io.fetch_error()


def _names(rows):
    return [(row.name, row.calls) for row in rows]
