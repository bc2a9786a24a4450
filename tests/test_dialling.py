"""Prove that a host that has been without power is reached soon after it is back."""

from __future__ import annotations

import asyncio
from unittest import mock

from tamarackthread.shared import connecting, errors, identity
from tamarackthread.shared.site import host_addresses
from tests import policy_case


class DialCase(policy_case.PausedCase):
    def test_lost_first_packet(self):
        """An entry that starts a little before control waits a second more.

        The host of control has no power yet and drops the first packet; the
        kernel sends it again a second later, by when control has long run.
        The dial has to be given up and made anew.
        """
        self.run_paused(self._dial())

    async def _dial(self):
        loop = asyncio.get_running_loop()
        options = mock.create_autospec(identity.LinkOptions, instance=True)
        options.timeout_seconds = 1.0
        options.dial_tls = None
        began = loop.time()
        with mock.patch.object(asyncio, 'open_connection', _never):
            with self.assertRaises(errors.AddressUnreachable):
                await connecting.connect(
                    '10.0.0.1:1',
                    options,
                    mock.Mock(),
                    host_addresses.DIAL_TIMEOUT_SECONDS,
                )
        self.assertLess(loop.time() - began, 0.3)


async def _never(*_given, **_named):
    await asyncio.get_running_loop().create_future()
