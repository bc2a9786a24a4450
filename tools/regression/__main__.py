"""Run the outstanding bench runs for the current code, within a time limit.

Usage: ``make regression BENCH=PATH SITES=FOLDER MINUTES=60``; can be resumed.
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
RESULTS_PATH = ROOT / 'docs' / 'regression.json'
PAGE = ROOT / 'docs' / 'REGRESSION.md'
# Output line in which the bench names its journal entry.
_ENTRY = re.compile(r'^snapshot (\w+)$', re.MULTILINE)
PAGE_HEAD = """# Regression

Written by `make regression`. Worth by day, with processor time, of the newest play of each site; `not run` where
there is none. A hunt or a sweep is clean where no rule broke.

"""


class Run:
    """Execute outstanding bench runs, a limited number at once."""

    def __init__(self, options: argparse.Namespace) -> None:
        """Read the settings and the stored results; select the sites."""
        settings = json.loads(SETTINGS.read_text())
        self._options = options
        self._code = results.product_code(ROOT)
        self._results = results.Results(RESULTS_PATH)
        self._sites = plan.sites(
            options.sites.resolve(), settings['order'], settings['before']
        )
        if options.only:
            self._sites = [
                site for site in self._sites if site.name in options.only
            ]
        self._findings: list[str] = []

    async def all(self) -> int:
        """Execute runs until the deadline; return 1 if any has a finding."""
        outstanding = plan.outstanding_runs(
            self._sites, self._results, self._code, self._options.kinds
        )
        queue = iter(outstanding)
        loop = asyncio.get_running_loop()
        self._deadline = loop.time() + 60 * self._options.minutes
        await asyncio.gather(
            *(self._work(queue) for _ in range(self._options.at_once))
        )
        self._write()
        for finding in self._findings:
            print(f'regression: {finding}')
        return 1 if self._findings else 0

    async def _work(self, queue) -> None:
        loop = asyncio.get_running_loop()
        for bench_run in queue:
            if loop.time() >= self._deadline:
                return
            await self._execute(bench_run)

    async def _execute(self, bench_run: plan.BenchRun) -> None:
        print(
            f'regression: {bench_run.site.name} {bench_run.kind} begins',
            flush=True,
        )
        process = await asyncio.create_subprocess_exec(
            str(self._options.bench.resolve()),
            *bench_run.arguments(
                f'regression: {bench_run.kind} on the code at hand'
            ),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout_at(self._deadline):
                output, _ = await process.communicate()
        except TimeoutError:
            process.terminate()
            await process.wait()
            print(f'regression: {bench_run.site.name} {bench_run.kind} cut off')
            return
        self._record(bench_run, output.decode(errors='replace'))

    def _record(self, bench_run: plan.BenchRun, output: str) -> None:
        place = f'{bench_run.site.name} {bench_run.kind}'
        entry = _ENTRY.search(output)
        paths = sorted(ROOT.glob(f'journal/*-{entry[1]}.json')) if entry else []
        if not paths:
            self._findings.append(f'{place}: no entry, {output[-200:]!r}')
            return
        try:
            found = results.read_entry(
                bench_run.kind, bench_run.site.name, self._code, paths[-1]
            )
        except results.ResultsUnreadableError as exc:
            self._findings.append(f'{place}: {exc}')
            return
        self._results.put(found)
        self._findings += results.findings(found, bench_run.site.baseline)
        print(f'regression: {place} ends, mean {found.mean}', flush=True)
        self._write()

    def _write(self) -> None:
        PAGE.write_text(
            PAGE_HEAD + table.markdown(self._sites, self._results, self._code)
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
