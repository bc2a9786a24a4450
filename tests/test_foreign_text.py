"""Test text from other writers: refused at its place, or carried whole."""

from __future__ import annotations

import asyncio
import copy
import json
import math
import random
import types
import typing
import unittest

import attrs

from tamarackthread.control.site import feed, machine, target_registry
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.platform import configuration as platform_configuration
from tamarackthread.platform import http_api
from tamarackthread.shared import findings, wire
from tamarackthread.shared.site import announcements, configuration, document

DRAWN = 300
TARGETS = 2_000
EPOCH = 1
HALF_PAIR = '\ud83d'
STRANGE_TEXTS = (
    *(HALF_PAIR, 'model-\ud83d', '\ude00x', 'a\x00b', 'a\r\nTenant: b'),
    *('', ' ', ' a', 'a ', '\x7f', 'x' * 256),
)
SOUND_TEXTS = ('app', 'model-\U0001f600', 'Wörgl', 'x' * 255, 'a b', '%ff')
STRANGE_VALUES = (None, True, [], {}, -1, 0.5, 1e400, float('nan'), 1 << 63)
DOCUMENT = types.MappingProxyType(
    {
        'version': 1,
        'routes': [
            {
                'name': 'old',
                'host': 'site.example',
                'path-prefix': '/old/',
                'kind': 'idempotent',
                'timeout-ms': 8000,
                'target-latency-ms': 400,
                'gap-target-ms': 120,
                'priority': 1,
                'attempts': 2,
                'service': 'app',
            },
        ],
        'services': [
            {
                'name': 'app',
                'cold-per-s': 2,
                'engine': {'step_ms': 5, 'stride': 2},
            },
        ],
        'limits': {'max-body-bytes': 4194304},
        'tenants': [{'name': 'north', 'api-keys': ['key'], 'priority': 1}],
    }
)
FOLLOWER = types.SimpleNamespace(
    peer=types.SimpleNamespace(role=messages.Role.CONTROL, address='')
)


def heartbeat(**changed: object) -> bytes:
    """Build the body of a heartbeat that differs by ``changed``."""
    row = {
        'service': 'app',
        'address': '127.0.0.1:9',
        'zone': 'a',
        'slots': 6,
        'state': 'ready',
        'sequence': 1,
        **changed,
    }
    return json.dumps(row).encode()


class HeartbeatTest(unittest.TestCase):
    """Test the way of a heartbeat from its bytes to the followers."""

    def setUp(self) -> None:
        """Start a registry and the feed that tells of it."""
        self.registry = target_registry.TargetRegistry(1.0)
        self.feed = feed.Feed(
            machine.SiteMachine(), self.registry, list, epoch=EPOCH
        )

    def test_half_pair_is_refused(self) -> None:
        """Guards against a heartbeat that silences the feed of a control host."""
        asyncio.run(self._send_half_pair())

    def test_drawn_texts(self) -> None:
        """Guards against text that is taken and then lost or changed."""
        asyncio.run(self._send_drawn())

    def test_many_long_texts(self) -> None:
        """Guards against a reply that is too large for one message."""
        asyncio.run(self._send_many())

    async def _send_many(self) -> None:
        names = {f'{number:0255}' for number in range(TARGETS)}
        for name in names:
            self._take(name, service='\U0001f600' * 255)
        self.assertEqual(names, set(await self._followed()))

    async def _send_half_pair(self) -> None:
        self._take('t-1')
        with self.assertRaisesRegex(
            target_registry.AnnouncementInvalid, r'\$\.service'
        ):
            self._take('x-1', service=f'model-{HALF_PAIR}')
        self.assertEqual({'t-1'}, set(await self._followed()))

    async def _send_drawn(self) -> None:
        rng = random.Random(1)
        taken = {}
        for number in range(DRAWN):
            sent = {
                name: rng.choice(SOUND_TEXTS) for name in ('service', 'zone')
            }
            name = f'{rng.choice(SOUND_TEXTS)[:200]}-{number}'
            if rng.random() < 0.5:
                sent[rng.choice(('service', 'zone'))] = rng.choice(
                    STRANGE_TEXTS
                )
            elif rng.random() < 0.2:
                name = rng.choice(STRANGE_TEXTS)
            try:
                self._take(name, **sent)
            except target_registry.AnnouncementInvalid:
                continue
            self.assertNotIn(name, STRANGE_TEXTS)
            self.assertTrue(set(sent.values()).isdisjoint(STRANGE_TEXTS))
            taken[name] = sent
        followed = await self._followed()
        told = {
            name: {'service': row.service, 'zone': row.zone}
            for name, row in followed.items()
        }
        self.assertEqual(taken, told)
        self.assertTrue(taken)

    def _take(self, target: str, **changed: object) -> None:
        with self.registry.validating('writer'):
            self.registry.record(
                http_api.read_announcement(target, heartbeat(**changed))
            )

    async def _followed(self) -> dict[str, announcements.Announcement]:
        """Return the targets that a follower has once nothing is new."""
        rows: dict[str, announcements.Announcement] = {}
        serial = 0
        while serial < self.registry.serial:
            request = messages.SiteFeedRequest(
                wait_ms=0, serial=serial, epoch=EPOCH
            )
            reply = await self.feed.answer(FOLLOWER, request)
            payload = wire.encode(messages.Reply(site=reply))
            frame = wire.pack(wire.Kind.REPLY, payload)
            read = wire.decode(messages.Reply, frame[wire.HEADER_BYTES :]).site
            for row in read.targets:
                rows[row.id] = announcements.from_message(row)
            self.assertGreater(read.serial, serial)
            serial = read.serial
        return rows


class ConfigurationTest(unittest.TestCase):
    """Test strange values at each place of a configuration."""

    def test_strange_values(self) -> None:
        """Guards against a configuration that is taken and can't be obeyed."""
        reader = platform_configuration.PlatformReader()
        taken = 0
        for place in _places(dict(DOCUMENT)):
            for strange in (*STRANGE_TEXTS, *STRANGE_VALUES):
                with self.subTest(place=place, strange=strange):
                    body = json.dumps(
                        _with(dict(DOCUMENT), place, strange)
                    ).encode()
                    taken += self._is_taken(reader, body)
        self.assertTrue(taken)

    def test_deeply_nested(self) -> None:
        """Guards against a body whose depth ends in an error without a code."""
        reader = platform_configuration.PlatformReader()
        with self.assertRaises(findings.InvalidError):
            reader.read(b'[' * 100_000)

    def _is_taken(self, reader: configuration.Reader, body: bytes) -> bool:
        try:
            read = reader.read(body)
        except findings.InvalidError as exc:
            self.assertTrue(all(found.place for found in exc.findings))
            return False
        if read.version > 0:
            stored = document.pack(read.version, body).encode()
            self.assertEqual(read, reader.read(document.decode(stored).body))
        for organisation in read.organisations:
            self.assertEqual(organisation.name, organisation.name.strip())
            self.assertNotRegex(organisation.name, '[\x00-\x1f]')
        for text in _texts(attrs.asdict(read)):
            text.encode()
        for route in read.routes:
            self.assertTrue(0 < route.timeout < math.inf)
        return True


def _places(value: object, place: tuple = ()) -> typing.Iterator[tuple]:
    """Yield the place of each value in a document, but its own."""
    rows = value.items() if isinstance(value, dict) else ()
    if isinstance(value, list):
        rows = enumerate(value)
    for key, inner in rows:
        yield (*place, key)
        yield from _places(inner, (*place, key))


def _with(value: dict, place: tuple, strange: object) -> dict:
    """Return a copy of a document with another value at a place."""
    changed = copy.deepcopy(value)
    holder = changed
    for key in place[:-1]:
        holder = holder[key]
    holder[place[-1]] = strange
    return changed


def _texts(value: object) -> typing.Iterator[str]:
    """Yield all texts in nested values."""
    if isinstance(value, str):
        yield value
    rows = value.values() if isinstance(value, dict) else ()
    if isinstance(value, list | tuple | set | frozenset):
        rows = value
    for inner in rows:
        yield from _texts(inner)
