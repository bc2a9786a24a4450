"""Test that one bad part of a control host's news holds back no other."""

from __future__ import annotations

import asyncio
import logging

from tamarackthread.generated import settings
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared.site import (
    announcements,
    document,
    feed_client,
    groups,
    zones,
)
from tests import policy_case, test_documents_fetched

HOST = '10.0.0.1:7'
UNKNOWN_STATE = 99
# Requests a second to a host whose news can't be applied.
MAX_REQUESTS = 10


class Pupil(feed_client.Subscriber):
    """Note what is learned; fail on groups, and on zones without a name."""

    def __init__(self) -> None:
        self.version_held = 0
        self.targets: set[str] = set()

    @property
    def version(self) -> int:
        """Return the version held."""
        return self.version_held

    @property
    def zone_changes(self) -> int:
        """Return no changes."""
        return 0

    def learn_zones(self, rows: list[zones.Zone]) -> None:
        """Fail."""
        raise LookupError

    def learn_groups(self, term: int, rows: list[groups.Group]) -> None:
        """Fail."""
        raise LookupError

    def learn_target(self, announcement: announcements.Announcement) -> None:
        """Note a target."""
        self.targets.add(announcement.target)

    def learn_document(self, stored: document.Document) -> None:
        """Note a configuration."""
        self.version_held = stored.version


class Links:
    """Answer the first request with bad parts, the next with a newer version."""

    def __init__(self) -> None:
        self.own_identity = test_documents_fetched.Net().own_identity
        self.requests: list[messages.SiteFeedRequest] = []

    def current(self, address: str) -> None:
        """Return no link."""

    async def request(
        self, address: str, request: messages.Request, seconds: float
    ) -> messages.Reply:
        """Answer a request."""
        await asyncio.sleep(0.01)
        self.requests.append(request.site)
        version = min(2, len(self.requests))
        reply = messages.SiteFeedReply(
            version=version,
            document=b'document',
            epoch=1,
            serial=3,
            targets=[target('t1'), target('t2', UNKNOWN_STATE), target('t3')],
            members=[HOST],
            entries=[],
            paces=[],
            groups=[messages.SiteGroup('g', [], True)],
            groups_serial=1,
            zones=[messages.SiteZone('a', True, 1)],
        )
        return messages.Reply(site=reply)


def target(name: str, state: int = announcements.State.READY):
    """Build a row of a reply."""
    return messages.SiteTarget(
        id=name,
        service_name='s',
        address='10.0.0.9:1',
        zone='a',
        slots=1,
        state=state,
        sequence=1,
        cold_ms=0,
        born_ms=0,
    )


class FeedClientTest(policy_case.PausedCase):
    """Test the polling of one control host."""

    def test_bad_parts(self) -> None:
        """Guards against a control host that is never asked again."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.run_paused(self._bad_parts())

    async def _bad_parts(self) -> None:
        links = Links()
        pupil = Pupil()
        site = settings.Site(seeds=['10.0.0.1:1'], link_port=7)
        follower = feed_client.FeedClient(site, links, pupil)
        running = asyncio.create_task(follower.run())
        await asyncio.sleep(1)
        running.cancel()
        self.assertEqual({'t1', 't3'}, pupil.targets)
        self.assertEqual(2, pupil.version)
        self.assertEqual(3, links.requests[-1].serial)
        self.assertLess(len(links.requests), MAX_REQUESTS)
