"""Run a subscriber node and log what it held.

It has links, a listener and a feed, as an entry or an agent has.
A line of the log is JSON: the node, the time on the machine's clock, the
revision, and whether the node may take work.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import random
import typing

from bench.config import network
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import (
    errors,
    feed,
    feed_server,
    identity,
    link,
    link_pool,
    listener,
    parents,
    process,
)

WATCH_SECONDS = 0.5
WAIT_SECONDS = 0.5


class Handler(link.Handler):
    """Relay the configuration."""

    def __init__(self, held: feed.ConfigFeed) -> None:
        """Serve what the feed holds."""
        self._relay = feed_server.FeedServer(
            held, held.descendants, feed_server.Limits()
        )

    async def on_request(
        self,
        link: link.Link,
        request: messages.Request,
    ) -> messages.Reply:
        """Answer a request for the configuration."""
        if request.feed is None:
            raise errors.RequestUnsupported
        return await self._relay.answer(link, request.feed)


class Node:
    """One subscriber."""

    def __init__(
        self,
        name: str,
        zone: str,
        control: typing.Sequence[str],
        key: bytes,
        log: typing.TextIO,
    ) -> None:
        """Bind the node's address."""
        self.name = name
        self._log = log
        self._bound = listener.bind('127.0.0.1', 0)
        self.port = self._bound.getsockname()[1]
        own = identity.Identity(
            node=name,
            role=messages.Role.ENTRY,
            region='region-0',
            zone=zone,
            address=f'{network.RELAY_HOST}:{self.port}',
            incarnation=process.new_incarnation(),
        )
        options = identity.LinkOptions(own, (key,))
        self._links = link_pool.LinkPool(options)
        self._feed = feed.ConfigFeed(
            self._links,
            own,
            parents.RandomParentSelector(control, random.Random(name)),
            WAIT_SECONDS,
        )
        self._listener = listener.Listener(options, Handler(self._feed))
        self._last = (-1, False)

    async def start(self) -> None:
        """Listen and pull."""
        await self._listener.start_on_socket(self._bound)
        self._feed.subscribe(self._note)
        self._feed.start()

    async def watch(self) -> None:
        """Log whether the node may take work each time that it changes."""
        loop = asyncio.get_running_loop()
        while True:
            self._note(None)
            await self._feed.changed.wait(loop.time() + WATCH_SECONDS)

    async def stop(self) -> None:
        """Stop as a node does on SIGTERM."""
        await self._feed.stop()
        self._listener.close()
        self._links.close()

    def _note(self, _: typing.Any) -> None:
        state = (self._feed.revision, self._feed.is_ready())
        if state == self._last:
            return
        self._last = state
        now = asyncio.get_running_loop().time()
        print(json.dumps([self.name, now, *state]), file=self._log)


async def run(arguments: argparse.Namespace) -> None:
    """Run the node until asked to stop."""
    key = arguments.key.read_bytes().strip()
    with arguments.log.open('a', buffering=1) as log:
        name = f'node-{arguments.place}'
        zone = f'zone-{arguments.place % arguments.zones}'
        node = Node(name, zone, arguments.control, key, log)
        print(json.dumps({name: str(node.port)}))
        await node.start()
        watching = asyncio.ensure_future(node.watch())
        await process.catch_stop_signals().wait()
        watching.cancel()
        await node.stop()


def main() -> None:
    """Read the command line and run."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--place', type=int)
    parser.add_argument('--zones', type=int)
    parser.add_argument('--key', type=pathlib.Path)
    parser.add_argument('--log', type=pathlib.Path)
    parser.add_argument('control', nargs='+')
    asyncio.run(run(parser.parse_args()))


if __name__ == '__main__':
    main()
