"""Test that the templates of the deploy file give settings that a role takes."""

from __future__ import annotations

import pathlib
import tempfile
import types
import unittest

from review.second import rendering
from tamarackthread.shared import settings

ROOT = pathlib.Path(__file__).resolve().parents[1]
TEMPLATES = ('control', 'entry')
FIELDS = types.MappingProxyType(
    {
        'ip-address': '10.1.0.40',
        'zone': 'a',
        'region': 'r',
        'zones': {'a': 'r', 'b': 'r'},
        'listen-addresses': {
            'front': '10.1.0.40:8227',
            'ready': '10.1.0.40:8220',
            'control': '10.1.0.40:8229',
        },
        'internal-port-range': [7340, 7355],
        'seeds': ['10.1.0.40:8229', '10.2.0.29:8229'],
        'bootstrap': True,
        'data-directory': '/data',
        'fault-tolerance': {'machines': 1},
        'bounds': {'fencing-required': True},
    }
)
LIMITS = types.MappingProxyType({'memory-mb': 168, 'file-descriptors': 1124})


class TemplatesCase(unittest.TestCase):
    def test_limits(self):
        """Guards against a host whose limits are not in force."""
        for name in TEMPLATES:
            site = self._load(name, {**FIELDS, 'limits': dict(LIMITS)}).site
            self.assertEqual(168, site.memory_megabytes)
            self.assertEqual(1124, site.file_descriptors)

    def test_without_limits(self):
        """Guards against roles that don't start where a limit isn't told."""
        for name in TEMPLATES:
            for limits in ({}, {'memory-mb': 300}, {'file-descriptors': 4100}):
                held = self._load(name, {**FIELDS, 'limits': limits})
                self.assertEqual(4100, held.site.file_descriptors)
            held = self._load(name, dict(FIELDS))
            self.assertEqual(200, held.site.memory_megabytes)

    def _load(self, name, fields):
        template = (ROOT / 'deploy' / f'{name}.json').read_text()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'local.json'
            path.write_text(rendering.render(template, fields))
            return settings.load(path)
