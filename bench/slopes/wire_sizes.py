"""Count the bytes of messages as they go over a link, frame included.

They are exact, so the errors of these lines only show where a size does not
grow evenly.  The kernel adds its own headers to each packet.
"""

from __future__ import annotations

import json
import secrets
import typing

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import link, wire

from bench.slopes import control, fit, stand

SIZES = (1, 8, 64)


def run() -> list[fit.Slope]:
    """Count all of them."""
    return [
        _heartbeats(),
        _of('report_bytes', 'bytes a report', _reports),
        _of('announcement_bytes', 'bytes', _announcements),
        _of('feed_rest_bytes', 'bytes a renewal', _renewals),
        _of('feed_document_bytes', 'bytes a document', _documents),
        _of('claim_bytes', 'bytes a claim, 4 messages', _claims),
    ]


def _heartbeats() -> fit.Slope:
    beat = wire.pack(wire.Kind.HEARTBEAT)
    echo = wire.pack(wire.Kind.ECHO, link.CLOCK_FORMAT.pack(1))
    each = float(len(beat) + len(echo))
    points = [(float(size), each * size) for size in SIZES]
    return fit.fit('heartbeat_bytes', 'bytes, with its echo', points)


def _of(name: str, unit: str, build: typing.Any) -> fit.Slope:
    points = []
    for size in SIZES:
        sent = b''.join(build(size))
        points.append((float(size), float(len(sent))))
    return fit.fit(name, unit, points)


def _framed(message: typing.Any) -> bytes:
    return wire.pack(wire.Kind.REQUEST, wire.encode(message))


def _reports(size: int) -> list[bytes]:
    return [
        _framed(messages.Request(report=stand.load_report(f'drafts-{number}')))
        for number in range(size)
    ]


def _announcements(size: int) -> list[bytes]:
    return [
        _framed(
            messages.Request(
                announce=stand.announcement(f'drafts-{number}', '10.1.2.3:71'),
            ),
        )
        for number in range(size)
    ]


def _renewals(size: int) -> list[bytes]:
    asked = messages.FeedRequest(
        after=120_000,
        epoch=1_700_000_000_000,
        nodes=[],
        whole=False,
        wait_ms=500,
        confirmed=120_000,
    )
    answer = messages.FeedReply(
        revision=120_000,
        documents=[],
        snapshot=False,
        lease_ms=1900,
        lease_revision=120_000,
        redirect=[],
        ask_whole=False,
        more=False,
        floor=90_000,
        age_ms=80,
    )
    both = [
        _framed(messages.Request(feed=asked)),
        _framed(messages.Reply(feed=answer)),
    ]
    return both * size


def _documents(size: int) -> list[bytes]:
    documents = [
        messages.Document(
            kind='organisation',
            name=f'organisation-{number:06}',
            version=1,
            body=json.dumps(control.organisation(number)),
            revision=120_000 + number,
        )
        for number in range(size)
    ]
    reply = messages.FeedReply(revision=120_000, documents=documents)
    return [_framed(messages.Reply(feed=reply))]


def _claims(size: int) -> list[bytes]:
    sent = []
    for _ in range(size):
        ask = control.claim_request()
        granted = messages.ClaimReply(
            granted=True,
            state=messages.ClaimState.GRANTED,
            fence=90_000,
            claim=secrets.token_bytes(16),
            holder='entry-0',
            handover=ask.handover,
            known=True,
        )
        finish = control.claim_finish(ask, 90_000)
        sent += [
            _framed(messages.Request(claim=ask)),
            _framed(messages.Reply(claim=granted)),
            _framed(messages.Request(claim_finish=finish)),
            _framed(messages.Reply(claim=granted)),
        ]
    return sent
