"""Work out what each role uses at the design size."""

from __future__ import annotations

from bench.slopes import costs, design, sheet

ENTRY = 'entry'
AGENT = 'agent'
LEADER = 'control host, leads `config`'
FOLLOWER = 'control host, follows `config`'
OWNER = 'owner of a group'
ROLES = (ENTRY, AGENT, LEADER, FOLLOWER, OWNER)

_Factor = sheet.Factor


def lines(found: sheet.Figures) -> list[sheet.Line]:
    """List the costs of all roles."""
    return [
        *_entry_control(found),
        *_entry_calls(found),
        *_agent_control(found),
        *_agent_calls(found),
        *_leader(found),
        *_follower(found),
        *_owner(found),
    ]


def looked_over(found: sheet.Figures) -> float:
    """Give the microseconds that a change holds up an entry's loop."""
    slope = found.slope('change_cpu_by_targets')
    return found.base('change_cpu_by_targets') + slope * design.REPLICAS


def _entry_control(found: sheet.Figures) -> list[sheet.Line]:
    links = _Factor(design.ENTRY_LINKS, 'links')
    return [
        costs.rest(found, ENTRY, 'entry'),
        *costs.beats(found, ENTRY, links, 'heartbeat_cpu_entry'),
        costs.cpu(
            ENTRY,
            'load reports',
            'subsets',
            links,
            _Factor(design.REPORTS, '/s'),
            costs.micro(found, 'report_cpu_entry'),
        ),
        *costs.following(found, ENTRY, 'entry'),
        costs.cpu(
            ENTRY,
            'its subsets looked over at each change',
            'ranks kept from change to change',
            _Factor(design.CHANGES + design.HOST_CHANGES, 'changes/s'),
            _Factor(looked_over(found), 'us'),
        ),
        costs.kept(
            ENTRY,
            'links to targets',
            'subsets',
            links,
            costs.kibi(found, 'target_memory_entry'),
        ),
    ]


def _entry_calls(found: sheet.Figures) -> list[sheet.Line]:
    calls = _Factor(design.REQUESTS / design.NODES, 'calls/s')
    tokens = _Factor(design.TOKENS / design.NODES, 'tokens/s')
    streams = _Factor(design.STREAMS / design.NODES, 'streams')
    claim = found.slope('keyed_call_cpu_entry') - found.slope('call_cpu_entry')
    carried = 'spread over entries by the platform'
    return [
        costs.call(
            ENTRY, 'calls', carried, calls, costs.micro(found, 'call_cpu_entry')
        ),
        costs.call(
            ENTRY,
            'claims, if every call has a key',
            carried,
            calls,
            _Factor(claim, 'us'),
        ),
        costs.call(
            ENTRY,
            'relayed tokens',
            'raw bytes, no decoding',
            tokens,
            costs.micro(found, 'token_cpu_entry'),
        ),
        costs.held(
            ENTRY,
            'open streams',
            'windows of credit',
            streams,
            costs.kibi(found, 'stream_memory_entry'),
        ),
        costs.held(
            ENTRY,
            "callers' connections",
            '`connection_limit`',
            streams,
            costs.kibi(found, 'connection_memory_entry'),
        ),
    ]


def _agent_control(found: sheet.Figures) -> list[sheet.Line]:
    links = _Factor(design.AGENT_LINKS, 'entries')
    return [
        costs.rest(found, AGENT, 'agent'),
        costs.cpu(
            AGENT,
            'heartbeats and reports to entries',
            'subsets',
            links,
            costs.micro(found, 'entry_link_cpu_agent'),
        ),
        *costs.bytes_of_links(found, AGENT, links),
        *costs.following(found, AGENT, 'agent'),
        costs.kept(
            AGENT,
            'links of entries',
            'subsets',
            links,
            costs.kibi(found, 'link_memory_agent'),
        ),
    ]


def _agent_calls(found: sheet.Figures) -> list[sheet.Line]:
    carried = 'one target each'
    calls = _Factor(design.REQUESTS / design.REPLICAS, 'calls/s')
    tokens = _Factor(design.TOKENS / design.REPLICAS, 'tokens/s')
    streams = _Factor(design.STREAMS / design.REPLICAS, 'streams')
    return [
        costs.call(
            AGENT,
            'calls, all with a key',
            carried,
            calls,
            costs.micro(found, 'keyed_call_cpu_agent'),
        ),
        costs.call(
            AGENT,
            'tokens',
            carried,
            tokens,
            costs.micro(found, 'token_cpu_agent'),
        ),
        costs.held(
            AGENT,
            'open streams',
            'windows of credit',
            streams,
            costs.kibi(found, 'stream_memory_agent'),
        ),
    ]


def _leader(found: sheet.Figures) -> list[sheet.Line]:
    portion = found.base('portion_cpu_leader')
    portion += found.slope('portion_cpu_leader') * design.NODES
    asked = design.REQUESTS / design.NODES
    return [
        costs.rest(found, LEADER, 'leader'),
        *costs.recorded(found, LEADER, 'change_cpu_leader'),
        costs.cpu(
            LEADER,
            'hosts that come and go',
            'written only when something differs',
            _Factor(design.HOST_CHANGES, '/s'),
            costs.micro(found, 'announcement_cpu_leader'),
        ),
        *costs.children(found, LEADER, design.CONTROL_CHILDREN),
        costs.cpu(
            LEADER,
            "renewals of groups' leases",
            'soft state, no write',
            _Factor(design.GROUPS, 'groups'),
            _Factor(design.GROUP_LEASE_RENEWALS, '/s'),
            costs.micro(found, 'lease_cpu_leader'),
        ),
        costs.cpu(
            LEADER,
            'portions of caps, all organisations at all entries',
            'leased portions',
            _Factor(design.NODES, 'entries'),
            _Factor(asked, 'organisations/s'),
            _Factor(portion, 'us'),
        ),
        *costs.idle_groups(found, LEADER),
        *costs.control_memory(found, LEADER, 'leader'),
    ]


def _follower(found: sheet.Figures) -> list[sheet.Line]:
    return [
        costs.rest(found, FOLLOWER, 'follower'),
        *costs.recorded(found, FOLLOWER, 'change_cpu_follower'),
        *costs.children(found, FOLLOWER, design.CONTROL_CHILDREN),
        *costs.idle_groups(found, FOLLOWER),
        *costs.control_memory(found, FOLLOWER, 'follower'),
    ]


def _owner(found: sheet.Figures) -> list[sheet.Line]:
    layers = _Factor(design.LAYERS, 'layers')
    return [
        costs.cpu(
            OWNER,
            f'a plan each {design.PLAN_SECONDS} s, in a thread',
            'one owner for each group',
            layers,
            _Factor(found.slope('plan_cpu_by_layers') * 1000, 'us'),
            _Factor(1 / design.PLAN_SECONDS, '/s'),
        ),
        costs.kept(
            OWNER,
            'two expert maps',
            'one owner for each group',
            layers,
            _Factor(2, 'maps'),
            costs.kibi(found, 'expert_map_memory'),
        ),
    ]
