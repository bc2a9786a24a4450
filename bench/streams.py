"""Read many streams and count their tokens: ``python -m bench.streams``."""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json

import aiohttp

TOKENS = 2000


class Counter:
    """Keep streams open and count the events that come back."""

    def __init__(self, urls: list[str], token: str) -> None:
        """Take the URLs in turn."""
        self._urls = itertools.cycle(urls)
        self._headers = {'Authorization': f'Bearer {token}'}
        self._numbers = itertools.count()
        self.tokens = 0

    async def run(self, streams: int, seconds: float) -> float:
        """Stream for a time and return how long it really was."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(
            connector=connector,
            headers=self._headers,
        ) as session:
            reading = [
                loop.create_task(self._read(session)) for _ in range(streams)
            ]
            await asyncio.sleep(seconds)
            spent = loop.time() - started
            for task in reading:
                task.cancel()
            await asyncio.gather(*reading, return_exceptions=True)
        return spent

    async def _read(self, session: aiohttp.ClientSession) -> None:
        while True:
            body = {
                'prompt': f'stream {next(self._numbers)}',
                'max_tokens': TOKENS,
                'stream': True,
            }
            url = f'{next(self._urls)}/v1/completions'
            async with session.post(url, json=body) as response:
                if response.status != 200:
                    await asyncio.sleep(0.1)
                    continue
                async for received in response.content.iter_any():
                    self.tokens += received.count(b'\n\n')


def main() -> None:
    """Stream as the command line says and print the count as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--token', required=True)
    parser.add_argument('--streams', type=int, default=32)
    parser.add_argument('--seconds', type=float, default=5)
    parser.add_argument('urls', nargs='+')
    arguments = parser.parse_args()
    counter = Counter(arguments.urls, arguments.token)
    spent = asyncio.run(counter.run(arguments.streams, arguments.seconds))
    print(json.dumps({'tokens': counter.tokens, 'seconds': spent}))


if __name__ == '__main__':
    main()
