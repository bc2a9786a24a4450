"""Prove claims on a real replicated log of one member and a real folder."""

import asyncio
import pathlib
import random
import tempfile
import unittest

from tamarackthread.control import (
    claim_service,
    claims,
    consensus,
    disk,
    timing,
    transport,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import claim_errors, claim_times, errors

QUICK = timing.Timing(
    heartbeat=0.01,
    election_min=0.05,
    election_max=0.08,
    snapshot_entries=8,
    handover_timeout=0.05,
    # These tests write to a real disk, which may take a second for a sync beside
    # other work; a leader would give up on it and leave a claim in doubt.
    stall_timeout=600.0,
)
KEY = b'k' * 16
State = messages.ClaimState


class NoPeers(transport.Transport):
    async def call(self, node, request, timeout_seconds):
        raise errors.AddressUnreachable(node)


class Member:
    """Run a group of one on a folder until it is stopped."""

    def __init__(self, folder, proposer):
        self.machine = claims.ClaimsMachine()
        self.group = consensus.Consensus(
            group='claims-0',
            node='control-0',
            machine=self.machine,
            disk=disk.FolderDisk(pathlib.Path(folder)),
            transport=NoPeers(),
            members={'control-0': 'a:1'},
            timing=QUICK,
            rng=random.Random(3),
        )
        self.service = claim_service.ClaimService(
            self.machine,
            self.group,
            proposer,
        )

    async def __aenter__(self):
        await self.group.start()
        while True:
            try:
                await self.group.read_barrier()
            except errors.CodedError:
                await asyncio.sleep(0.001)
                continue
            return self.service

    async def __aexit__(self, *failure):
        await self.group.stop()


def ask(key=KEY, claim=b'first', digest=b'd'):
    return messages.ClaimRequest(
        key=key,
        claim=claim,
        digest=digest,
        keep_ms=claim_times.MIN_TTL_MS,
    )


def complete(fence):
    return messages.ClaimFinish(
        key=KEY,
        fence=fence,
        state=State.COMPLETE,
        status=201,
        body=b'booked',
    )


class RestartCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    async def test_claims_outlast_a_restart(self):
        """The second try gets the answer after the control host restarted.

        Some claims come back from the snapshot and the rest from the log.
        """
        async with Member(self.folder, 'control-0/1') as service:
            granted = (await service.claim(ask())).claim
            await service.finish(complete(granted.fence))
            for number in range(20):
                await service.claim(ask(key=bytes([number]) * 16))
        async with Member(self.folder, 'control-0/2') as service:
            again = (await service.claim(ask(claim=b'second'))).claim
            fresh = (await service.claim(ask(key=b'fresh'))).claim
            found = await service.lookup(
                messages.ClaimLookup(key=bytes([7]) * 16, wait_ms=0)
            )
        self.assertEqual((again.granted, again.body), (False, b'booked'))
        self.assertEqual(found.claim.state, State.GRANTED)
        self.assertEqual(fresh.fence, 22)

    async def test_refusals_have_their_codes(self):
        async with Member(self.folder, 'control-0/1') as service:
            await service.claim(ask())
            with self.assertRaises(claim_errors.ClaimKeyReused):
                await service.claim(ask(claim=b'other', digest=b'e'))
            with self.assertRaises(claim_errors.ClaimInvalid):
                await service.claim(ask(key=b'k' * 17))
