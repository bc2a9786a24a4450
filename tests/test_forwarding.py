"""Test forwarding to the leader and the lock of the data folder."""

import asyncio
import tempfile
import types
import unittest

from tamarackthread.control import failures, folder, forwarding, leadership
from tamarackthread.generated.messages import ttypes as messages
from tests import feed_net

REQUEST = messages.Request(status=messages.StatusRequest(revision=1))


class Links:
    """Answer for all addresses but ``silent``."""

    def __init__(self, silent):
        self.silent = silent

    async def request(self, address, request, timeout_seconds):
        await asyncio.sleep(timeout_seconds if address == self.silent else 0.01)
        if address == self.silent:
            raise failures.NotLeader
        return address


def forwarder(group, silent=''):
    return forwarding.Forwarder(group, str, Links(silent), 'own')


class ForwardingCase(unittest.TestCase):
    def test_isolated_leader_is_left_as_soon_as_another_is_known(self):
        """Guards against waiting for an isolated leader's request timeout."""

        async def scenario():
            group = types.SimpleNamespace(leader='old')
            pending = asyncio.ensure_future(
                forwarder(group, 'old').forward(REQUEST, bool),
            )
            await asyncio.sleep(1)
            group.leader = 'new'
            self.assertEqual(await pending, 'new')
            self.assertLess(feed_net.now(), 1.2)

        feed_net.run_paused(scenario)

    def test_without_a_leader_the_request_fails_as_not_run(self):
        async def scenario():
            group = types.SimpleNamespace(leader='')
            with self.assertRaises(failures.NotLeader):
                await forwarder(group).forward(REQUEST, bool)

        feed_net.run_paused(scenario)

    def test_host_that_comes_to_lead_answers_itself(self):
        async def scenario():
            group = types.SimpleNamespace(leader='own')
            leads = iter((False, False, True))
            request = forwarder(group).forward(REQUEST, lambda: next(leads))
            self.assertIsNone(await request)

        feed_net.run_paused(scenario)


class LeadershipCase(unittest.TestCase):
    def test_leader_waits_for_its_machine(self):
        """Guards against a new leader that serves outdated state."""

        async def scenario():
            group = types.SimpleNamespace(
                term=3,
                commit_index=9,
                applied_index=8,
                has_lease=lambda: True,
            )
            leading = leadership.Leadership(group)
            began = []
            leading.on_lead(lambda: began.append(group.term))
            self.assertFalse(leading.leads())
            group.applied_index = 9
            self.assertTrue(leading.leads())
            group.commit_index = 10
            self.assertTrue(leading.leads())
            self.assertEqual(began, [3])

        feed_net.run_paused(scenario)


class FolderCase(unittest.TestCase):
    def test_second_process_is_refused(self):
        with tempfile.TemporaryDirectory() as path:
            held = folder.DataFolder(path)
            with self.assertRaises(folder.DataFolderBusy):
                folder.DataFolder(path)
            held.close()
            folder.DataFolder(path).close()
