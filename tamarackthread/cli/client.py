"""Send an operator's requests to the leader among the control hosts.

A change keeps its id over all retries, so that it is applied only once.
"""

from __future__ import annotations

import asyncio
import collections.abc

import attrs

from tamarackthread.cli import failures
from tamarackthread.control import failures as control_failures
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import addresses, errors, link_pool

DEFAULT_TIMEOUT_SECONDS = 10.0
ATTEMPT_TIMEOUT_SECONDS = 3.0
RETRY_DELAY_SECONDS = 0.1
POLL_INTERVAL_SECONDS = 0.05
AUDIT_PAGE_SIZE = 100
LIST_MEMBERS = 'members'

# The request was not delivered, or the control host did not execute it.
_NOT_EXECUTED = (
    errors.AddressUnreachable,
    errors.GreetingRefused,
    control_failures.NotLeader,
    control_failures.NoQuorum,
    control_failures.TooManyProposals,
)
_MAYBE_EXECUTED = (
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
    """Identify who makes changes, and from where, for the audit trail."""

    actor: str
    origin: str


class Operator:
    """Send requests to any control host, with retries until a timeout."""

    def __init__(
        self,
        peer_links: link_pool.LinkPool,
        control: collections.abc.Sequence[str],
        author: Author,
        timeout_seconds: float = DEFAULT_TIMEOUT_SECONDS,
    ) -> None:
        """Connect to the control hosts' addresses through ``peer_links``."""
        self._peer_links = peer_links
        self._control = tuple(control)
        self._author = author
        self._timeout_seconds = timeout_seconds
        self._preferred_address = self._control[0]

    async def ask(self, request: messages.Request) -> messages.Reply:
        """Return the first reply; raise the error that the leader replied."""
        return await _RetriedRequest(self, request).run()

    async def versions(
        self,
        kind: str,
        name: str,
    ) -> list[messages.Document]:
        """Read the stored versions of one document."""
        return await self._read_documents(kind, name, history=True)

    async def list_documents(self, kind: str) -> list[messages.Document]:
        """Read all pages of the documents of a kind, sorted by name."""
        documents: list[messages.Document] = []
        more = True
        while more:
            after = documents[-1].name if documents else ''
            read = messages.ReadRequest(kind=kind, after=after)
            reply = await self.ask(messages.Request(documents=read))
            documents.extend(reply.documents.documents)
            more = bool(reply.documents.more)
        return documents

    async def document(self, kind: str, name: str) -> messages.Document | None:
        """Read one document, or return ``None`` if there is none."""
        for document in await self._read_documents(kind, name, history=False):
            if document.name == name and document.body:
                return document
        return None

    async def change(self, change: Change) -> messages.ChangeReply:
        """Send a change; a retry returns the reply to its first execution."""
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
        """Report which nodes have a revision in force; 0 is the newest."""
        request = messages.StatusRequest(revision=revision)
        reply = await self.ask(messages.Request(status=request))
        return reply.status

    async def wait(self, revision: int) -> messages.StatusReply:
        """Poll until a revision is in force everywhere or the timeout ends."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + self._timeout_seconds
        status = await self.status(revision)
        while not status.in_force_everywhere and loop.time() < deadline:
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
            status = await self.status(revision)
        return status

    async def audit(
        self,
        after: int,
        limit: int,
    ) -> list[messages.AuditRecord]:
        """Read audit records after a revision, oldest first."""
        records: list[messages.AuditRecord] = []
        while len(records) < limit:
            count = min(limit - len(records), AUDIT_PAGE_SIZE)
            request = messages.AuditRequest(after=after, limit=count)
            reply = await self.ask(messages.Request(audit=request))
            if not reply.audit.records:
                break
            records.extend(reply.audit.records)
            after = records[-1].revision
        return records

    async def newest_audit(self, count: int) -> list[messages.AuditRecord]:
        """Read the newest audit records, oldest first."""
        # Control only lists records after a given revision, so the window of
        # revisions is doubled until it contains enough records.
        newest = (await self.status()).revision
        window = count
        while True:
            after = max(newest - window, 0)
            records = await self.audit(after, window + count)
            if len(records) >= count or not after:
                return records[-count:]
            window *= 2

    async def member(
        self,
        request: messages.MemberRequest,
    ) -> messages.MemberReply:
        """List or change the members of a replicated group."""
        # Only the leader knows the state of all members, so its list is
        # preferred to that of the control host that replied.
        reply = await self.ask(messages.Request(member=request))
        for member in reply.member.members or ():
            if member.leader and request.action == LIST_MEMBERS:
                return await self._members_from_leader(
                    member, request, reply.member
                )
        return reply.member

    async def drain(self, target: str, cancel: bool) -> int:
        """Drain a target, or cancel its draining; return the revision."""
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
        self, request: messages.SiteZoneRequest
    ) -> list[messages.SiteZone]:
        """Evacuate or restore the named zone, if any; list all zones."""
        request.author = f'{self._author.actor} at {self._author.origin}'
        reply = await self.ask(messages.Request(site_zone=request))
        return reply.site_zone.zones

    async def _read_documents(
        self,
        kind: str,
        name: str,
        history: bool,
    ) -> list[messages.Document]:
        read = messages.ReadRequest(kind=kind, name=name, history=history)
        reply = await self.ask(messages.Request(documents=read))
        return reply.documents.documents

    async def _members_from_leader(
        self,
        leader: messages.Member,
        request: messages.MemberRequest,
        fallback: messages.MemberReply,
    ) -> messages.MemberReply:
        wrapped = messages.Request(member=request)
        try:
            reply = await self.send(
                leader.address, wrapped, ATTEMPT_TIMEOUT_SECONDS
            )
        except errors.CodedError:
            return fallback
        return reply.member

    @property
    def timeout_seconds(self) -> float:
        """Return the time for a request with its retries."""
        return self._timeout_seconds

    def attempt_order(self) -> list[str]:
        """List the control hosts, the one that replied last first."""
        others = [
            address
            for address in self._control
            if address != self._preferred_address
        ]
        return [self._preferred_address, *others]

    def prefer(self, leader: str) -> None:
        """Try the leader, given by node or address, first from now on."""
        if addresses.parse(leader) is not None:
            self._preferred_address = leader
            return
        for address, link in self._peer_links.links.items():
            if link.peer.node == leader and address in self._control:
                self._preferred_address = address

    async def send(
        self,
        address: str,
        request: messages.Request,
        timeout_seconds: float,
    ) -> messages.Reply:
        """Send to one control host; prefer it from now on if it replies."""
        reply = await self._peer_links.request(
            address, request, timeout_seconds
        )
        self._preferred_address = address
        return reply


class _RetriedRequest:
    """A request that is retried on all control hosts until its deadline."""

    def __init__(self, operator: Operator, request: messages.Request) -> None:
        self._operator = operator
        self._request = request
        self._last_error: errors.CodedError | None = None
        self._maybe_executed = False
        loop = asyncio.get_running_loop()
        self._deadline = loop.time() + operator.timeout_seconds

    async def run(self) -> messages.Reply:
        while self._remaining_seconds() > 0:
            for address in self._operator.attempt_order():
                reply = await self._attempt(address)
                if reply is not None:
                    return reply
            await asyncio.sleep(RETRY_DELAY_SECONDS)
        raise self._final_error()

    async def _attempt(self, address: str) -> messages.Reply | None:
        seconds = max(
            min(ATTEMPT_TIMEOUT_SECONDS, self._remaining_seconds()),
            RETRY_DELAY_SECONDS,
        )
        try:
            return await self._operator.send(address, self._request, seconds)
        except _NOT_EXECUTED as exc:
            self._record_failure(exc)
        except _MAYBE_EXECUTED as exc:
            self._record_failure(exc)
            self._maybe_executed = True
        return None

    def _record_failure(self, exc: errors.CodedError) -> None:
        refused = isinstance(self._last_error, errors.GreetingRefused)
        # After a refused greeting, the backoff reports the address as
        # unreachable; keep the refusal, which names the cause (a wrong key).
        if not refused or not isinstance(exc, errors.AddressUnreachable):
            self._last_error = exc
        self._operator.prefer(getattr(exc, 'leader', '') or '')

    def _remaining_seconds(self) -> float:
        return self._deadline - asyncio.get_running_loop().time()

    def _final_error(self) -> failures.CommandFailed:
        reason = 'no time was given'
        if self._last_error is not None:
            reason = f'last reason {failures.describe(self._last_error)}'
        if self._maybe_executed and _is_change(self._request):
            return failures.ChangeOutcomeUnknown(reason)
        return failures.ControlUnreachable(reason)


def _is_change(request: messages.Request) -> bool:
    if request.member is not None:
        return request.member.action != LIST_MEMBERS
    if request.site_zone is not None:
        return bool(request.site_zone.name)
    return request.change is not None or request.drain is not None
