"""Say how fast the ranks of emulated groups are."""

from __future__ import annotations

import attrs

from tamarackthread.shared.site import configuration


@attrs.frozen(kw_only=True)
class Engine:
    """Say how fast the ranks of a group are; times in seconds.

    A pass is ``stride`` steps and makes one event of each stream.  In each step
    a rank reads at most ``chunk`` tokens of prompts.
    """

    ranks: int = 63
    slots: int = 5
    stride: int = 6
    step: float = 0.00585
    per_call: float = 0.00085
    tokens_per_second: float = 61200.0
    chunk: int = 512
    expert_share: float = 0.85
    shape: configuration.ExpertLayout = configuration.ExpertLayout(
        sets=8, experts=252, places=5, spare=2, copy_seconds=0.005
    )


# Many ranks that run few calls each, so that one of them is nearly always full.
LARGE = Engine(
    ranks=129,
    slots=3,
    stride=8,
    per_call=0.001562,
    shape=configuration.ExpertLayout(
        sets=16, experts=258, places=3, spare=2, copy_seconds=0.0024
    ),
)

# Ranks at which a call adds twice as much to a step as at the others, and a step
# by itself takes less: how many calls they have decides how long a pass takes.
DENSE = Engine(
    stride=5,
    step=0.00455,
    per_call=0.00218,
    tokens_per_second=61400.0,
    shape=configuration.ExpertLayout(
        sets=8, experts=252, places=5, spare=2, copy_seconds=0.0142
    ),
)
