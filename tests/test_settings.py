"""Test that settings are validated completely and reloaded safely."""

import json
import pathlib
import random
import subprocess
import sys
import tempfile
import types
import unittest

from tamarackthread.cli import document_files
from tamarackthread.generated import settings as generated
from tamarackthread.shared import (
    findings,
    jsonc,
    live_settings,
    reload,
    security,
    settings,
    settings_checks,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
VALID = types.MappingProxyType(
    {
        'role': 'entry',
        'node': {'id': 'e1', 'region': 'east', 'zone': 'a'},
        'control_addresses': ['127.0.0.1:7001'],
        'security': {'key_files': ['key']},
    }
)
BROKEN = """// all at once
{
  "role": "entry",
  "node": {"id": "e1", "region": "east"},
  "listen": {"host": "0.0.0.0", "port": 80},
  "control_addresses": ["10.0.0.1:70", "10.0.0.1:70", "here:1"],
  "security": {"key_files": []},
  "link": {"heartbeat_ms": 500, "timeout_seconds": "2s"},
  "logs": {"level": "info", "level": "loud"},
  "entry": {"host": "10.0.0.1", "port": 80}, /* overlaps */
}
"""


class SettingsCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / 'settings.json'
        (self.path.parent / 'key').write_bytes(b'k' * 32)

    def write(self, body=None, **changed):
        text = body or json.dumps({**VALID, **changed})
        self.path.write_text(text, encoding='utf-8')

    def found(self):
        """List the line, column and code of each finding."""
        rows = []
        for found in settings_checks.check(self.path):
            line, column = found.place.rsplit(':', 2)[1:]
            rows.append((int(line), int(column), found.code))
        return rows

    def test_all_findings_in_one_report(self):
        self.write(BROKEN)
        self.assertEqual(
            self.found(),
            [
                (4, 3, 'TT2005'),
                (6, 40, 'TT2010'),
                (6, 55, 'TT2009'),
                (7, 16, 'TT2008'),
                (8, 12, 'TT2004'),
                (8, 33, 'TT2007'),
                (9, 29, 'TT2003'),
                (10, 33, 'TT2010'),
            ],
        )
        texts = ' '.join(
            str(found) for found in settings_checks.check(self.path)
        )
        self.assertIn('did you mean "heartbeat_seconds"', texts)
        self.assertIn('write 2, not "2s"', texts)
        caught = self.assertRaises(findings.InvalidError)
        with caught:
            settings.load(self.path)
        self.assertEqual(len(caught.exception.findings), 8)

    def test_syntax_error_has_a_position(self):
        for body, position in (
            ('{\n "role" 1}', (2, 9)),
            ('{\n "role": "entry"', (2, 17)),
            ('{"role": 5s}', (1, 11)),
            ('/* open', (1, 1)),
            ('[' * 50_000 + ']' * 50_000, (1, 1)),
        ):
            self.write(body)
            self.assertEqual(self.found(), [(*position, 'TT2002')], body[:20])
        self.path.unlink()
        self.assertEqual(self.found(), [(1, 1, 'TT2001')])

    def test_half_pair_of_surrogates(self):
        """Guards against settings with text that no message carries."""
        self.write(cache_folder='cache-\ud83d')
        self.assertEqual(1, len(self.found()))
        with self.assertRaises(findings.InvalidError):
            settings.load(self.path)

    def test_rules_between_settings(self):
        member = {'node': 'e1', 'address': '10.0.0.1:9'}
        for changed, codes in (
            ({'role': 'agent'}, ['TT2011']),
            ({'control_addresses': []}, ['TT2005']),
            ({'listen': {'port': 7001}}, ['TT2010']),
            ({'link': {'timeout_seconds': 0.4}}, ['TT2012']),
            (
                {
                    'role': 'control',
                    'listen': {'port': 8},
                    'control': {
                        'data_folder': 'd',
                        'members': [member, member],
                        'timing': {'election_seconds': 0.5},
                    },
                },
                ['TT2009', 'TT2008', 'TT2010', 'TT2009', 'TT2012'],
            ),
        ):
            self.write(**changed)
            self.assertEqual([row[2] for row in self.found()], codes, changed)

    def test_valid_file_gives_defaults_and_paths_of_its_folder(self):
        self.write(json.dumps(dict(VALID)).replace('{', '{ // note\n', 1))
        loaded = settings.load(self.path)
        self.assertEqual(loaded.link, generated.Link())
        folder = self.path.parent
        self.assertEqual(loaded.security.key_files, (str(folder / 'key'),))

    def test_samples_in_the_pages_are_valid(self):
        page = (ROOT / 'docs' / 'SETTINGS.md').read_text(encoding='utf-8')
        samples = page.split('```json\n')[1:]
        self.assertEqual(len(samples), 3)
        for sample in samples:
            self.write(sample.partition('```')[0])
            self.assertEqual(self.found(), [])
        page = (ROOT / 'docs' / 'PROFILES.md').read_text(encoding='utf-8')
        for sample in page.split('```json\n')[1:]:
            self.path.write_text(sample.partition('```')[0], encoding='utf-8')
            document_files.read(self.path, 'profile', 'sample')

    def test_no_input_crashes_the_check(self):
        rng = random.Random(11)
        values = (None, 5, -1, 'x', [], {}, [1], {'a': 1}, True, '1.2.3.4:5')

        def mutate(value):
            if rng.random() < 0.15:
                return rng.choice(values)
            if isinstance(value, dict):
                return {key: mutate(part) for key, part in value.items()}
            if isinstance(value, list):
                return [mutate(part) for part in value]
            return value

        valid = jsonc.parse(BROKEN.replace('"level": "loud"', '')).value
        for _ in range(500):
            self.write(json.dumps(mutate({**VALID, **(valid or {})})))
            settings_checks.check(self.path)

    def test_reload_applies_dynamic_settings_and_logs_the_rest(self):
        self.write()
        source = live_settings.Source(settings.load(self.path))
        entry = source.settings.entry
        reloader = reload.Reloader(str(self.path), source)
        self.write(
            logs={'level': 'debug'},
            cache_folder='elsewhere',
            entry={'body_limit_bytes': 5000, 'call_limit': 7},
        )
        logged = self.assertLogs('tamarackthread.settings')
        with logged:
            self.assertTrue(reloader.reload())
        self.assertEqual(source.settings.logs.level, 'debug')
        self.assertEqual(source.current.cache_folder, '')
        self.assertEqual(entry.body_limit_bytes, 5000)
        self.assertEqual(entry.call_limit, generated.Entry().call_limit)
        log_text = ' '.join(logged.watcher.output)
        self.assertIn('TT2013 cache_folder', log_text)
        self.assertIn('TT2013 entry.call_limit', log_text)

    def test_bad_file_leaves_the_old_settings_in_force(self):
        """A reload of invalid settings must not apply a part of them."""
        self.write()
        old = settings.load(self.path)
        source = live_settings.Source(old)
        reloader = reload.Reloader(str(self.path), source)
        for changed in (
            {'logs': {'level': 'loud'}},
            {'security': {'key_files': ['key', 'none']}},
        ):
            self.write(**changed)
            with self.assertLogs('tamarackthread.settings', 'ERROR'):
                self.assertFalse(reloader.reload())
        self.assertIs(source.current, old)

    def test_replaced_key_signs_from_the_next_greeting_on(self):
        self.write()
        source = live_settings.Source(settings.load(self.path))
        keys = security.read_keys(source.settings.security.key_files)
        (self.path.parent / 'new').write_bytes(b'n' * 32)
        self.write(security={'key_files': ['new', 'key']})
        reloader = reload.Reloader(str(self.path), source)
        with self.assertLogs('tamarackthread.settings'):
            reloader.reload()
        self.assertEqual(list(keys), [b'n' * 32, b'k' * 32])


class FastLoadCase(unittest.TestCase):
    def setUp(self):
        scratch = self.enterContext(tempfile.TemporaryDirectory())
        self.path = pathlib.Path(scratch) / 'settings.json'

    def test_loading_imports_no_validator(self):
        """Loading valid settings does not import the validation libraries."""
        self.path.write_text(f'// sound\n{json.dumps(dict(VALID))}')
        found = _run_python(
            'import sys; from tamarackthread.shared import settings;'
            f'settings.load({str(self.path)!r});'
            'print(sorted({"jsonschema", "lark"} & set(sys.modules)))'
        )
        self.assertEqual('[]', found)

    def test_fast_path_accepts_only_valid_settings(self):
        """Settings that the fast path accepts have no findings."""
        rng = random.Random(7)
        taken = 0
        for _ in range(400):
            self.path.write_text(_mutated(rng))
            if settings._load_fast(self.path) is None:
                continue
            taken += 1
            self.assertEqual([], settings_checks.check(self.path))
        self.assertGreater(taken, 20)

    def test_input_that_only_python_accepts(self):
        """Input that only Python's lenient JSON parser accepts is rejected."""
        valid = json.dumps(dict(VALID))
        for text in (
            valid.replace('{', '{"role": "entry",', 1),
            f'{valid[:-1]}, "link": {{"timeout_seconds": NaN}}}}',
            f'{valid[:-1]}, "link": {{"timeout_seconds": 1e999}}}}',
        ):
            self.path.write_text(text)
            with self.assertRaises(findings.InvalidError):
                settings.load(self.path)


def _run_python(code):
    completed = subprocess.run(  # noqa: S603  our own module
        (sys.executable, '-c', code), capture_output=True, check=True, text=True
    )
    return completed.stdout.strip()


def _mutated(rng):
    """Return valid settings, mostly with a few characters replaced."""
    text = json.dumps(
        {**VALID, 'link': {'heartbeat_seconds': 0.25, 'timeout_seconds': 1}}
    )
    if rng.random() < 0.2:
        return text
    position = rng.randrange(len(text))
    replacement = rng.choice(
        ['', ' ', '"', '0', '-', 'x', '1e9', 'null', ',', '}']
    )
    return text[:position] + replacement + text[position + rng.randrange(3) :]
