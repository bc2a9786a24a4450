"""Build the lines that several roles have in common."""

from __future__ import annotations

from bench.slopes import design, sheet

_CPU = sheet.Resource.CPU
_MEMORY = sheet.Resource.MEMORY
_BYTES = sheet.Resource.BYTES
_Factor = sheet.Factor
_Line = sheet.Line
_MICRO = 'us'
_DIRECTIONS = 2


def rest(found: sheet.Figures, role: str, level: str) -> sheet.Line:
    """Count what the process takes without any load."""
    share = found.level(f'{level}_rest_cpu_share')
    return _Line(
        role,
        _CPU,
        'at rest, measured',
        (_Factor(share, 'of a core'),),
        'share',
        'long polls',
    )


def beats(
    found: sheet.Figures,
    role: str,
    links: sheet.Factor,
    slope: str,
) -> list[sheet.Line]:
    """Count the heartbeats of an entry's links."""
    return [
        cpu(
            role,
            'heartbeats of links',
            'subsets',
            links,
            _Factor(design.BEATS, '/s'),
            micro(found, slope),
        ),
        *bytes_of_links(found, role, links),
    ]


def bytes_of_links(
    found: sheet.Figures,
    role: str,
    links: sheet.Factor,
) -> list[sheet.Line]:
    """Count what goes over links at rest."""
    packets = design.REPORTS + 2 * _DIRECTIONS * design.BEATS
    return [
        sent(
            role,
            'heartbeats and echoes, both directions',
            links,
            _Factor(design.BEATS * _DIRECTIONS, '/s'),
            _Factor(found.slope('heartbeat_bytes'), 'B'),
        ),
        sent(
            role,
            'load reports',
            links,
            _Factor(design.REPORTS, '/s'),
            _Factor(found.slope('report_bytes'), 'B'),
        ),
        sent(
            role,
            "the packets' own headers",
            links,
            _Factor(packets, 'packets/s'),
            _Factor(design.PACKET_BYTES, 'B'),
        ),
    ]


def following(
    found: sheet.Figures,
    role: str,
    level: str,
) -> list[sheet.Line]:
    """Count what it takes to follow the configuration, and to relay it."""
    changes = _Factor(design.CHANGES + design.HOST_CHANGES, 'changes/s')
    with_own = _Factor(design.RELAY_CHILDREN + 1, 'nodes')
    return [
        cpu(
            role,
            'changes, for itself',
            'only what changed',
            changes,
            micro(found, 'change_cpu_node'),
        ),
        *children(found, role, design.RELAY_CHILDREN),
        sent(
            role,
            'feed at rest, as a relay',
            with_own,
            _Factor(design.RENEWALS, '/s'),
            _Factor(found.slope('feed_rest_bytes'), 'B'),
        ),
        sent(
            role,
            'changes, as a relay',
            with_own,
            changes,
            _Factor(found.slope('feed_document_bytes'), 'B'),
        ),
        _Line(
            role,
            _MEMORY,
            'at rest, measured',
            (_Factor(found.level(f'{level}_rest_memory_mib'), 'MiB'),),
            'MiB',
            'one process',
        ),
        kept(
            role,
            'organisations',
            'one document each',
            _Factor(design.ORGANISATIONS, ''),
            kibi(found, 'organisation_memory_node'),
        ),
        kept(
            role,
            'targets',
            'one document each',
            _Factor(design.REPLICAS, ''),
            kibi(found, 'target_memory_node'),
        ),
    ]


def recorded(
    found: sheet.Figures,
    role: str,
    slope: str,
) -> list[sheet.Line]:
    """Count the operators' changes at a control host."""
    return [
        cpu(
            role,
            "operators' changes",
            'one replicated log',
            _Factor(design.CHANGES, '/s'),
            micro(found, slope),
        ),
    ]


def children(
    found: sheet.Figures,
    role: str,
    count: int,
) -> list[sheet.Line]:
    """Count the children that pull from a process."""
    children = _Factor(count, 'children')
    return [
        cpu(
            role,
            'children in the tree, at rest',
            'tree of relays',
            children,
            micro(found, 'child_rest_cpu'),
        ),
        cpu(
            role,
            'children in the tree, changes',
            'tree of relays',
            children,
            _Factor(design.CHANGES + design.HOST_CHANGES, '/s'),
            micro(found, 'child_change_cpu'),
        ),
    ]


def idle_groups(found: sheet.Figures, role: str) -> list[sheet.Line]:
    """Count the replicated groups that a control host is a voter of."""
    groups = _Factor(design.SHARDS_LIMIT, 'groups')
    return [
        cpu(
            role,
            'shards of claims at rest, the most that settings allow',
            'nothing: each group beats by itself',
            groups,
            micro(found, 'group_rest_cpu'),
        ),
        _Line(
            role,
            _MEMORY,
            'shards of claims, empty',
            (groups, _Factor(found.slope('group_memory'), 'MiB')),
            'MiB',
            'nothing',
        ),
    ]


def control_memory(
    found: sheet.Figures,
    role: str,
    level: str,
) -> list[sheet.Line]:
    """Count what a control host keeps."""
    documents = design.ORGANISATIONS + design.REPLICAS + design.NODES
    return [
        _Line(
            role,
            _MEMORY,
            'at rest, measured',
            (_Factor(found.level(f'{level}_rest_memory_mib'), 'MiB'),),
            'MiB',
            'one process',
        ),
        kept(
            role,
            'documents, each with an audit record and a kept answer',
            'bounds of audit and history',
            _Factor(documents, ''),
            kibi(found, 'document_memory_control'),
        ),
        kept(
            role,
            "a day's changes in audit and answers",
            'bounds of audit and history',
            _Factor(design.CHANGES_A_DAY, ''),
            kibi(found, 'document_memory_control'),
        ),
        kept(
            role,
            'log records since the snapshot',
            'snapshots',
            _Factor(design.SNAPSHOT_ENTRIES, ''),
            kibi(found, 'log_record_memory'),
        ),
    ]


def micro(found: sheet.Figures, slope: str) -> sheet.Factor:
    """Make a factor in microseconds."""
    return _Factor(found.slope(slope), 'us')


def kibi(found: sheet.Figures, slope: str) -> sheet.Factor:
    """Make a factor in KiB."""
    return _Factor(found.slope(slope), 'KiB')


def cpu(
    role: str,
    cost: str,
    mechanism: str,
    *factors: sheet.Factor,
) -> sheet.Line:
    """Build a line of processor time for control."""
    return _Line(role, _CPU, cost, factors, _MICRO, mechanism)


def call(
    role: str,
    cost: str,
    mechanism: str,
    *factors: sheet.Factor,
) -> sheet.Line:
    """Build a line of processor time for calls."""
    return _Line(role, _CPU, cost, factors, _MICRO, mechanism, False)


def kept(
    role: str,
    cost: str,
    mechanism: str,
    *factors: sheet.Factor,
) -> sheet.Line:
    """Build a line of memory for control."""
    return _Line(role, _MEMORY, cost, factors, 'KiB', mechanism)


def held(
    role: str,
    cost: str,
    mechanism: str,
    *factors: sheet.Factor,
) -> sheet.Line:
    """Build a line of memory for calls."""
    return _Line(role, _MEMORY, cost, factors, 'KiB', mechanism, False)


def sent(role: str, cost: str, *factors: sheet.Factor) -> sheet.Line:
    """Build a line of bytes for control."""
    return _Line(role, _BYTES, cost, factors, 'bytes/s', 'subsets, relays')
