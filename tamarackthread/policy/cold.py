"""Bound the calls that a cold target gets in a second, over all entries.

Answers the load in which a zone's targets come back at once, cold and empty:
the least loaded targets of all would get every call, more than they can begin
before they are warm, and crash.
"""

from __future__ import annotations

import collections
import collections.abc
import hashlib

# Calls are counted over the second that a target counts, and what they may be
# held up on their way there: the time in which a connection is made.
SPAN_SECONDS = 1.4
# One part of a target's limit is shared by the entries that are known, the other
# is left for those that nobody has told of.
PARTS = 2
# An entry that was told of no other takes it that there are so many.
ASSUMED_ENTRIES = 32
_HASH_BYTES = 8

Entries = collections.abc.Callable[[], collections.abc.Sequence[str]]


class Shares:
    """Work out how many calls this entry may send to a cold target.

    A share does not grow when other entries fall silent: they may be cut off
    from this one and not from the target.
    """

    def __init__(
        self,
        own: str,
        entries: Entries,
        allowance: float = 1,
        slack: float = 0,
    ) -> None:
        """Share with ``entries``, of which this one is ``own``.

        A target takes ``allowance`` times its service's rate and ``slack`` calls
        more in a second.
        """
        self._own = own
        self._entries = entries
        self._allowance = allowance
        self._slack = slack
        self._rates: dict[str, float] = {}
        self._known: dict[str, None] = {}

    def learn(self, rates: collections.abc.Mapping[str, float]) -> None:
        """Take the calls a second at a cold target by service, 0 for any."""
        self._rates = dict(rates)

    def limit(self, service: str) -> float:
        """Return what all entries together may send in a second, 0 for any."""
        rate = self._rates.get(service, 0)
        return rate * self._allowance + self._slack if rate else 0

    def calls(self, service: str, target: str) -> int | None:
        """Return this entry's calls in a span, ``None`` without a limit."""
        limit = self.limit(service)
        if not limit:
            return None
        self._known.update(dict.fromkeys(self._entries()))
        each = int(limit / PARTS / (len(self._known) or ASSUMED_ENTRIES))
        return each or int(self._is_drawn(target, int(limit / PARTS)))

    def _is_drawn(self, target: str, places: int) -> bool:
        """Tell whether this entry is one of the few that a target is left to."""
        if self._own not in self._known:
            return False
        drawn = sorted(self._known, key=lambda entry: _mark(entry, target))
        return self._own in drawn[:places]


class Sent:
    """Count the calls that were sent to one target of late."""

    def __init__(self) -> None:
        """Begin without any."""
        self._moments: collections.deque[float] = collections.deque()

    def note(self, now: float) -> None:
        """Count a call."""
        self._moments.append(now)
        self._forget(now)

    def lately(self, now: float) -> int:
        """Return the calls of the last span."""
        self._forget(now)
        return len(self._moments)

    def _forget(self, now: float) -> None:
        while self._moments and now - self._moments[0] >= SPAN_SECONDS:
            self._moments.popleft()


def _mark(entry: str, target: str) -> bytes:
    text = f'{entry} {target}'.encode()
    return hashlib.blake2b(text, digest_size=_HASH_BYTES).digest()
