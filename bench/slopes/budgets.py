"""Hold the budgets against what the roles use."""

from __future__ import annotations

import attrs

from bench.slopes import design, roles, sheet

IN_REACH = 'in reach'
TIGHT = '*tight*'
OUT = '**out of reach**'
VOTERS = 3
# Below this much headroom the error of the slopes decides.
_LEAST_HEADROOM = 1.25
_PERCENT = 100
_MICRO = 1e6
_MEBI = 1024 * 1024
_number = sheet.number


@attrs.frozen
class Budget:
    """A bound and what is used of it, in one unit."""

    name: str
    bound: float
    used: float
    unit: str
    how: str

    @property
    def headroom(self) -> float:
        """Give how often the use fits into the bound."""
        return self.bound / self.used

    @property
    def verdict(self) -> str:
        """Say whether the use is within the bound, and how surely."""
        if self.headroom < 1:
            return OUT
        return TIGHT if self.headroom < _LEAST_HEADROOM else IN_REACH

    def row(self) -> list[str]:
        """Write a row of the table."""
        return [
            self.name,
            f'{_number(self.bound)} {self.unit}',
            f'{_number(self.used)} {self.unit}',
            f'{self.headroom:.2g}',
            self.verdict,
            self.how,
        ]


@attrs.frozen
class Claims:
    """Work out how many claims a second a set of control hosts carries.

    A host's processes run on one core.  With all voters in all shards each
    host does a leader's or a follower's work for every claim; with shards
    spread, only the three voters of a shard do.
    """

    leader_us: float
    follower_us: float

    def shared(self, hosts: int) -> float:
        """Give the claims a second when every host votes in every shard."""
        busy = (self.leader_us + (hosts - 1) * self.follower_us) / hosts
        return _MICRO / busy

    def spread(self, hosts: int) -> float:
        """Give the claims a second when each shard has three voters."""
        busy = self.leader_us + (VOTERS - 1) * self.follower_us
        return hosts * _MICRO / busy


def claims(found: sheet.Figures) -> Claims:
    """Read what a claim costs."""
    return Claims(
        found.slope('claim_cpu_shard_leader'),
        found.slope('claim_cpu_shard_follower'),
    )


def budgets(
    found: sheet.Figures,
    lines: list[sheet.Line],
) -> list[Budget]:
    """List all budgets that a figure can be held against."""
    listed = []
    for role, name in ((roles.ENTRY, 'node'), (roles.AGENT, 'agent')):
        listed.extend(_of_node(lines, role, name))
    return [*listed, *_of_calls(found, lines), *_of_control(found, lines)]


def _of_node(
    lines: list[sheet.Line],
    role: str,
    name: str,
) -> list[Budget]:
    control = {
        resource: sheet.total(lines, role, resource, is_control=True)
        for resource in sheet.Resource
    }
    return [
        Budget(
            f'processor of one {name} for control',
            design.BUDGET_CPU,
            control[sheet.Resource.CPU],
            '% of a core',
            'defaults of today',
        ),
        Budget(
            f'memory of one {name}',
            design.BUDGET_MIB,
            sheet.total(lines, role, sheet.Resource.MEMORY),
            'MiB',
            'with its streams',
        ),
        Budget(
            f'traffic of one {name} for control',
            design.BUDGET_KB,
            control[sheet.Resource.BYTES],
            'KB/s',
            'both directions, with headers of packets',
        ),
    ]


def _of_calls(
    found: sheet.Figures,
    lines: list[sheet.Line],
) -> list[Budget]:
    return [
        Budget(
            'tokens a second over one core of each entry',
            design.NODES * _MICRO / found.slope('token_cpu_entry'),
            design.TOKENS,
            'tokens/s',
            'nothing else on that core',
        ),
        Budget(
            'all work of one entry process',
            _PERCENT,
            sheet.total(lines, roles.ENTRY, sheet.Resource.CPU),
            '% of a core',
            'a process uses one core',
        ),
        Budget(
            'all work of one agent process',
            _PERCENT,
            sheet.total(lines, roles.AGENT, sheet.Resource.CPU),
            '% of a core',
            'a process uses one core',
        ),
    ]


def _of_control(
    found: sheet.Figures,
    lines: list[sheet.Line],
) -> list[Budget]:
    known = claims(found)
    hosts = design.CONTROL_HOSTS
    kept = design.SHARDS_LIMIT * design.SHARD_CLAIMS
    return [
        Budget(
            'claims a second, today: all voters in all shards, 3 hosts',
            known.shared(VOTERS),
            design.REQUESTS,
            'claims/s',
            'if every call has a key',
        ),
        Budget(
            f'claims a second, {hosts} hosts, all voters in all shards',
            known.shared(hosts),
            design.REQUESTS,
            'claims/s',
            'if every call has a key',
        ),
        Budget(
            f'claims a second, {hosts} hosts, {VOTERS} voters a shard',
            known.spread(hosts),
            design.REQUESTS,
            'claims/s',
            'set by hand, not tried; if every call has a key',
        ),
        Budget(
            f'claims kept, {design.SHARDS_LIMIT} shards',
            kept,
            design.REQUESTS * design.KEEP_SECONDS,
            'claims',
            f'kept {design.KEEP_SECONDS} s, if every call has a key',
        ),
        Budget(
            'processor of the leader of `config`',
            _PERCENT,
            sheet.total(lines, roles.LEADER, sheet.Resource.CPU),
            '% of a core',
            'one process',
        ),
        Budget(
            'time that one change holds up an entry',
            design.TOKEN_GAP_SECONDS * 1000,
            roles.looked_over(found) / 1000,
            'ms',
            'of the gap between tokens; with the search of the subsets',
        ),
        Budget(
            'a change in force everywhere',
            design.IN_FORCE_SECONDS,
            design.LEASE_SECONDS,
            's',
            'bound by the lease, however the network is cut',
        ),
    ]


def claim_rows(found: sheet.Figures) -> list[tuple[str, ...]]:
    """Write what claims need at the design size, by their share."""
    known = claims(found)
    rows = []
    for share in (0.01, 0.02, 0.1, 0.5, 1):
        rate = design.REQUESTS * share
        kept = rate * design.KEEP_SECONDS
        memory = kept * found.slope('claim_memory') / _MEBI
        busy = rate * (known.leader_us + 2 * known.follower_us) / _MICRO
        rows.append(
            (
                f'{share:.0%}',
                _number(rate),
                _number(rate / known.shared(VOTERS) * _PERCENT),
                _number(busy / design.CONTROL_HOSTS * _PERCENT),
                _number(rate * found.slope('claim_syncs_64_abreast')),
                _number(kept),
                _number(memory),
                _number(kept / design.SHARD_CLAIMS),
            ),
        )
    return rows


def node_rows(found: sheet.Figures) -> list[list[str]]:
    """Write what links cost an entry when they are fewer or slower."""
    rows = []
    # An entry at rest that is a relay too has this before its first link.
    rest = 100 * found.level('entry_rest_cpu_share')
    rest += design.RELAY_CHILDREN * found.slope('child_rest_cpu') / 1e4
    for links, reports, beats in (
        (design.ENTRY_LINKS, design.REPORTS, design.BEATS),
        (design.ENTRY_LINKS, 1, 0.5),
        (120, design.REPORTS, design.BEATS),
        (120, 1, 0.5),
        (45, 1, 0.5),
        (45, 0.5, 0.2),
    ):
        cpu = links * (
            beats * found.slope('heartbeat_cpu_entry')
            + reports * found.slope('report_cpu_entry')
        )
        sent = links * (
            2 * beats * found.slope('heartbeat_bytes')
            + reports * found.slope('report_bytes')
            + (reports + 4 * beats) * design.PACKET_BYTES
        )
        rows.append(
            [
                _number(links),
                _number(links / design.MODELS),
                _number(reports),
                _number(beats),
                _number(cpu / 1e4),
                _number(cpu / 1e4 + rest),
                _number(sent / 1000),
            ],
        )
    return rows
