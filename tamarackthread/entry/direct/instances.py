"""Track one running instance of a target, from its start to its restart."""

from __future__ import annotations

import asyncio
import collections.abc
import contextlib

import attrs

from tamarackthread.entry.direct import outlier_detection
from tamarackthread.policy import backpressure, rate_limit, sent_calls
from tamarackthread.shared import errors
from tamarackthread.shared.site import announcements

# Exponential backoff after a failed connection: a restart takes about a second,
# a network partition several.
INITIAL_BACKOFF_SECONDS = 0.3
MAX_BACKOFF_SECONDS = 4.0
# Concurrency of a target that does not announce it.
DEFAULT_SLOTS = 6


class StartOver(errors.CodedError):
    """Target has restarted since it was given the call."""

    code = 'TT7224'
    status = 502


@attrs.define(eq=False)
class TargetInstance:
    """The state of one running instance of a target."""

    announcement: announcements.Announcement
    announced_at: float
    # Open calls of this entry, and of the others as of the last exchange.
    own_calls: int = 0
    other_calls: int = 0
    backoff_until: float = 0
    backoff: float = 0
    # Relative step time: 2 means twice the usual time.
    pace: float = 1
    # Empty if unknown.
    group: str = ''
    outcomes: outlier_detection.OutcomeHistory = attrs.field(
        factory=outlier_detection.OutcomeHistory
    )
    sent: sent_calls.SentCalls = attrs.field(factory=sent_calls.SentCalls)
    limit: rate_limit.RateLimit = attrs.field(factory=rate_limit.RateLimit)
    cold_until: float = 0
    # What the last response to this entry asked for.
    last_backpressure: backpressure.Backpressure = backpressure.NONE
    cooldown: backpressure.Cooldown = attrs.field(factory=backpressure.Cooldown)
    # When a response first announced a drain, 0 if none has.
    draining_since: float = 0
    _scopes: set[asyncio.Timeout] = attrs.field(factory=set)

    @property
    def name(self) -> str:
        """Return the target's name."""
        return self.announcement.target

    @property
    def slots(self) -> int:
        """Return how many calls the target runs concurrently."""
        return self.announcement.slots or DEFAULT_SLOTS

    @property
    def load(self) -> float:
        """Return the relative load of the target with one more call."""
        # Ranks run in lockstep, so a rank at half speed gets half the calls.
        return (self.own_calls + self.other_calls + 1) * self.pace / self.slots

    @property
    def is_draining(self) -> bool:
        """Tell whether an announcement or a response has announced a drain."""
        # An entry that is cut off from control gets no announcements.
        return self.announcement.is_leaving or self.draining_since > 0

    def is_ready(self, now: float) -> bool:
        """Tell whether the target is ready and not in backoff."""
        is_up = self.announcement.state == announcements.State.READY
        return is_up and self.backoff_until <= now

    def is_cold(self, now: float) -> bool:
        """Tell whether the target is cold, which limits its call rate."""
        return now < max(
            self.cold_until, self.announced_at + self.announcement.cold
        )

    def begin_call(self, now: float) -> None:
        """Count a call that is sent to the target."""
        self.own_calls += 1
        self.sent.record(now)
        self.cooldown.record_sent(now)

    def apply_backpressure(
        self,
        requested: backpressure.Backpressure,
        now: float,
        *,
        is_taken: bool,
    ) -> None:
        """Apply a response's backpressure; ``is_taken`` unless it refused."""
        self.last_backpressure = requested
        self.limit.update(requested.rate, now)
        if requested.is_leaving:
            self.draining_since = self.draining_since or now
        if requested.cooldown:
            self.cooldown.start(requested.cooldown, now)
        elif is_taken:
            self.cooldown.record_accepted(now)

    def active_backpressure(self, now: float) -> list[str]:
        """Name the kinds of backpressure in effect, for logs and metrics."""
        kinds = {
            'rest': self.cooldown.remaining(now) > 0,
            'limit': self.limit.rate is not None,
            'no calls': self.draining_since > 0,
        }
        return [name for name, is_active in kinds.items() if is_active]

    def back_off(self, now: float) -> None:
        """Start or double the backoff after a failed connection."""
        doubled = min(MAX_BACKOFF_SECONDS, 2 * self.backoff)
        self.backoff = max(INITIAL_BACKOFF_SECONDS, doubled)
        self.backoff_until = now + self.backoff

    def reset_backoff(self) -> None:
        """End the backoff after an answer."""
        self.backoff = 0
        self.backoff_until = 0

    @contextlib.asynccontextmanager
    async def lifetime(self) -> collections.abc.AsyncIterator[None]:
        """Run a block; raise ``StartOver`` if the target restarts meanwhile."""
        # After a power loss nothing closes the connection to the old instance,
        # and its calls would wait until their deadlines.
        scope = asyncio.timeout(None)
        self._scopes.add(scope)
        try:
            async with scope:
                yield
        except TimeoutError as exc:
            if scope.expired():
                raise StartOver(self.name) from exc
            raise
        finally:
            self._scopes.discard(scope)

    def cancel_calls(self) -> None:
        """End the open calls after a newer instance has announced itself."""
        now = asyncio.get_running_loop().time()
        for scope in self._scopes:
            scope.reschedule(now)
