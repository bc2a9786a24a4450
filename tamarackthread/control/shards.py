"""Name the groups of claims in the configuration, once."""

from __future__ import annotations

import json

from tamarackthread.control import config_proposer, configuration
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import documents

OWN_ACTOR = 'control'


def group_names(count: int) -> list[str]:
    """List the names of the groups of claims."""
    return [f'claims-{number}' for number in range(count)]


async def create_documents(
    machine: configuration.Configuration,
    propose: config_proposer.ConfigProposer,
    count: int,
) -> None:
    """Write a document for each group unless there are any already.

    Entries pick the shard of a key among these documents, so that adding one
    later moves keys and is an operator's change, never a host's.
    """
    if any(machine.documents.each(documents.SHARD)):
        return
    for name in group_names(count):
        change = messages.ChangeRequest(
            change_id='',
            actor=OWN_ACTOR,
            origin=OWN_ACTOR,
            kind=documents.SHARD,
            name=name,
            based_on=0,
            body=json.dumps({'group': name}),
        )
        await propose.change(change)
