"""Draw the calls of the dawn wave from a seed.

Small organisations stay under their fair share even at the peak, so that a
fair balancer can serve all of them.
"""

from __future__ import annotations

import random

import attrs
import xxhash

from tamarackthread.policy import affinity

ZONES = ('east', 'west', 'north')
MODEL = 'drafting'
PLAIN = 'alerts'
LARGE_SHARES = (0.5, 0.2, 0.12)
SMALL_ORGANISATIONS = 7
FAMILIES = 6
FAMILY_BLOCKS = 6
MEAN_ANSWER_TOKENS = 80
URGENT_ANSWER_TOKENS = 20


@attrs.frozen(slots=True, kw_only=True)
class Wave:
    """Hold the form of the wave, in seconds and parts of capacity."""

    before: float = 3.0
    rise: float = 2.0
    hold: float = 24.0
    fall: float = 2.0
    after: float = 3.0
    base: float = 0.7
    peak: float = 3.0

    @property
    def duration(self) -> float:
        """Return the length of the whole wave."""
        return self.before + self.rise + self.hold + self.fall + self.after

    def height(self, moment: float) -> float:
        """Return the offered load at a moment, as a part of capacity."""
        risen = (moment - self.before) / self.rise
        fallen = (moment - self.before - self.rise - self.hold) / self.fall
        part = min(1, max(0, risen)) - min(1, max(0, fallen))
        return self.base + (self.peak - self.base) * part


@attrs.frozen(slots=True, kw_only=True)
class Offered:
    """One call that a caller sends at ``at``, times in seconds."""

    at: float
    entry: int
    service: str
    organisation: str
    priority: int
    prompt_tokens: int
    answer_tokens: int
    prefixes: tuple[int, ...]
    patience: float

    @property
    def is_small(self) -> bool:
        """Tell whether a small organisation sent it."""
        return self.organisation.startswith('small')


def organisations() -> dict[str, float]:
    """Return each organisation's part of all calls."""
    shares = {}
    for rank, share in enumerate(LARGE_SHARES):
        shares[f'large-{rank}'] = share
    rest = (1 - sum(LARGE_SHARES)) / SMALL_ORGANISATIONS
    for rank in range(SMALL_ORGANISATIONS):
        shares[f'small-{rank}'] = rest
    return shares


def draw(seed: int, wave: Wave, model: float, plain: float) -> list[Offered]:
    """Draw all calls; ``model`` and ``plain`` are capacities in calls/s."""
    generator = random.Random(seed)
    offered = []
    for service, capacity in ((MODEL, model), (PLAIN, plain)):
        moment: float = 0
        most = capacity * wave.peak
        while moment < wave.duration:
            moment += generator.expovariate(most)
            if generator.random() * wave.peak <= wave.height(moment):
                offered.append(draw_call(generator, service, moment))
    offered.sort(key=lambda call: call.at)
    return offered


def draw_call(
    generator: random.Random,
    service: str,
    moment: float,
) -> Offered:
    """Draw one call of the mix."""
    shares = organisations()
    organisation = generator.choices(list(shares), list(shares.values()))[0]
    if service == PLAIN:
        return _plain_call(generator, organisation, moment)
    drawn = generator.random()
    if drawn < 0.03:
        return _model_call(generator, organisation, moment, 0, 1.0)
    if drawn < 0.2:
        return _model_call(generator, organisation, moment, 2, 4.0)
    return _model_call(generator, organisation, moment, 1, 2.0)


def _plain_call(
    generator: random.Random,
    organisation: str,
    moment: float,
) -> Offered:
    is_urgent = generator.random() < 0.1
    return Offered(
        at=moment,
        entry=generator.randrange(len(ZONES)),
        service=PLAIN,
        organisation=organisation,
        priority=0 if is_urgent else 1,
        prompt_tokens=0,
        answer_tokens=0,
        prefixes=(),
        patience=0.5 if is_urgent else 1.0,
    )


def _model_call(
    generator: random.Random,
    organisation: str,
    moment: float,
    priority: int,
    patience: float,
) -> Offered:
    family = generator.randrange(FAMILIES)
    blocks = FAMILY_BLOCKS if priority else 1
    prefixes = [
        xxhash.xxh64_intdigest(f'{organisation}/{family}/{block}'.encode())
        for block in range(blocks)
    ]
    own_tokens = generator.randrange(60, 400 if priority else 120)
    mean = MEAN_ANSWER_TOKENS if priority else URGENT_ANSWER_TOKENS
    answer = generator.randrange(mean // 2, mean * 3 // 2)
    return Offered(
        at=moment,
        entry=generator.randrange(len(ZONES)),
        service=MODEL,
        organisation=organisation,
        priority=priority,
        prompt_tokens=blocks * affinity.BLOCK_TOKENS + own_tokens,
        answer_tokens=answer,
        prefixes=tuple(prefixes),
        patience=patience,
    )
