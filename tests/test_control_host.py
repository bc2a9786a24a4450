"""Test that a control host exits when one of its groups fails."""

import asyncio
import json
import pathlib
import tempfile
import unittest

from tamarackthread.control import failures, host
from tamarackthread.shared import listener, settings


class HaltedGroupCase(unittest.IsolatedAsyncioTestCase):
    async def test_halted_group_ends_the_process(self):
        """No host keeps running while one of its groups has halted."""
        with tempfile.TemporaryDirectory() as folder:
            running = host.Host(settings.load(_settings(folder)))
            started = asyncio.Event()
            run = asyncio.create_task(
                running.run(lambda addresses: started.set()),
            )
            await started.wait()
            group = running._groups['claims-0']
            group._halt(failures.ConsensusStopped('disk is gone'))
            with self.assertRaisesRegex(
                failures.ConsensusStopped,
                'disk is gone',
            ):
                await run


def _settings(folder):
    base = pathlib.Path(folder)
    (base / 'key').write_text('k' * 32)
    listening = listener.bind('127.0.0.1', 0)
    address = listener.address_of(listening)
    listening.close()
    content = {
        'role': 'control',
        'node': {'id': 'c', 'region': 'r', 'zone': 'z'},
        'listen': {'port': int(address.rpartition(':')[2])},
        'security': {'key_files': [str(base / 'key')]},
        'control': {
            'data_folder': str(base / 'data'),
            'members': [{'node': 'c', 'address': address}],
            'claim_shards': 1,
        },
    }
    path = base / 'settings.json'
    path.write_text(json.dumps(content))
    return path
