"""Create the documents of the claims shards on first start."""

from __future__ import annotations

import json

from tamarackthread.control import config_proposer, configuration
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import documents

ACTOR = 'control'


def group_names(count: int) -> list[str]:
    """Return the names of the groups that hold claims."""
    return [f'claims-{number}' for number in range(count)]


async def create_documents(
    machine: configuration.Configuration,
    propose: config_proposer.ConfigProposer,
    count: int,
) -> None:
    """Create the shards' documents unless any exists; more would remap keys."""
    if any(machine.documents.each(documents.SHARD)):
        return
    for name in group_names(count):
        change = messages.ChangeRequest(
            change_id='',
            actor=ACTOR,
            origin=ACTOR,
            kind=documents.SHARD,
            name=name,
            based_on=0,
            body=json.dumps({'group': name}),
        )
        await propose.change(change)
