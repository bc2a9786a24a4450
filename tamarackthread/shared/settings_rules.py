"""Check rules between settings, on a body whose types are valid."""

from __future__ import annotations

import collections.abc
import typing

from tamarackthread.shared import addresses, findings, schema_errors

_Body = dict[str, typing.Any]
_Violations = collections.abc.Iterator[schema_errors.Violation]


def check(body: _Body) -> list[schema_errors.Violation]:
    """Return the violations of all rules."""
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
    has_no_control = body.get('site') is None and not body.get(
        'control_addresses'
    )
    if role != 'control' and has_no_control:
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
        for number, member in enumerate(_member_rows(body))
        if 'address' in member
    )


def _distinct(
    entries: collections.abc.Iterable[tuple[schema_errors.Path, str]],
) -> _Violations:
    seen: set[addresses.Address] = set()
    for path, text in entries:
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
                f'{address} is already in this list',
            )
        seen.add(address)


def _own_overlaps(body: _Body) -> _Violations:
    if body.get('role') != 'entry':
        return
    listen = _address(body.get('listen', {}))
    http = _address(body.get('entry', {}))
    if listen is None or http is None or not listen.overlaps(http):
        return
    yield schema_errors.Violation(
        ('entry', 'port'),
        findings.AddressOverlap.code,
        f'callers\' {http} overlaps "listen", which has {listen}',
    )


def _foreign_overlaps(body: _Body) -> _Violations:
    """Yield addresses of other processes that overlap with ``listen``."""
    listen = _address(body.get('listen', {}))
    if listen is None:
        return
    for path, text in _foreign_addresses(body):
        address = addresses.parse(text)
        if address is None or not listen.overlaps(address):
            continue
        yield schema_errors.Violation(
            path,
            findings.AddressOverlap.code,
            f'{address} overlaps "listen" of this process',
        )


def _foreign_addresses(
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


def _member_rows(body: _Body) -> list[_Body]:
    return (body.get('control') or {}).get('members', [])


def _members(body: _Body) -> _Violations:
    seen: set[str] = set()
    for number, member in enumerate(_member_rows(body)):
        path: schema_errors.Path = ('control', 'members', number)
        node = member.get('node', '')
        if node in seen:
            yield schema_errors.Violation(
                (*path, 'node'),
                findings.ValueInvalid.code,
                f'node "{node}" is already in this list',
            )
        seen.update({node} - {''})
        yield from _own_member(body, member, path)


def _own_member(
    body: _Body, member: _Body, path: schema_errors.Path
) -> _Violations:
    """Check that this host's member entry has the port it listens on."""
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
