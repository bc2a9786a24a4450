"""Count the outcomes of a run of checks and tests."""

from __future__ import annotations

import attrs

from tools import known_red, outcomes


@attrs.define
class Tally:
    """Counts of outcomes over the whole run."""

    passed: int = 0
    failed: int = 0
    skipped: int = 0
    red: int = 0
    seen: set[str] = attrs.field(factory=set)

    def fail(self, place: str, text: str) -> None:
        """Count one failure and print it."""
        self.failed += 1
        print(f'FAILED {place}\n{text.rstrip()}\n', flush=True)

    def add(
        self,
        outcome: outcomes.Outcome,
        known: dict[str, known_red.KnownFailure],
    ) -> None:
        """Count the outcome of one test, with ``known`` failures apart."""
        self.seen.add(outcome.test)
        if outcome.status == outcomes.SKIPPED:
            self.skipped += 1
            print(f'skipped {outcome.test}: {outcome.text}', flush=True)
        elif outcome.test in known:
            self._add_known(outcome, known)
        elif outcome.status == outcomes.FAILED:
            self.fail(outcome.test, outcome.text)
        else:
            self.passed += 1

    def _add_known(
        self,
        outcome: outcomes.Outcome,
        known: dict[str, known_red.KnownFailure],
    ) -> None:
        entry = known[outcome.test]
        if outcome.status == outcomes.PASSED:
            self.fail(outcome.test, f'passes: take it off {known_red.FILE}')
            return
        self.red += 1
        print(
            f'known red {entry.test}: {entry.cause} ({entry.issue})',
            flush=True,
        )
