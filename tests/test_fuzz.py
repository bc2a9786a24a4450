"""Prove that nonsense is refused with a code wherever bytes are read."""

import unittest

from bench.fuzzing import files, links, parsers, report

_SEED = 11
_RUNS = 300
_FEW_RUNS = 60


class TestFuzz(unittest.TestCase):
    """Run each target with a fixed seed; any other exception is a fault."""

    def _check(self, counted: report.Report) -> None:
        self.assertGreater(counted.runs, 0)
        self.assertEqual(counted.faults, {}, list(counted.shown.values()))

    def test_messages(self) -> None:
        """Messages decode, or are refused as invalid frames."""
        self._check(parsers.fuzz_messages(_SEED, _RUNS))
        self._check(parsers.fuzz_headers(_SEED, _RUNS))

    def test_texts(self) -> None:
        """Settings and documents give findings with places."""
        self._check(parsers.fuzz_settings(_SEED, _FEW_RUNS))
        self._check(parsers.fuzz_documents(_SEED, _RUNS))

    def test_announcements(self) -> None:
        """Words of another writer are refused, or fit into our messages.

        One count that fits none would stop the news of all targets.
        """
        counted = parsers.fuzz_announcements(_SEED, _RUNS)
        self._check(counted)
        self.assertGreater(counted.accepted, 0)
        self.assertEqual(['TT7301'], list(counted.refused))

    def test_files(self) -> None:
        """A control host's disk gives back changed bytes.

        Whatever was written there is read unchanged or refused as corrupt.
        Only a cut or zeroed end of the last log file passes, as a write that
        a crash tore, because nothing in it was acknowledged.
        """
        self._check(files.fuzz_logs(_SEED, _RUNS))
        self._check(files.fuzz_states(_SEED, _RUNS))

    def test_greetings(self) -> None:
        """A stranger's nonsense closes its connection and no other."""
        self._check(links.fuzz_greetings(_SEED, _FEW_RUNS))

    def test_machines(self) -> None:
        """Whatever stands in a log is answered and can be snapshotted.

        A command that raised would halt its group on every member at once.
        """
        self._check(parsers.fuzz_machines(_SEED, _FEW_RUNS))
        self._check(parsers.fuzz_restores(_SEED, _RUNS))

    def test_events(self) -> None:
        """A stream's events are the same however its bytes were split."""
        self._check(parsers.fuzz_events(_SEED, _RUNS))

    def test_frames(self) -> None:
        """A peer that speaks nonsense after its greeting loses its link."""
        self._check(links.fuzz_frames(_SEED, _FEW_RUNS))
