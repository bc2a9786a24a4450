"""Prove that a control host does not outlive its groups."""

import asyncio
import json
import pathlib
import tempfile
import unittest

from tamarackthread.control import failures, host
from tamarackthread.shared import listener, settings


class HaltedGroupCase(unittest.IsolatedAsyncioTestCase):
    async def test_halted_group_ends_the_process(self):
        """Operators see a control host end whose log can't go on.

        A fault halts one group.  The process would else answer heartbeats
        and vote for nothing; it ends with the group's reason instead.
        """
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
    place = pathlib.Path(folder)
    (place / 'key').write_text('k' * 32)
    bound = listener.bind('127.0.0.1', 0)
    address = listener.address_of(bound)
    bound.close()
    body = {
        'role': 'control',
        'node': {'id': 'c', 'region': 'r', 'zone': 'z'},
        'listen': {'port': int(address.rpartition(':')[2])},
        'security': {'key_files': [str(place / 'key')]},
        'control': {
            'data_folder': str(place / 'data'),
            'members': [{'node': 'c', 'address': address}],
            'claim_shards': 1,
        },
    }
    path = place / 'settings.json'
    path.write_text(json.dumps(body))
    return path
