"""Run an experiment by name: ``python -m bench NAME [--quick]``.

Each module in ``bench.experiments`` has ``run(quick: bool) -> dict``.  It
prints its progress and a table; the last line printed here is one JSON object.
"""

from __future__ import annotations

import argparse
import importlib
import json
import pkgutil
import sys

from bench import experiments


def names() -> list[str]:
    """List the experiments that can be run."""
    return sorted(
        module.name for module in pkgutil.iter_modules(experiments.__path__)
    )


def main() -> int:
    """Run the experiment named on the command line and print its JSON."""
    parser = argparse.ArgumentParser(prog='bench', description=__doc__)
    parser.add_argument('name', choices=names())
    parser.add_argument('--quick', action='store_true')
    arguments = parser.parse_args()
    module = importlib.import_module(f'bench.experiments.{arguments.name}')
    outcome = module.run(quick=arguments.quick)
    print(json.dumps({'experiment': arguments.name, **outcome}))
    return 0


if __name__ == '__main__':
    sys.exit(main())
