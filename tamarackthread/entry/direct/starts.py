"""One start of a target as an entry sees it."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib

import attrs

from tamarackthread.entry.direct import records
from tamarackthread.policy import backpressure, rate_limit, sent_calls
from tamarackthread.shared import errors
from tamarackthread.shared.site import announcements

# Time out of the choice after a connection could not be made, doubled up to
# the most: a restart takes about a second, a cut some seconds.
FIRST_PAUSE_SECONDS = 0.3
MOST_PAUSE_SECONDS = 4.0
# Used where neither announcement nor answer tells how many run at once.
ASSUMED_SLOTS = 6


class StartOver(errors.CodedError):
    """Target has started again since it was given the call."""

    code = 'TT7224'
    status = 502


@attrs.define(eq=False)
class Start:
    """One start of a target.

    ``own`` counts this entry's calls there and ``others`` those that other
    entries told of.  A ``pace`` of 2 means that it takes twice its usual time.
    ``group`` names the group whose passes it shares, empty if unknown.
    ``asked`` is what its last answer to this entry asked for, and
    ``leaving_at`` when an answer first said that it leaves, 0 if none has.
    """

    said: announcements.Announcement
    heard_at: float
    own: int = 0
    others: int = 0
    paused_until: float = 0
    pause: float = 0
    pace: float = 1
    group: str = ''
    record: records.Record = attrs.field(factory=records.Record)
    sent: sent_calls.SentCalls = attrs.field(factory=sent_calls.SentCalls)
    limit: rate_limit.RateLimit = attrs.field(factory=rate_limit.RateLimit)
    cold_until: float = 0
    asked: backpressure.Backpressure = backpressure.NONE
    rest: backpressure.Cooldown = attrs.field(factory=backpressure.Cooldown)
    leaving_at: float = 0
    _lifetimes: set[asyncio.Timeout] = attrs.field(factory=set)

    @property
    def name(self) -> str:
        """Return the target's name."""
        return self.said.target

    @property
    def slots(self) -> int:
        """Return how many calls the target runs at once."""
        return self.said.slots or ASSUMED_SLOTS

    @property
    def load(self) -> float:
        """Return what one call more would make of the target's load.

        Ranks advance together, so a slow one holds up all calls of its group
        by what it has to do itself: at twice the time it gets half the calls.
        """
        return (self.own + self.others + 1) * self.pace / self.slots

    @property
    def is_leaving(self) -> bool:
        """Tell whether the target has said that it leaves, in any way.

        Its answers bind this entry also where its announcements do not come:
        an entry that is cut off from control hears of no farewell.
        """
        return self.said.is_leaving or self.leaving_at > 0

    def is_ready(self, now: float) -> bool:
        """Tell whether the target is surely up."""
        is_up = self.said.state == announcements.State.READY
        return is_up and self.paused_until <= now

    def is_cold(self, now: float) -> bool:
        """Tell whether the target takes only so many calls a second."""
        return now < max(self.cold_until, self.heard_at + self.said.cold)

    def begin(self, now: float) -> None:
        """Count a call that goes there."""
        self.own += 1
        self.sent.record(now)
        self.rest.record_sent(now)

    def hear(
        self,
        asked: backpressure.Backpressure,
        now: float,
        *,
        is_taken: bool,
    ) -> None:
        """Take what an answer asks for; ``is_taken`` unless it is a refusal."""
        self.asked = asked
        self.limit.update(asked.rate, now)
        if asked.is_leaving:
            self.leaving_at = self.leaving_at or now
        if asked.rest:
            self.rest.start(asked.rest, now)
        elif is_taken:
            self.rest.record_accepted(now)

    def asking(self, now: float) -> list[str]:
        """Name what the target's answers ask for now, for people."""
        found = {
            'rest': self.rest.remaining(now) > 0,
            'limit': self.limit.rate is not None,
            'no calls': self.leaving_at > 0,
        }
        return [name for name, is_asked in found.items() if is_asked]

    def failed(self, now: float) -> None:
        """Keep calls away for a while after one could not be delivered."""
        doubled = min(MOST_PAUSE_SECONDS, 2 * self.pause)
        self.pause = max(FIRST_PAUSE_SECONDS, doubled)
        self.paused_until = now + self.pause

    def answered(self) -> None:
        """Note that the target has answered."""
        self.pause = 0
        self.paused_until = 0

    @contextlib.asynccontextmanager
    async def lifetime(self) -> collections.abc.AsyncIterator[None]:
        """Do what needs this start; raise ``StartOver`` once it has ended.

        The failure: a target's host loses power and the target starts again
        under its name.  Nothing closes the connection to the earlier start,
        and the caller would wait out its deadline for an answer that nobody
        makes.  The later start's word is proof that the earlier one is gone.
        """
        scope = asyncio.timeout(None)
        self._lifetimes.add(scope)
        try:
            async with scope:
                yield
        except TimeoutError as exc:
            if scope.expired():
                raise StartOver(self.name) from exc
            raise
        finally:
            self._lifetimes.discard(scope)

    def end(self) -> None:
        """End all that needs this start: a later one has announced itself."""
        now = asyncio.get_running_loop().time()
        for scope in self._lifetimes:
            scope.reschedule(now)
