"""Set up a cluster's documents as an operator would."""

from __future__ import annotations

import asyncio
import hashlib
import json
import secrets
import typing

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import errors, identity, link_pool

from bench import cluster

TRY_SECONDS = 2.0
GIVE_UP_SECONDS = 20.0


class Operator:
    """Change documents over a link and wait until they are in force."""

    def __init__(self, running: cluster.Cluster) -> None:
        """Speak to the control hosts of a running cluster."""
        self._cluster = running
        key = running.key_file.read_bytes().strip()
        self._peers = link_pool.LinkPool(
            identity.LinkOptions(
                identity.Identity(
                    node=f'operator-{secrets.token_hex(4)}',
                    role=messages.Role.OPERATOR,
                ),
                keys=(key,),
            ),
        )

    def close(self) -> None:
        """Close the links."""
        self._peers.close()

    async def ask(self, request: messages.Request) -> messages.Reply:
        """Ask control hosts in turn until one answers."""
        loop = asyncio.get_running_loop()
        give_up = loop.time() + GIVE_UP_SECONDS
        failure: errors.CodedError = errors.AddressUnreachable()
        while loop.time() < give_up:
            for address in self._cluster.control_addresses:
                try:
                    return await self._peers.request(
                        address,
                        request,
                        TRY_SECONDS,
                    )
                except errors.CodedError as exc:
                    failure = exc
            await asyncio.sleep(0.05)
        raise failure

    async def put(
        self,
        kind: str,
        name: str,
        body: typing.Any,
        based_on: int = 0,
    ) -> messages.ChangeReply:
        """Change one document."""
        change = messages.ChangeRequest(
            change_id=secrets.token_hex(8),
            actor='bench',
            origin='loopback',
            kind=kind,
            name=name,
            based_on=based_on,
            body=json.dumps(body),
        )
        reply = await self.ask(messages.Request(change=change))
        return reply.change

    async def wait_in_force(self, revision: int) -> messages.StatusReply:
        """Wait until a revision is in force everywhere."""
        while True:
            status = messages.StatusRequest(revision=revision)
            reply = await self.ask(messages.Request(status=status))
            if reply.status.in_force_everywhere:
                return reply.status
            await asyncio.sleep(0.02)


def organisation(token: str, **fields: typing.Any) -> dict[str, typing.Any]:
    """Build an organisation's body with one credential."""
    digest = hashlib.sha256(token.encode()).hexdigest()
    return {'credentials': [{'name': 'bench', 'sha256': digest}], **fields}
