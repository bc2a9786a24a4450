"""Fake control host for operator tests, without a replicated log."""

import itertools

from tamarackthread.control import configuration, failures, reads
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import documents, errors, link, wire


class FakeControl(link.Handler):
    """Apply changes to the real state machine.

    With ``leader`` set every request fails with ``NotLeader``; the link is cut
    after each of the first ``answers_to_lose`` changes is applied.
    """

    def __init__(self, leader=''):
        self.machine = configuration.Configuration()
        self.leader = leader
        self.answers_to_lose = 0
        self.confirmed = True
        self.asked = []
        self._indices = itertools.count(1)

    async def on_request(self, peer_link, request):
        self.asked.append(request)
        if self.leader:
            raise failures.NotLeader(leader=self.leader)
        if request.change is not None:
            return self._change(peer_link, request.change)
        if request.documents is not None:
            read = reads.read(self.machine, request.documents)
            return messages.Reply(documents=read)
        if request.status is not None:
            return self._status()
        if request.audit is not None:
            return messages.Reply(
                audit=reads.audit(self.machine, request.audit),
            )
        if request.drain is not None:
            return messages.Reply(done=messages.Done(value=41))
        if request.member is not None:
            raise failures.MemberChangeRefused('one change at a time')
        raise errors.RequestUnsupported

    def _change(self, peer_link, change):
        command = messages.ConfigCommand(
            change=change,
            findings=documents.check(change.kind, change.name, change.body),
        )
        encoded = self.machine.apply(next(self._indices), wire.encode(command))
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            peer_link.close('cut by the test')
        return wire.decode(messages.Reply, encoded)

    def _status(self):
        revision = self.machine.documents.revision
        laggard = messages.NodeState(node='e2', zone='z', revision=0)
        reply = messages.StatusReply(
            revision=revision,
            nodes=2,
            in_force=2 if self.confirmed else 1,
            in_force_everywhere=self.confirmed,
            laggards=[] if self.confirmed else [laggard],
            leader='c1',
            term=1,
        )
        return messages.Reply(status=reply)
