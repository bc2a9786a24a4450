"""Test that metrics and log lines on the page of alerts are in the code."""

import pathlib
import re
import unittest

from tamarackthread.shared import metrics

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGE = (ROOT / 'docs' / 'ALERTS.md').read_text()
METRICS_MODULE = metrics.__file__
# Placeholders of values in a log line.
PLACEHOLDER = re.compile(r'TT\d+|\b[A-Z]+\b')


def _source() -> str:
    texts = []
    for path in sorted((ROOT / 'tamarackthread').rglob('*.py')):
        if 'generated' in path.parts or str(path) == METRICS_MODULE:
            continue
        texts.append(path.read_text())
    return '\n'.join(texts)


def _first_cells(text: str) -> list[str]:
    rows = re.findall(r'^\| (`[^|]*) \|', text, re.MULTILINE)
    return [name for cell in rows for name in re.findall('`([^`]+)`', cell)]


class TestAlertsPage(unittest.TestCase):
    """Compare the page with the code."""

    def test_metrics(self) -> None:
        """All metrics on the page are sent by some process."""
        source = _source()
        kinds = (metrics.Counter, metrics.Gauge, metrics.Timer)
        sent = {
            member.value
            for kind in kinds
            for member in kind
            if f'metrics.{kind.__name__}.{member.name}' in source
        }
        part = PAGE.partition('## Metrics')[2].partition('\n## ')[0]
        named = {name for name in _first_cells(part) if '_limit' not in name}
        self.assertGreater(len(named), 8)
        self.assertLessEqual(named, sent)

    def test_log_lines(self) -> None:
        """All log lines on the page are in the code, except for values."""
        source = _source()
        lines = _first_cells(PAGE.partition('## Log lines')[2])
        self.assertGreater(len(lines), 20)
        for line in lines:
            for fragment in PLACEHOLDER.split(line):
                with self.subTest(line=line, fragment=fragment):
                    self.assertIn(fragment.strip(), source)
