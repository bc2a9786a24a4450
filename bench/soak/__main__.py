"""Soak seeds one after the other: ``python -m bench.soak --seed 1 --minutes 5``.

Prints one JSON object a seed; exits with 1 if a promise was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import pathlib
import sys
import time

from bench.soak import run

SECONDS_A_SEED = 8.0
SECONDS_OF_MINUTE = 60


def main() -> int:
    """Run seeds until the minutes are over."""
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--minutes', type=float, default=1)
    parser.add_argument('--seconds', type=float, default=SECONDS_A_SEED)
    parser.add_argument('--keep', type=pathlib.Path)
    chosen = parser.parse_args()
    until = time.perf_counter() + chosen.minutes * SECONDS_OF_MINUTE
    seed = chosen.seed
    broken = 0
    while seed == chosen.seed or time.perf_counter() < until:
        seen = asyncio.run(run.soak(seed, chosen.seconds, chosen.keep))
        print(json.dumps(seen), flush=True)
        broken += len(seen['violations'])
        seed += 1
    return 1 if broken else 0


if __name__ == '__main__':
    sys.exit(main())
