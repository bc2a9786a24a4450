"""Prove that lost calls are found in logs, with what they waited for."""

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
        """Each lost call is told with what went on while it waited."""
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
        """A stream that came at once waited in its longest pause only."""
        paused = self.found.losses[2]
        self.assertAlmostEqual(9.5, paused.began)
        self.assertAlmostEqual(9.9, paused.ended)

    def test_sums(self):
        """Losses are summed by each of their fields, the largest first."""
        rows = self.found.by('service')
        self.assertEqual([('s', 4), ('q', 4)], _names(rows))
        by_kind = dict(_names(self.found.by('kind')))
        self.assertEqual({'late': 5, 'refused': 1, 'failed': 2}, by_kind)

    def test_link_of_one_entry(self):
        """A leader that one entry has lost, and that works on, is not missed.

        Links that lose packets cut an entry off for a moment.  Told as a loss
        of the leader, every late call until the next one would have that cause.
        """
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
        """Without a next leader the owner is missed until the end."""
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
        """Cut and foreign lines are named by their place, the rest is read."""
        code, out, err = _run(ENTRY, CONTROL, HOSTILE)
        self.assertEqual(0, code)
        self.assertIn('9 calls lost', out)
        for number in (2, 4, 5, 7, 8):
            self.assertIn(f'hostile.log:{number}: TT2107', err)
        self.assertNotIn('hostile.log:1:', err)

    def test_json(self):
        """Scripts get one object with every sum."""
        code, out, _ = _run('--json', ENTRY, CONTROL)
        told = json.loads(out)
        self.assertEqual(0, code)
        self.assertEqual(8, told['calls'])
        self.assertEqual(set(losses.DIMENSIONS), set(told['by']))

    def test_nothing_to_read(self):
        """No file, a missing one and one without lines are refused by code."""
        with tempfile.NamedTemporaryFile() as empty:
            code, _, err = _run(empty.name)
        self.assertEqual(1, code)
        self.assertIn('TT2108', err)
        code, _, err = _run(str(FOLDER / 'none.log'))
        self.assertEqual(2, code)
        self.assertIn('TT2105', err)

    def test_picture(self):
        """The day is drawn into a picture."""
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
