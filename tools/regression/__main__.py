"""Play what was not played on the code at hand, within a time, and say how it went.

Usage: ``make regression BENCH=PATH SITES=FOLDER MINUTES=60``.  Each play leaves its
entry in ``journal/``; ``docs/regression.json`` and ``docs/REGRESSION.md`` hold the
newest of each site and kind.  Called again it goes on where it was cut off.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import re
import sys

from tools.regression import plan, results, table

ROOT = pathlib.Path(__file__).resolve().parents[2]
SETTINGS = ROOT / 'tools' / 'regression' / 'settings.json'
HELD = ROOT / 'docs' / 'regression.json'
PAGE = ROOT / 'docs' / 'REGRESSION.md'
# The bench ends each play with the name of its entry in the journal.
_ENTRY = re.compile(r'^snapshot (\w+)$', re.MULTILINE)
PAGE_HEAD = """# Regression

Written by `make regression`. Worth by day, with processor time, of the newest play of each site; `not run` where
there is none. A hunt or a sweep is clean where no rule broke.

"""


class Run:
    """Play some of what is due, a few at once."""

    def __init__(self, given: argparse.Namespace) -> None:
        """Take what was asked for on the command line."""
        settings = json.loads(SETTINGS.read_text())
        self._given = given
        self._code = results.product_code(ROOT)
        self._held = results.Results(HELD)
        self._sites = plan.sites(
            given.sites.resolve(), settings['order'], settings['before']
        )
        if given.only:
            self._sites = [
                site for site in self._sites if site.name in given.only
            ]
        self._findings: list[str] = []

    async def all(self) -> int:
        """Play until all is played or time is up; return the exit code."""
        due = plan.plays(self._sites, self._held, self._code, self._given.kinds)
        left = iter(due)
        loop = asyncio.get_running_loop()
        self._until = loop.time() + 60 * self._given.minutes
        await asyncio.gather(
            *(self._work(left) for _ in range(self._given.at_once))
        )
        self._write()
        for finding in self._findings:
            print(f'regression: {finding}')
        return 1 if self._findings else 0

    async def _work(self, left) -> None:
        loop = asyncio.get_running_loop()
        for play in left:
            if loop.time() >= self._until:
                return
            await self._play(play)

    async def _play(self, play: plan.Play) -> None:
        print(f'regression: {play.site.name} {play.kind} begins', flush=True)
        running = await asyncio.create_subprocess_exec(
            str(self._given.bench.resolve()),
            *play.arguments(f'regression: {play.kind} on the code at hand'),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout_at(self._until):
                said, _ = await running.communicate()
        except TimeoutError:
            running.terminate()
            await running.wait()
            print(f'regression: {play.site.name} {play.kind} cut off')
            return
        self._take(play, said.decode(errors='replace'))

    def _take(self, play: plan.Play, said: str) -> None:
        place = f'{play.site.name} {play.kind}'
        entry = _ENTRY.search(said)
        paths = sorted(ROOT.glob(f'journal/*-{entry[1]}.json')) if entry else []
        if not paths:
            self._findings.append(f'{place}: no entry, {said[-200:]!r}')
            return
        try:
            found = results.of_entry(
                play.kind, play.site.name, self._code, paths[-1]
            )
        except results.ResultsUnreadableError as exc:
            self._findings.append(f'{place}: {exc}')
            return
        self._held.put(found)
        self._findings += results.findings(found, play.site.before)
        print(f'regression: {place} ends, mean {found.mean}', flush=True)
        self._write()

    def _write(self) -> None:
        PAGE.write_text(
            PAGE_HEAD + table.markdown(self._sites, self._held, self._code)
        )


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='regression')
    parser.add_argument('--bench', type=pathlib.Path, required=True)
    parser.add_argument('--sites', type=pathlib.Path, required=True)
    parser.add_argument('--minutes', type=float, default=60)
    parser.add_argument('--at-once', type=int, default=2)
    parser.add_argument('--only', action='append', default=[])
    parser.add_argument(
        '--kinds', nargs='+', choices=plan.KINDS, default=list(plan.KINDS)
    )
    return parser.parse_args()


if __name__ == '__main__':
    sys.exit(asyncio.run(Run(_arguments()).all()))
