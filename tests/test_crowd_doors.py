"""Test that clients of the other doors can't end a process or lock out others."""

from tamarackthread.platform import wire
from tamarackthread.shared import wire as frames
from tests import crowd_case

MEBIBYTE = crowd_case.MEBIBYTE
ORDER_CLIENTS = 60
ORDER_BYTES = 8 * MEBIBYTE
LONG_HEAD_CLIENTS = 140
LONG_FIELD_BYTES = 8000
LONG_FIELDS = 120
SILENT_CLIENTS = 600
GREETING_CLIENTS = 180
GREETING_BYTES = MEBIBYTE


class ControlCase(crowd_case.CrowdCase):
    async def test_orders_that_never_end(self):
        """Guards against bodies of orders whose sum has no bound."""
        begun = crowd_case.head(wire.REPLACE, length=ORDER_BYTES)
        await self.crowd(
            self.world.control_addresses[0],
            ORDER_CLIENTS,
            begun.ljust(len(begun) + ORDER_BYTES - 1, b'b'),
        )
        await self.configure(2)
        await self.assert_unharmed()

    async def test_order_of_many_values(self):
        """Guards against an order that takes many times its size in memory."""
        content = b'[],' * (ORDER_BYTES // 3 - 9)
        begun = crowd_case.head(wire.REPLACE, length=len(content) + 3)
        await self.crowd(
            self.world.control_addresses[0],
            1,
            b''.join((begun, b'[', content, b'0]')),
        )
        await self.configure(2)
        await self.assert_unharmed()

    async def test_heads_without_end(self):
        """Guards against heads that are kept until they end."""
        field = f'X: {"f" * LONG_FIELD_BYTES}\r\n'.encode()
        begun = crowd_case.head(wire.REPLACE).removesuffix(b'\r\n')
        await self.crowd(
            self.world.control_addresses[0],
            LONG_HEAD_CLIENTS,
            begun + field * LONG_FIELDS,
        )
        await self.configure(2)
        await self.assert_unharmed()


class LinkCase(crowd_case.CrowdCase):
    async def test_greetings_that_never_end(self):
        """Guards against what unknown peers may send before they are known."""
        link_port = self.world.link_port
        address = f'{self.world.controls[0].host}:{link_port}'
        greeting = frames.Kind.GREETING
        header = frames.HEADER.pack(GREETING_BYTES, greeting, 0, 0, 0)
        await self.crowd(
            address,
            GREETING_CLIENTS,
            header.ljust(len(header) + GREETING_BYTES - 1, b'g'),
        )
        await self.configure(2)
        await self.assert_unharmed()


class ScarceCase(crowd_case.CrowdCase):
    descriptors = crowd_case.SCARCE_DESCRIPTORS

    async def test_silent_connections(self):
        """Guards against connections that leave no descriptor for others."""
        await self.crowd(self.world.control_addresses[0], SILENT_CLIENTS, b'P')
        await self.configure(2)
        await self.assert_unharmed()

    async def test_silent_links(self):
        """Guards against silent peers that leave no descriptor for others."""
        link_port = self.world.link_port
        address = f'{self.world.controls[0].host}:{link_port}'
        await self.crowd(address, SILENT_CLIENTS, b'')
        await self.configure(2)
        await self.assert_unharmed()
