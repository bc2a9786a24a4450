"""Check what a schema cannot say: how settings fit together.

Each rule takes the plain value, already sound in its types, and yields
violations.
"""

from __future__ import annotations

import collections.abc
import typing

from tamarackthread.shared import addresses, findings, schema_errors

_Body = dict[str, typing.Any]
_Violations = collections.abc.Iterator[schema_errors.Violation]


def check(body: _Body) -> list[schema_errors.Violation]:
    """Return what all rules find."""
    found: list[schema_errors.Violation] = []
    for rule in (
        _sections,
        _hosts,
        _peer_addresses,
        _own_overlaps,
        _foreign_overlaps,
        _members,
        _link_times,
        _control_times,
    ):
        found.extend(rule(body))
    return found


def _sections(body: _Body) -> _Violations:
    role = body.get('role')
    if role is None:
        return
    if role != 'entry' and body.get(role) is None:
        yield schema_errors.Violation(
            (),
            findings.SectionMissing.code,
            f'role "{role}" needs a section "{role}"',
        )
    is_alone = body.get('site') is None and not body.get('control_addresses')
    if role != 'control' and is_alone:
        yield schema_errors.Violation(
            (),
            findings.KeyMissing.code,
            f'role "{role}" needs "control_addresses"',
        )


def _hosts(body: _Body) -> _Violations:
    for path in (
        ('listen', 'host'),
        ('listen', 'advertise_host'),
        ('entry', 'host'),
        ('statsd', 'host'),
    ):
        section = body.get(path[0]) or {}
        host = section.get(path[1])
        if not host or addresses.is_ip(host):
            continue
        yield schema_errors.Violation(
            path,
            findings.AddressInvalid.code,
            f'"{host}" is not an IP number',
        )


def _peer_addresses(body: _Body) -> _Violations:
    yield from _distinct(
        (('control_addresses', number), text)
        for number, text in enumerate(body.get('control_addresses', ()))
        if isinstance(text, str)
    )
    yield from _distinct(
        (('control', 'members', number, 'address'), member['address'])
        for number, member in enumerate(_member_list(body))
        if 'address' in member
    )


def _distinct(
    places: collections.abc.Iterable[tuple[schema_errors.Path, str]],
) -> _Violations:
    seen: set[addresses.Address] = set()
    for path, text in places:
        address = addresses.parse(text)
        if address is None or not address.port:
            yield schema_errors.Violation(
                path,
                findings.AddressInvalid.code,
                f'"{text}" is not an IP number and a port',
            )
            continue
        if address in seen:
            yield schema_errors.Violation(
                path,
                findings.AddressOverlap.code,
                f'{address} stands in this list already',
            )
        seen.add(address)


def _own_overlaps(body: _Body) -> _Violations:
    if body.get('role') != 'entry':
        return
    listen = _address(body.get('listen', {}))
    callers = _address(body.get('entry', {}))
    if listen is None or callers is None or not listen.overlaps(callers):
        return
    yield schema_errors.Violation(
        ('entry', 'port'),
        findings.AddressOverlap.code,
        f'callers\' {callers} overlaps "listen", which has {listen}',
    )


def _foreign_overlaps(body: _Body) -> _Violations:
    """Find addresses of others that this process would take for itself."""
    listen = _address(body.get('listen', {}))
    if listen is None:
        return
    for path, text in _foreign_places(body):
        address = addresses.parse(text)
        if address is None or not listen.overlaps(address):
            continue
        yield schema_errors.Violation(
            path,
            findings.AddressOverlap.code,
            f'{address} is what "listen" has for this process',
        )


def _foreign_places(
    body: _Body,
) -> collections.abc.Iterator[tuple[schema_errors.Path, str]]:
    if body.get('role') in {None, 'control'}:
        return
    for number, text in enumerate(body.get('control_addresses', ())):
        if isinstance(text, str):
            yield ('control_addresses', number), text
    url = (body.get('agent') or {}).get('target_url', '')
    yield ('agent', 'target_url'), url.rpartition('//')[2].rstrip('/')


def _address(section: _Body) -> addresses.Address | None:
    host = section.get('host', '127.0.0.1')
    if not addresses.is_ip(host):
        return None
    return addresses.Address(host, section.get('port', 0))


def _member_list(body: _Body) -> list[_Body]:
    return (body.get('control') or {}).get('members', [])


def _members(body: _Body) -> _Violations:
    seen: set[str] = set()
    for number, member in enumerate(_member_list(body)):
        path: schema_errors.Path = ('control', 'members', number)
        node = member.get('node', '')
        if node in seen:
            yield schema_errors.Violation(
                (*path, 'node'),
                findings.ValueInvalid.code,
                f'node "{node}" stands in this list already',
            )
        seen.update({node} - {''})
        yield from _own_member(body, member, path)


def _own_member(
    body: _Body, member: _Body, path: schema_errors.Path
) -> _Violations:
    """Compare this host's own line with where it really listens."""
    own = addresses.parse(member.get('address', ''))
    port = body.get('listen', {}).get('port', 0)
    node = body.get('node', {}).get('id')
    if node is None or member.get('node') != node or own is None:
        return
    if port and port != own.port:
        yield schema_errors.Violation(
            (*path, 'address'),
            findings.AddressInvalid.code,
            f'this node listens on port {port}, not {own.port}',
        )


def _link_times(body: _Body) -> _Violations:
    link = body.get('link', {})
    timeout = link.get('timeout_seconds', 2.0)
    if timeout <= link.get('heartbeat_seconds', 0.5):
        yield schema_errors.Violation(
            ('link', 'timeout_seconds'),
            findings.TimingInvalid.code,
            '"timeout_seconds" must be more than "heartbeat_seconds"',
        )


def _control_times(body: _Body) -> _Violations:
    timing = (body.get('control') or {}).get('timing', {})
    election = timing.get('election_seconds', 1.0)
    for key, default in (
        ('leader_lease_seconds', 0.8),
        ('heartbeat_seconds', 0.1),
    ):
        if timing.get(key, default) < election:
            continue
        yield schema_errors.Violation(
            ('control', 'timing', key),
            findings.TimingInvalid.code,
            f'"{key}" must be less than "election_seconds" ({election:g})',
        )
