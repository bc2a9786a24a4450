"""Prove that the adapter only translates, and that it alone does."""

import json
import pathlib
import re
import unittest

import tamarackthread
from tamarackthread.platform import configuration as reading
from tamarackthread.platform import wire
from tamarackthread.shared import findings
from tamarackthread.shared.site import configuration

PACKAGE = pathlib.Path(tamarackthread.__file__).parent
ADAPTER = PACKAGE / 'platform'
# Lines that the adapter may have; docs/PLATFORM.md says what is in them.
MOST_LINES = 800
# Words that are the field's as well, and stand in the product by themselves.
_COMMON = frozenset(('Authorization', 'Bearer ', 'Retry-After'))


class BorderCase(unittest.TestCase):
    def test_nothing_imports_the_adapter(self):
        """No module of the product leans on the adapter."""
        for path in _product():
            with self.subTest(path=path.name):
                self.assertNotRegex(
                    path.read_text(), r'tamarackthread(\.| import )platform'
                )

    def test_each_header_has_a_reader(self):
        """Guards against a header of the wire that no page says who reads."""
        page = (PACKAGE.parent / 'docs/design/BACKPRESSURE.md').read_text()
        for name, value in wire.__dict__.items():
            if not name.isupper() or not isinstance(value, str):
                continue
            if not re.fullmatch(r'[A-Z][a-z]+(-[A-Z][a-z]+)*', value):
                continue
            with self.subTest(name=name):
                self.assertIn(f'`{value}`', page)

    def test_wire_names_stay_inside(self):
        """No module of the product names what the platform's wire carries."""
        names = [
            value
            for name, value in wire.__dict__.items()
            if name.isupper() and isinstance(value, str)
        ]
        wanted = re.compile(
            '|'.join(
                rf'(?<![\w-]){re.escape(name)}'
                for name in names
                if name not in _COMMON and not name.isalpha()
            )
        )
        for path in _product():
            with self.subTest(path=path.name):
                self.assertIsNone(wanted.search(path.read_text()))

    def test_adapter_is_small(self):
        """The adapter stays a translation that is read in one sitting."""
        lines = sum(
            len(path.read_text().splitlines()) for path in ADAPTER.glob('*.py')
        )
        self.assertLessEqual(lines, MOST_LINES)


class ReaderCase(unittest.TestCase):
    def test_whole_configuration(self):
        """All that the product uses is read into its own terms."""
        held = reading.PlatformReader().read(_body())
        route = held.routes[0]
        self.assertEqual(7, held.version)
        self.assertEqual(configuration.Kind.STREAM, route.kind)
        self.assertEqual(2.5, route.timeout)
        self.assertTrue(route.may_repeat)
        self.assertEqual(
            ('a', 'b'), tuple(share.service for share in route.shares)
        )
        self.assertEqual(frozenset(('k1',)), held.organisations[0].keys)

    def test_findings(self):
        """Everything that makes a configuration invalid is refused."""
        for change in (
            {'version': '7'},
            {'routes': [_route(service='c')]},
            {'routes': [_route(), _route()]},
            {'routes': [_route(timeout=0)]},
            {'routes': [_route(_split(0, 0))]},
            {'routes': [{}]},
            {'tenants': [_owner('x', 'k1'), _owner('y', 'k1')]},
        ):
            with self.subTest(change=change):
                with self.assertRaises(findings.InvalidError):
                    reading.PlatformReader().read(_body(**change))

    def test_cut_short(self):
        """A body that ended early is refused whole."""
        with self.assertRaises(findings.InvalidError):
            reading.PlatformReader().read(_body()[:-20])

    def test_all_findings_together(self):
        """Each bad row is told with its place."""
        bad = {'routes': [{}, _route(), {'name': 1}]}
        places = r'\A\$\.routes\.0: [^$]*\$\.routes\.2: [^$]*\Z'
        with self.assertRaisesRegex(findings.InvalidError, places):
            reading.PlatformReader().read(_body(**bad))


def _product():
    for path in PACKAGE.rglob('*.py'):
        if ADAPTER not in path.parents and 'generated' not in path.parts:
            yield path


def _split(first, second):
    return [
        {'service': 'a', 'weight': first},
        {'service': 'b', 'weight': second},
    ]


def _route(split=None, service='a', timeout=2500):
    return {
        'name': 'r',
        'host': 'H.example',
        'path-prefix': '/a/',
        'kind': 'streaming',
        'timeout-ms': timeout,
        'stream-resumption': True,
        'service': service,
        'traffic-split': split,
    }


def _owner(name, key):
    return {'name': name, 'api-keys': [key], 'priority': 1}


def _body(**fields):
    return json.dumps(
        {
            'version': 7,
            'routes': [_route(_split(9, 1))],
            'services': [{'name': 'a'}, {'name': 'b'}],
            'tenants': [_owner('x', 'k1')],
            **fields,
        }
    ).encode()
