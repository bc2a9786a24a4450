"""Test the platform's adapter and its isolation."""

import json
import pathlib
import re
import unittest

from aiohttp import test_utils

import tamarackthread
from tamarackthread.platform import calls as platform_calls
from tamarackthread.platform import configuration as platform_configuration
from tamarackthread.platform import wire
from tamarackthread.shared import findings
from tamarackthread.shared.site import configuration

PACKAGE = pathlib.Path(tamarackthread.__file__).parent
ADAPTER = PACKAGE / 'platform'
# Size limit of the adapter, see docs/PLATFORM.md.
MAX_LINES = 800
# Standard headers, which other packages may use too.
_STANDARD_HEADERS = frozenset(('Authorization', 'Bearer ', 'Retry-After'))


class IsolationCase(unittest.TestCase):
    def test_nothing_imports_the_adapter(self):
        """No module outside the adapter imports it."""
        for path in _other_modules():
            with self.subTest(path=path.name):
                self.assertNotRegex(
                    path.read_text(), r'tamarackthread(\.| import )platform'
                )

    def test_each_header_has_a_reader(self):
        """Guards against a header whose reader no page documents."""
        page = (PACKAGE.parent / 'docs/design/BACKPRESSURE.md').read_text()
        for name, value in wire.__dict__.items():
            if not name.isupper() or not isinstance(value, str):
                continue
            if not re.fullmatch(r'[A-Z][a-z]+(-[A-Z][a-z]+)*', value):
                continue
            with self.subTest(name=name):
                self.assertIn(f'`{value}`', page)

    def test_wire_names_stay_inside(self):
        """No module outside the adapter contains the platform's names."""
        names = [
            value
            for name, value in wire.__dict__.items()
            if name.isupper() and isinstance(value, str)
        ]
        wanted = re.compile(
            '|'.join(
                rf'(?<![\w-]){re.escape(name)}'
                for name in names
                if name not in _STANDARD_HEADERS and not name.isalpha()
            )
        )
        for path in _other_modules():
            with self.subTest(path=path.name):
                self.assertIsNone(wanted.search(path.read_text()))

    def test_adapter_is_small(self):
        """The adapter stays within its size limit."""
        lines = sum(
            len(path.read_text().splitlines()) for path in ADAPTER.glob('*.py')
        )
        self.assertLessEqual(lines, MAX_LINES)


class PromptCase(unittest.TestCase):
    def test_shared_parts(self):
        """Guards against taking a call's own part for one that others share."""
        cases = {
            '5c1e:800,91bd:410,e440:250': ('5c1e', '91bd'),
            ' 5c1e:800 , 91bd:410': ('5c1e',),
            'e440:250': (),
            '5c1e:800,,e440:250': ('5c1e',),
            '': (),
        }
        for header, wanted in cases.items():
            with self.subTest(header=header):
                request = test_utils.make_mocked_request(
                    'POST',
                    '/a/b',
                    headers={wire.CALL_ID: 'c1', wire.PROMPT: header},
                )
                parsed = platform_calls.PlatformDialect().read_request(request)
                self.assertEqual(wanted, parsed.shared_parts)


class ReaderCase(unittest.TestCase):
    def test_whole_configuration(self):
        """All fields of a configuration are parsed."""
        parsed = platform_configuration.PlatformReader().read(_body())
        route = parsed.routes[0]
        self.assertEqual(7, parsed.version)
        self.assertEqual(configuration.RouteKind.STREAM, route.kind)
        self.assertEqual(2.5, route.timeout)
        self.assertTrue(route.is_retryable)
        self.assertEqual(
            ('a', 'b'), tuple(share.service for share in route.shares)
        )
        self.assertEqual(frozenset(('k1',)), parsed.organisations[0].keys)

    def test_findings(self):
        """Each kind of invalid configuration is refused."""
        for change in (
            {'version': '7'},
            {'routes': [_route(service='c')]},
            {'routes': [_route(), _route()]},
            {'routes': [_route(timeout=0)]},
            {'routes': [_route(_split(0, 0))]},
            {'routes': [{}]},
            {'tenants': [_tenant('x', 'k1'), _tenant('y', 'k1')]},
        ):
            with self.subTest(change=change):
                with self.assertRaises(findings.InvalidError):
                    platform_configuration.PlatformReader().read(
                        _body(**change)
                    )

    def test_cut_short(self):
        """A truncated body is refused."""
        with self.assertRaises(findings.InvalidError):
            platform_configuration.PlatformReader().read(_body()[:-20])

    def test_all_findings_together(self):
        """The error lists each invalid row with its place."""
        bad = {'routes': [{}, _route(), {'name': 1}]}
        places = r'\A\$\.routes\.0: [^$]*\$\.routes\.2: [^$]*\Z'
        with self.assertRaisesRegex(findings.InvalidError, places):
            platform_configuration.PlatformReader().read(_body(**bad))


def _other_modules():
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


def _tenant(name, key):
    return {'name': name, 'api-keys': [key], 'priority': 1}


def _body(**fields):
    return json.dumps(
        {
            'version': 7,
            'routes': [_route(_split(9, 1))],
            'services': [{'name': 'a'}, {'name': 'b'}],
            'tenants': [_tenant('x', 'k1')],
            **fields,
        }
    ).encode()
