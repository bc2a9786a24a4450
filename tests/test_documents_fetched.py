"""Test that an entry fetches each configuration once, from a nearby host."""

import asyncio
import types

from tamarackthread.control.site import feed, machine, target_registry
from tamarackthread.generated import settings
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, identity
from tamarackthread.shared.site import document, feed_client
from tests import policy_case

ZONES = ('east', 'west', 'north')
HOSTS = tuple(f'10.0.{number}.1:7' for number in range(6))
# Time from the acknowledgement until a configuration is in force everywhere.
BOUND_SECONDS = 2.5


def _members():
    return list(HOSTS)


class Net:
    """Links of one entry to six control hosts in three availability zones."""

    def __init__(self):
        self.own_identity = identity.Identity(
            node='e1', role=messages.Role.ENTRY, zone='east', address='e1:7'
        )
        self.machines = {host: machine.SiteMachine() for host in HOSTS}
        self.feeds = {
            host: feed.Feed(
                held, target_registry.TargetRegistry(1), _members, 5
            )
            for host, held in self.machines.items()
        }
        self.silent = set()
        self.documents = []

    def current(self, address):
        place = HOSTS.index(address) % len(ZONES)
        return types.SimpleNamespace(
            peer=types.SimpleNamespace(
                zone=ZONES[place],
                role=messages.Role.ENTRY,
                address=self.own_identity.address,
            )
        )

    async def request(self, address, request_message, seconds):
        await asyncio.sleep(0.002)
        reply = await self.feeds[address].answer(
            self.current(address), request_message.site
        )
        if address in self.silent:
            await asyncio.sleep(seconds)
            raise errors.FrameInvalid('silent')
        if reply.document is not None:
            self.documents.append((reply.version, address))
        return messages.Reply(site=reply)

    def accept(self, version, *but):
        """Apply a version on each host, with short delays in between."""
        loop = asyncio.get_running_loop()
        for place, host in enumerate(HOSTS):
            if host not in but:
                loop.call_later(0.01 * place, self._apply, host, version)

    def _apply(self, host, version):
        held = document.pack(version, str(version).encode())
        self.machines[host].apply(version, held.encode())


class Pupil(feed_client.Subscriber):
    """Keep the newest version."""

    def __init__(self):
        self.held = document.Document()

    @property
    def version(self):
        return self.held.version

    @property
    def zone_changes(self):
        return 0

    def learn_zones(self, rows):
        """Ignore zones."""

    def learn_target(self, announcement):
        """Ignore targets."""

    def learn_document(self, held):
        self.held = held


class FetchedCase(policy_case.PausedCase):
    def test_one_copy(self):
        """Each version is fetched once, from a host in the same zone."""
        self.run_paused(self._one_copy())

    def test_near_hosts_silent(self):
        """A version arrives in time though all hosts in the zone are silent."""
        self.run_paused(self._silent())

    def test_near_hosts_behind(self):
        """A version arrives in time though the zone's hosts lag behind."""
        self.run_paused(self._behind())

    def test_quick_succession(self):
        """The last of many versions in quick succession arrives in time."""
        self.run_paused(self._storm())

    async def _one_copy(self):
        net, pupil = await self._begin()
        for version in range(2, 8):
            net.accept(version)
            await asyncio.sleep(1)
            self.assertEqual(version, pupil.version)
        self.assertEqual(list(range(2, 8)), [row[0] for row in net.documents])
        zones = {net.current(host).peer.zone for _, host in net.documents}
        self.assertEqual({'east'}, zones)

    async def _silent(self):
        net, pupil = await self._begin()
        net.silent = {HOSTS[0], HOSTS[3]}
        net.accept(2)
        await asyncio.sleep(BOUND_SECONDS)
        self.assertEqual(2, pupil.version)

    async def _behind(self):
        net, pupil = await self._begin()
        for version in (2, 3, 4):
            net.accept(version, HOSTS[0], HOSTS[3])
            await asyncio.sleep(BOUND_SECONDS)
            self.assertEqual(version, pupil.version)
        # Once they are known to lag, another host sends the document.
        self.assertLess(len(net.documents), 6)

    async def _storm(self):
        net, pupil = await self._begin()
        for version in range(2, 60):
            net.accept(version)
            await asyncio.sleep(1 / 12)
        await asyncio.sleep(BOUND_SECONDS)
        self.assertEqual(59, pupil.version)

    async def _begin(self):
        net = Net()
        pupil = Pupil()
        site = settings.Site(seeds=HOSTS, link_port=7)
        follower = feed_client.FeedClient(site, net, pupil)
        self.following = asyncio.create_task(follower.run())
        net.accept(1)
        await asyncio.sleep(3)
        self.assertEqual(1, pupil.version)
        net.documents.clear()
        return net, pupil
