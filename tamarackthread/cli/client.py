"""Ask the control hosts on behalf of an operator.

``Operator`` hides which control host leads.  A change keeps its id over all
resends, so it is applied once however often its answer is lost.
"""

from __future__ import annotations

import asyncio
import collections.abc

import attrs

from tamarackthread.cli import failures
from tamarackthread.control import failures as control_failures
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import addresses, errors, link_pool

DEFAULT_PATIENCE_SECONDS = 10.0
ATTEMPT_SECONDS = 3.0
PAUSE_SECONDS = 0.1
POLL_SECONDS = 0.05
AUDIT_PAGE = 100
LIST_MEMBERS = 'members'

# The request reached nobody, or somebody who certainly did nothing with it.
_NOTHING_DONE = (
    errors.AddressUnreachable,
    errors.GreetingRefused,
    control_failures.NotLeader,
    control_failures.NoQuorum,
    control_failures.TooManyProposals,
)
_MAY_BE_DONE = (
    errors.LinkLost,
    errors.RequestTimeout,
    control_failures.OutcomeUnknown,
    control_failures.ConsensusStopped,
)


@attrs.frozen
class Change:
    """A change to one document; an empty body deletes it."""

    change_id: str
    kind: str
    name: str
    based_on: int
    body: str


@attrs.frozen
class Author:
    """Say who makes changes, and from where, for the audit trail."""

    actor: str
    origin: str


class Operator:
    """Ask any control host until one answers or patience ends."""

    def __init__(
        self,
        dialled: link_pool.LinkPool,
        control: collections.abc.Sequence[str],
        author: Author,
        patience_seconds: float = DEFAULT_PATIENCE_SECONDS,
    ) -> None:
        """Use links of ``dialled`` to the control hosts' addresses."""
        self._peers = dialled
        self._control = tuple(control)
        self._author = author
        self._patience = patience_seconds
        self._first = self._control[0]

    async def ask(self, request: messages.Request) -> messages.Reply:
        """Return the first answer; raise what the leader refused with."""
        return await _Asking(self, request).run()

    async def versions(
        self,
        kind: str,
        name: str,
    ) -> list[messages.Document]:
        """Read the kept versions of one document."""
        return await self._named(kind, name, history=True)

    async def everything(self, kind: str) -> list[messages.Document]:
        """Read all documents of a kind by name, page after page."""
        found: list[messages.Document] = []
        more = True
        while more:
            after = found[-1].name if found else ''
            read = messages.ReadRequest(kind=kind, after=after)
            reply = await self.ask(messages.Request(documents=read))
            found.extend(reply.documents.documents)
            more = bool(reply.documents.more)
        return found

    async def document(self, kind: str, name: str) -> messages.Document | None:
        """Read one document, or return ``None`` if there is none."""
        for document in await self._named(kind, name, history=False):
            if document.name == name and document.body:
                return document
        return None

    async def change(self, change: Change) -> messages.ChangeReply:
        """Send a change and return the answer to its first arrival."""
        request = messages.ChangeRequest(
            change_id=change.change_id,
            actor=self._author.actor,
            origin=self._author.origin,
            kind=change.kind,
            name=change.name,
            based_on=change.based_on,
            body=change.body,
        )
        reply = await self.ask(messages.Request(change=request))
        return reply.change

    async def status(self, revision: int = 0) -> messages.StatusReply:
        """Tell how far a revision is in force; 0 is the newest."""
        request = messages.StatusRequest(revision=revision)
        reply = await self.ask(messages.Request(status=request))
        return reply.status

    async def wait(self, revision: int) -> messages.StatusReply:
        """Poll until a revision is in force everywhere or patience ends."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._patience
        status = await self.status(revision)
        while not status.in_force_everywhere and loop.time() < deadline:
            await asyncio.sleep(POLL_SECONDS)
            status = await self.status(revision)
        return status

    async def audit(
        self,
        after: int,
        limit: int,
    ) -> list[messages.AuditRecord]:
        """Read audit records after a revision, oldest first."""
        found: list[messages.AuditRecord] = []
        while len(found) < limit:
            count = min(limit - len(found), AUDIT_PAGE)
            request = messages.AuditRequest(after=after, limit=count)
            reply = await self.ask(messages.Request(audit=request))
            if not reply.audit.records:
                break
            found.extend(reply.audit.records)
            after = found[-1].revision
        return found

    async def newest_audit(self, count: int) -> list[messages.AuditRecord]:
        """Read the newest audit records, oldest first.

        Control answers from a revision on, so this reads from a window that
        doubles until it holds enough.
        """
        newest = (await self.status()).revision
        window = count
        while True:
            after = max(newest - window, 0)
            found = await self.audit(after, window + count)
            if len(found) >= count or not after:
                return found[-count:]
            window *= 2

    async def member(
        self,
        request: messages.MemberRequest,
    ) -> messages.MemberReply:
        """List or change the members of a replicated group.

        Each host answers with what it sees itself, and only the leader hears
        from all members, so its list is taken where it can be had.
        """
        reply = await self.ask(messages.Request(member=request))
        for member in reply.member.members or ():
            if member.leader and request.action == LIST_MEMBERS:
                return await self._leader_view(member, request, reply.member)
        return reply.member

    async def drain(self, target: str, cancel: bool) -> int:
        """Take a target out of service, or back, and return the revision.

        Control records it and tells the agent, which refuses new calls.
        """
        if await self.document('target', target) is None:
            raise failures.DocumentNotFound(f'target {target}')
        request = messages.DrainRequest(
            target=target,
            actor=self._author.actor,
            cancel=cancel,
        )
        reply = await self.ask(messages.Request(drain=request))
        return reply.done.value

    async def zones(
        self, asked: messages.SiteZoneRequest
    ) -> list[messages.SiteZone]:
        """Evacuate a zone or take it back if one is named; list all zones."""
        asked.author = f'{self._author.actor} at {self._author.origin}'
        reply = await self.ask(messages.Request(site_zone=asked))
        return reply.site_zone.zones

    async def _named(
        self,
        kind: str,
        name: str,
        history: bool,
    ) -> list[messages.Document]:
        read = messages.ReadRequest(kind=kind, name=name, history=history)
        reply = await self.ask(messages.Request(documents=read))
        return reply.documents.documents

    async def _leader_view(
        self,
        leader: messages.Member,
        request: messages.MemberRequest,
        seen: messages.MemberReply,
    ) -> messages.MemberReply:
        asked = messages.Request(member=request)
        try:
            reply = await self.send(leader.address, asked, ATTEMPT_SECONDS)
        except errors.CodedError:
            return seen
        return reply.member

    @property
    def patience_seconds(self) -> float:
        """Give how long an answer is waited for."""
        return self._patience

    def rotation(self) -> list[str]:
        """List the control hosts, the one that answered last first."""
        others = [held for held in self._control if held != self._first]
        return [self._first, *others]

    def prefer(self, leader: str) -> None:
        """Ask the named node or address first from now on."""
        if addresses.parse(leader) is not None:
            self._first = leader
            return
        for address, link in self._peers.links.items():
            if link.peer.node == leader and address in self._control:
                self._first = address

    async def send(
        self,
        address: str,
        request: messages.Request,
        timeout_seconds: float,
    ) -> messages.Reply:
        """Ask one control host and remember it if it answers."""
        reply = await self._peers.request(address, request, timeout_seconds)
        self._first = address
        return reply


class _Asking:
    """One request on its way to whoever can answer it."""

    def __init__(self, operator: Operator, request: messages.Request) -> None:
        self._operator = operator
        self._request = request
        self._last: errors.CodedError | None = None
        self._may_be_done = False
        loop = asyncio.get_running_loop()
        self._deadline = loop.time() + operator.patience_seconds

    async def run(self) -> messages.Reply:
        while self._left() > 0:
            for address in self._operator.rotation():
                reply = await self._try(address)
                if reply is not None:
                    return reply
            await asyncio.sleep(PAUSE_SECONDS)
        raise self._failure()

    async def _try(self, address: str) -> messages.Reply | None:
        seconds = max(min(ATTEMPT_SECONDS, self._left()), PAUSE_SECONDS)
        try:
            return await self._operator.send(address, self._request, seconds)
        except _NOTHING_DONE as exc:
            self._note(exc)
        except _MAY_BE_DONE as exc:
            self._note(exc)
            self._may_be_done = True
        return None

    def _note(self, exc: errors.CodedError) -> None:
        refused = isinstance(self._last, errors.GreetingRefused)
        # After a refusal the address is left alone for a moment and counts as
        # unreachable; the operator needs the first reason, the wrong key.
        if not refused or not isinstance(exc, errors.AddressUnreachable):
            self._last = exc
        self._operator.prefer(getattr(exc, 'leader', '') or '')

    def _left(self) -> float:
        return self._deadline - asyncio.get_running_loop().time()

    def _failure(self) -> failures.CommandFailed:
        reason = 'no time was given'
        if self._last is not None:
            reason = f'last reason {failures.describe(self._last)}'
        if self._may_be_done and _changes(self._request):
            return failures.ChangeOutcomeUnknown(reason)
        return failures.ControlUnreachable(reason)


def _changes(request: messages.Request) -> bool:
    if request.member is not None:
        return request.member.action != LIST_MEMBERS
    if request.site_zone is not None:
        return bool(request.site_zone.name)
    return request.change is not None or request.drain is not None
