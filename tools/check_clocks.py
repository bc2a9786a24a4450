"""Check that no test outside an allowlist depends on the real clock.

Sleeps and timeouts in wall time make a test flaky on a loaded machine.
"""

from __future__ import annotations

import ast
import json
import pathlib
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
TESTS = ROOT / 'tests'
ALLOWED = ROOT / 'tools' / 'real_clocks.json'
# Text that marks a real event loop; all other tests use simulated time.
REAL_LOOP_MARKS = ('IsolatedAsyncioTestCase', 'asyncio.run(', 'DirectCase')
TIMEOUT_CALLS = frozenset(('timeout', 'timeout_at', 'wait_for', 'settimeout'))
CLOCK_CALLS = frozenset(('monotonic', 'perf_counter', 'time_ns'))


def findings(text: str) -> list[int]:
    """Return the lines that sleep, time out or read time on the real clock."""
    if not any(mark in text for mark in REAL_LOOP_MARKS):
        return []
    tree = ast.parse(text)
    polls = _polls(tree)
    return sorted(
        node.lineno
        for node in ast.walk(tree)
        if isinstance(node, ast.Call)
        and _uses_real_clock(node)
        and node not in polls
    )


def _polls(tree: ast.AST) -> set[ast.AST]:
    """Return the sleeps inside loops that poll for a condition."""
    return {
        call
        for loop in ast.walk(tree)
        if isinstance(loop, ast.While)
        for call in ast.walk(loop)
        if isinstance(call, ast.Call)
        and isinstance(call.func, ast.Attribute)
        and call.func.attr == 'sleep'
    }


def _uses_real_clock(call: ast.Call) -> bool:
    if any(word.arg == 'timeout' for word in call.keywords):
        return True
    if not isinstance(call.func, ast.Attribute):
        return False
    if call.func.attr in TIMEOUT_CALLS or call.func.attr in CLOCK_CALLS:
        return True
    if call.func.attr != 'sleep' or not call.args:
        return False
    length = call.args[0]
    return not (isinstance(length, ast.Constant) and length.value == 0)


def main() -> int:
    """Print each violation outside the allowlist; return 1 if there is any."""
    allowed = json.loads(ALLOWED.read_text())
    places = []
    for path in sorted(TESTS.glob('*.py')):
        found = findings(path.read_text())
        if path.stem in allowed:
            if not found:
                places.append(f'{path.stem} is listed and needs not be')
            continue
        places += [
            f'tests/{path.name}:{line}: hangs on the real clock'
            for line in found
        ]
    for place in places:
        sys.stdout.write(f'{place}\n')
    return 1 if places else 0


if __name__ == '__main__':
    sys.exit(main())
