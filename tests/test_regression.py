"""Test the selection, storage and findings of regression runs."""

import json
import pathlib
import tempfile
import unittest

from tools.regression import plan, results, table

SITE_FILE = """
name = "{name}"
machines = [{{ class = "side", count = {hosts} }}]
[[day]]
name = "trouble-1"
"""


def entry(**fields):
    """Build a journal entry of three days."""
    days = [
        {'name': 'quiet-1', 'G': 0.9, 'rules': {}, 'kind': 'quiet'},
        {'name': 'trouble-1', 'G': 0.7, 'rules': {}, 'kind': 'trouble'},
        {'name': 'fresh-1', 'G': 0.1, 'rules': {}, 'kind': 'replay'},
    ]
    return {
        'id': 'abc',
        'ok': True,
        'figures': {'gate': 1.0},
        'days': days,
        'days_left_out': 0,
        **fields,
    }


class RegressionCase(unittest.TestCase):
    def setUp(self):
        scratch = self.enterContext(tempfile.TemporaryDirectory())
        self.folder = pathlib.Path(scratch)

    def read(self, body, kind='score'):
        path = self.folder / 'entry.json'
        path.write_text(json.dumps(body))
        return results.read_entry(kind, 's', 'code', path)

    def test_mean(self):
        """Quiet days and those drawn for this run are left out of the mean."""
        self.assertEqual(0.7, self.read(entry()).mean)

    def test_findings(self):
        """A broken rule, a fault, a failed gate and a drop are reported."""
        days = entry()['days']
        days[1] |= {'rules': {'MAP': 1}, 'fault': 'ended'}
        fresh = self.read(entry(days=days, figures={'gate': 0.0}))
        self.assertEqual(
            [
                's score: MAP on trouble-1',
                's score: fault on trouble-1',
                's score: gate failed',
                's score: 0.7 after 0.74',
            ],
            results.findings(fresh, 0.74),
        )

    def test_small_fall(self):
        """A drop within the tolerance is not reported."""
        self.assertEqual([], results.findings(self.read(entry()), 0.72))

    def test_unreadable_entry(self):
        """The error for an entry without days names the file."""
        with self.assertRaisesRegex(
            results.ResultsUnreadableError, r'entry\.json'
        ):
            self.read({'id': 'abc'})

    def test_cut_off(self):
        """An incomplete hunt is rejected instead of counted as clean."""
        for cut in ({'days': []}, {'ok': False}, {'days_left_out': 2}):
            with self.assertRaisesRegex(
                results.ResultsUnreadableError, 'cut off'
            ):
                self.read(entry(**cut), kind='hunt')

    def test_resumes(self):
        """Runs with a result are skipped unless the code has changed."""
        held = results.Results(self.folder / 'held.json')
        held.put(self.read(entry()))
        known = [self.site('s', 12), self.site('t', 60)]
        again = results.Results(self.folder / 'held.json')
        outstanding = plan.outstanding_runs(
            known, again, 'code', ['score', 'hunt']
        )
        self.assertEqual(
            [('t', 'score'), ('s', 'hunt'), ('t', 'hunt')],
            [
                (bench_run.site.name, bench_run.kind)
                for bench_run in outstanding
            ],
        )
        outstanding = plan.outstanding_runs(known, again, 'other', ['score'])
        self.assertEqual(
            ['s', 't'], [bench_run.site.name for bench_run in outstanding]
        )

    def test_order_and_days(self):
        """Sites follow the configured order; large ones hunt fewer days."""
        for name, hosts in (('a', 12), ('b', 63)):
            folder = self.folder / name
            folder.mkdir()
            text = SITE_FILE.format(name=name, hosts=hosts)
            (folder / f'{name}.toml').write_text(text)
        found = plan.sites(self.folder, ['b'], {'a': 0.7})
        self.assertEqual(['b', 'a'], [site.name for site in found])
        self.assertEqual(0.7, found[1].baseline)
        days = [
            plan.BenchRun(site=site, kind='hunt').arguments('why')[5]
            for site in found
        ]
        self.assertEqual(['8', '40'], days)

    def test_code(self):
        """Changes to modules alter the hash; changes to pages do not."""
        for name in ('tamarackthread', 'docs'):
            (self.folder / name).mkdir()
        (self.folder / 'requirements.txt').write_text('a')
        module = self.folder / 'tamarackthread' / 'm.py'
        module.write_text('1')
        original = results.product_code(self.folder)
        (self.folder / 'docs' / 'page.md').write_text('new')
        self.assertEqual(original, results.product_code(self.folder))
        module.write_text('2')
        self.assertNotEqual(original, results.product_code(self.folder))

    def test_table(self):
        """Missing results and those of earlier code are marked."""
        held = results.Results(self.folder / 'held.json')
        held.put(self.read(entry()))
        text = table.markdown([self.site('s', 12)], held, 'other')
        self.assertIn('trouble-1 0.700', text)
        self.assertIn('earlier code', text)
        self.assertEqual(2, text.count(table.NOT_RUN))

    def site(self, name, hosts):
        return plan.Site(
            name=name,
            path=self.folder / f'{name}.toml',
            is_large=hosts >= plan.LARGE_HOSTS,
            baseline=None,
        )
