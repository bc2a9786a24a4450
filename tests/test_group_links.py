"""Test orders, leases and maps over real links."""

import unittest

from bench.engines import fake_control, group
from tamarackthread.agent import (
    control_client,
    group_runtime,
    map_cache,
    order_errors,
    order_state,
    rank_transport,
    switch_record,
)
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.policy import expert_map
from tamarackthread.shared import errors, identity, link, link_pool, listener

GROUP = 'group-1'
SHAPE = expert_map.GroupShape(layers=58, experts=256, ranks=32, slots=10)


def _options(node: str) -> identity.LinkOptions:
    return identity.LinkOptions(
        identity.Identity(node=node, role=messages.Role.AGENT),
        keys=(b'k' * 32,),
    )


class _Handler(link.Handler):
    """Stand in for a control host and for the agent of rank 0."""

    def __init__(self, runtime: group_runtime.GroupRuntime) -> None:
        self._runtime = runtime
        self._control = fake_control.Control()

    async def on_request(
        self,
        held: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Dispatch leases, decisions and orders."""
        if request.lease is not None:
            reply = await self._control.lease(request.lease)
            return messages.Reply(lease=reply)
        if request.decision is not None:
            reply = await self._control.decide(request.decision)
            return messages.Reply(decision=reply)
        return messages.Reply(
            order=await self._runtime.handle_order(request.order)
        )

    async def on_stream(
        self, held: link.Link, call: object, opening: object
    ) -> None:
        """Reject streams."""
        raise errors.RequestUnsupported


class TestLinks(unittest.IsolatedAsyncioTestCase):
    """Use the transports on loopback."""

    async def asyncSetUp(self) -> None:
        """Listen as control and rank 0; dial as rank 1."""
        self._map = expert_map.cold_start(SHAPE)
        self._peers = link_pool.LinkPool(_options('rank-1'))
        transport = rank_transport.LinkTransport(self._peers, list, dict)
        lockstep = group.LockStepGroup(self._map.slots[..., 0, 0], 1)
        settings = group_runtime.GroupSettings(
            GROUP,
            0,
            'rank-0',
            self._map,
            candidate=False,
        )
        runtime = group_runtime.GroupRuntime(
            settings,
            fake_control.LocalControl(fake_control.Control()),
            transport,
            group.RankEngine(0, lockstep),
        )
        self._listener = listener.Listener(
            _options('rank-0'), _Handler(runtime)
        )
        self._address = await self._listener.start('127.0.0.1', 0)

    async def asyncTearDown(self) -> None:
        """Close both ends."""
        self._peers.close()
        self._listener.close()

    async def test_control(self) -> None:
        """An unreachable control host is skipped; records round-trip."""
        unreachable = '127.0.0.1:1'
        control = control_client.LinkControlClient(
            self._peers,
            [unreachable, self._address],
        )
        request = messages.LeaseRequest(
            name=GROUP,
            holder='rank-1',
            lease_ms=1000,
            fence=0,
            release=False,
        )
        granted = await control.lease(request)
        self.assertTrue(granted.granted)
        self.assertEqual(await control.highest_fence(GROUP), granted.fence)
        self.assertIsNone(await control.latest(GROUP))
        intent = switch_record.SwitchRecord(
            1,
            switch_record.Stage.PREPARED,
            50,
            'a',
            'b',
        )
        await control.decide(intent.to_request(GROUP, granted.fence))
        self.assertEqual(await control.latest(GROUP), intent)

    async def test_no_control(self) -> None:
        """Without a reachable control host a single coded error is raised."""
        control = control_client.LinkControlClient(self._peers, ['127.0.0.1:1'])
        with self.assertRaises(order_errors.ControlUnreachable):
            await control.highest_fence(GROUP)

    async def test_map_of_full_size(self) -> None:
        """A map of 58 layers is fetched from a peer."""
        transport = rank_transport.LinkTransport(
            self._peers,
            lambda: [0, 1],
            lambda: {0: self._address},
        )
        source = rank_transport.PeerMapSource(GROUP, transport)
        fetched = await source.fetch(self._map.digest())
        self.assertEqual(fetched.digest(), self._map.digest())
        with self.assertRaises(order_errors.MapUnknown):
            await map_cache.MapCache(self._map, source).get('unknown')

    async def test_refusal(self) -> None:
        """A refused order returns its error code."""
        transport = rank_transport.LinkTransport(
            self._peers,
            lambda: [0, 1],
            lambda: {0: self._address},
        )
        order = messages.GroupOrder(
            group=GROUP,
            fence=1,
            order_id='a',
            action=order_state.FENCE,
            body='',
            deadline_ms=1000,
        )
        reply = await transport.send(0, order, 5)
        state = order_state.from_json(reply.body)
        self.assertEqual(state.code, order_errors.FenceUnknown.code)
        with self.assertRaises(errors.AddressUnreachable):
            await transport.send(1, order, 5)
