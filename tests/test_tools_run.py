"""Test how the test runner counts failures and reads its files."""

import pathlib
import tempfile
import unittest

from tools import known_red, outcomes, tally

TEST = 'tests.test_a.TestA.test_b'


def _known() -> dict[str, known_red.KnownFailure]:
    return {TEST: known_red.KnownFailure(TEST, 'link drops', '7')}


class TestTally(unittest.TestCase):
    """Test the counts against the list of expected failures."""

    def test_failure_counts(self) -> None:
        """A failed test is a failure unless it is listed."""
        counts = tally.Tally()
        counts.add(outcomes.Outcome(TEST, outcomes.FAILED, 'x'), {})
        self.assertEqual((counts.passed, counts.failed), (0, 1))

    def test_known_failure_is_passed_over(self) -> None:
        """A listed failure counts as neither passed nor failed."""
        counts = tally.Tally()
        counts.add(outcomes.Outcome(TEST, outcomes.FAILED), _known())
        self.assertEqual((counts.passed, counts.failed, counts.red), (0, 0, 1))

    def test_listed_test_that_passes_fails(self) -> None:
        """A listed test that passes must leave the list."""
        counts = tally.Tally()
        counts.add(outcomes.Outcome(TEST, outcomes.PASSED), _known())
        self.assertEqual((counts.passed, counts.failed), (0, 1))


class TestFiles(unittest.TestCase):
    """Test the outcome file and the list of expected failures."""

    def setUp(self) -> None:
        """Create a temporary folder."""
        scratch = tempfile.TemporaryDirectory()
        self.addCleanup(scratch.cleanup)
        self._folder = pathlib.Path(scratch.name)

    def test_failed_subtest_stays_failed(self) -> None:
        """A later pass under the same name doesn't hide a failure."""
        path = self._folder / 'lines'
        path.write_text(
            outcomes.to_line(outcomes.Outcome(TEST, outcomes.FAILED))
            + outcomes.to_line(outcomes.Outcome(TEST, outcomes.PASSED))
        )
        self.assertEqual(
            [outcome.status for outcome in outcomes.read(path)],
            [outcomes.FAILED],
        )

    def test_hung_test_has_a_name(self) -> None:
        """A test that started but never finished counts as failed."""
        path = self._folder / 'lines'
        path.write_text(
            outcomes.to_line(outcomes.Outcome(TEST, outcomes.STARTED))
        )
        ended = outcomes.read(path)
        self.assertEqual(
            [(outcome.test, outcome.status) for outcome in ended],
            [(TEST, outcomes.FAILED)],
        )

    def test_list_rules(self) -> None:
        """Four entries, or an entry without an issue, are refused."""
        path = self._folder / known_red.FILE
        path.write_text(f'{TEST}, cause, with a comma, 7\n')
        entry = known_red.read(self._folder)[TEST]
        self.assertEqual(
            (entry.cause, entry.issue), ('cause, with a comma', '7')
        )
        for text in (f'{TEST}, cause\n', 'a,b,1\nc,d,1\ne,f,1\ng,h,1\n'):
            path.write_text(text)
            with self.assertRaises(known_red.ListInvalid):
                known_red.read(self._folder)

    def test_crowds_are_not_counted(self) -> None:
        """Tests with crowds are listed besides the three others."""
        crowds = ''.join(
            f'{known_red.UNCOUNTED_PREFIX}{number}.A.b, cause, 1\n'
            for number in range(9)
        )
        path = self._folder / known_red.FILE
        path.write_text(f'{crowds}a,b,1\nc,d,1\ne,f,1\n')
        self.assertEqual(12, len(known_red.read(self._folder)))
        path.write_text(f'{crowds}a,b,1\nc,d,1\ne,f,1\ng,h,1\n')
        with self.assertRaises(known_red.ListInvalid):
            known_red.read(self._folder)
