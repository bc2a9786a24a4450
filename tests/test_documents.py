"""Test the validation of documents and their forward compatibility."""

import json
import pathlib
import tomllib
import unittest

import tamarackthread
from tamarackthread.generated import documents as generated
from tamarackthread.shared import documents, findings, structure
from tools import generate_reference, generate_settings

ROOT = pathlib.Path(__file__).resolve().parent.parent


class DocumentsCase(unittest.TestCase):
    def found(self, kind, body, name='n'):
        checked = documents.check(kind, name, body)
        return [(one.place, one.code) for one in checked]

    def test_all_findings_with_their_paths(self):
        body = (
            '{"routing": {"policy": "best", "subset": 4}, "drain": {'
            '"seconds": "5m"}, "retries": {"attempts": 0}, "drain": {}}'
        )
        self.assertCountEqual(
            self.found('profile', body),
            [
                ('$', 'TT2003'),
                ('$.routing.policy', 'TT2008'),
                ('$.routing.subset', 'TT2004'),
                ('$.retries.attempts', 'TT2008'),
            ],
        )

    def test_refused_as_a_whole(self):
        many = ','.join('1' for _ in range(3000))
        for kind, name, body, place, code in (
            ('profil', 'n', '', '$', 'TT2020'),
            ('profile', 'a b', '', 'name', 'TT2021'),
            ('profile', 'n', '{', '$', 'TT2002'),
            ('profile', 'n', '[' * 60_000, '$', 'TT2002'),
            ('profile', 'n', '{"drain":{"seconds":NaN}}', '$', 'TT2002'),
            ('profile', 'n', json.dumps({'\ud83d': 1}), '$', 'TT2002'),
            ('profile', 'n', ' ' * 70_000, '$', 'TT2022'),
            ('service', 'n', f'{{"models":[{many}]}}', '$', 'TT2022'),
            ('service', 'n', '{}', '$', 'TT2005'),
            ('service', 'n', '{"profile":"p","kind":"model"}', '$', 'TT2005'),
        ):
            found = self.found(kind, body, name)
            self.assertEqual(found, [(place, code)], (kind, body[:30]))

    def test_findings_are_bounded(self):
        unknown = {f'key{number}': 1 for number in range(1000)}
        found = self.found('profile', json.dumps(unknown))
        self.assertEqual(len(found), documents.MAX_FINDINGS)

    def test_newer_keys_are_passed_over_by_nodes(self):
        body = '{"drain": {"seconds": 7, "newer": 1}, "newest": {}}'
        parsed = documents.parse('profile', body)
        self.assertEqual(parsed.drain, generated.Drain(seconds=7))
        for broken in ('[]', '{"drain": 3}', '{'):
            with self.assertRaises(findings.DocumentUnreadable):
                documents.parse('profile', broken)

    def test_defaults_pass_their_own_check(self):
        whole = structure.to_body(generated.Profile())
        self.assertEqual(self.found('profile', json.dumps(whole)), [])


class GeneratedCase(unittest.TestCase):
    def test_regenerating_changes_nothing(self):
        for name in generate_settings.NAMES:
            path = generate_settings.DESTINATION / f'{name}.py'
            committed = path.read_text(encoding='utf-8')
            self.assertEqual(generate_settings.render(name), committed, name)

    def test_pages_follow_the_schema(self):
        for page in generate_reference.PAGES:
            committed = page.path.read_text(encoding='utf-8')
            self.assertEqual(page.render(), committed, page.path.name)

    def test_version_is_the_package_version(self):
        project = tomllib.loads((ROOT / 'pyproject.toml').read_text())
        version = project['project']['version']
        self.assertEqual(tamarackthread.VERSION, version)
