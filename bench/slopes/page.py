"""Make the tables of docs/CAPACITY.md from the measured figures.

``python -m bench.slopes.page --write`` fills in the tables and draws the
pictures.  ``--take FILE`` first puts the last line of the output of
``make bench NAME=slopes`` in place of the committed figures.
"""

from __future__ import annotations

import argparse
import json
import pathlib
import re
import sys

from bench.slopes import budgets, design, losses, roles, sheet

PAGE = pathlib.Path('docs/CAPACITY.md')
_BLOCK = re.compile(
    '<!-- table: (?P<name>[a-z_]+) -->\n.*?<!-- end of table -->',
    re.DOTALL,
)
PICTURE = re.compile(r'\((capacity/[a-z]+\.png)\)')
_NEVER = 'quick figures are not kept'


def render(text: str, found: sheet.Figures) -> str:
    """Put fresh tables between the page's markers."""
    tables = _tables(found)

    def fill(block: re.Match[str]) -> str:  # noqa: WPS430
        name = block['name']
        body = tables[name]
        return f'<!-- table: {name} -->\n{body}\n<!-- end of table -->'

    return _BLOCK.sub(fill, text)


def take(printed: str) -> dict[str, object]:
    """Read an experiment's outcome from what it printed."""
    outcome = json.loads(printed.strip().splitlines()[-1])
    if outcome.pop('quick'):
        sys.exit(_NEVER)
    outcome.pop('experiment', None)
    return outcome


def _tables(found: sheet.Figures) -> dict[str, str]:
    lines = roles.lines(found)
    tables = {
        'measured': _measured(found),
        'slopes': _slopes(found),
        'levels': _levels(found),
        'budgets': sheet.table(
            ('Budget', 'Bound', 'Used', 'Fits times', '', 'Counted'),
            [one.row() for one in budgets.budgets(found, lines)],
        ),
        'claims': sheet.table(
            (
                'Calls with a key',
                'Claims/s',
                '3 hosts, busy %',
                f'{design.CONTROL_HOSTS} hosts, 3 voters a shard, busy %',
                'Syncs/s at leaders',
                'Claims kept',
                'MiB in all, each voter',
                'Shards needed',
            ),
            budgets.claim_rows(found),
        ),
        'links': sheet.table(
            (
                'Links',
                'A service',
                'Reports/s each',
                'Beats/s each',
                'Links, % of a core',
                'And rest and relay, %',
                'Links, KB/s',
            ),
            budgets.node_rows(found),
        ),
        'losses': sheet.table(
            (
                'Lost at once',
                'Targets',
                'Entries',
                'Capacity, %',
                'Links that end',
                'Documents',
                "Leader's processor, ms",
                'To each node, KB',
                'Dials of each other entry',
                'Its processor for them, ms',
            ),
            losses.rows(found),
        ),
        'day': sheet.table(
            ('On an ordinary day', 'Number', ''),
            losses.day_rows(found),
        ),
    }
    for role, name in zip(
        roles.ROLES,
        ('entry', 'agent', 'leader', 'follower', 'owner'),
        strict=True,
    ):
        tables[f'role_{name}'] = _role(lines, role)
    return tables


def _measured(found: sheet.Figures) -> str:
    versions = found.data['versions']
    listed = ', '.join(f'{name} {text}' for name, text in versions.items())
    machine = found.data['machine']
    return (
        f'Measured at commit `{found.data["commit"]}` with {listed}, on '
        f'{machine["cores"]} shared cores at a load of {machine["load"]:.0f}.'
    )


def _slopes(found: sheet.Figures) -> str:
    rows = []
    for name, slope in found.data['slopes'].items():
        # What arrives in a window is never quite the same number twice.
        shown = dict.fromkeys(f'{size:.2g}' for size in slope['sizes'])
        sizes = ', '.join(f'{float(size):,.0f}' for size in shown)
        rows.append(
            (
                f'`{name}`',
                sheet.number(slope['value']),
                f'± {slope["error"]:.2g}',
                slope['unit'],
                sizes,
                str(slope['runs']),
            ),
        )
    heads = ('Slope', 'Value', 'Error', 'Unit', 'Sizes', 'Points')
    return sheet.table(heads, rows)


def _levels(found: sheet.Figures) -> str:
    rows = [
        (f'`{name}`', f'{level:g}')
        for name, level in found.data['levels'].items()
    ]
    return sheet.table(('Level', 'Value'), rows)


def _role(lines: list[sheet.Line], role: str) -> str:
    rows = []
    for line in lines:
        if line.role != role:
            continue
        unit = line.resource.value
        rows.append(
            (
                line.cost,
                line.arithmetic(),
                f'{sheet.number(line.amount)} {unit}',
                'control' if line.is_control else 'calls',
                line.mechanism,
            ),
        )
    for resource in sheet.Resource:
        amount = sheet.total(lines, role, resource)
        if amount:
            shown = f'**{sheet.number(amount)} {resource.value}**'
            rows.append(
                (f'**all, {resource.name.lower()}**', '', shown, '', '')
            )
    heads = ('Cost', 'Arithmetic', 'At this size', 'Counts as', 'Carried by')
    return sheet.table(heads, rows)


def main() -> int:
    """Do what the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--write', action='store_true')
    parser.add_argument('--take', type=pathlib.Path)
    arguments = parser.parse_args()
    if arguments.take is not None:
        outcome = take(arguments.take.read_text())
        kept = json.dumps(outcome, indent=1)
        sheet.FIGURES.write_text(f'{kept}\n')
    found = sheet.Figures.load()
    text = PAGE.read_text()
    fresh = render(text, found)
    if arguments.write:
        # Drawing needs a library that checking the page does not.
        from bench.slopes import pictures  # noqa: PLC0415

        PAGE.write_text(fresh)
        pictures.draw(found)
        return 0
    return 0 if fresh == text else 1


if __name__ == '__main__':
    sys.exit(main())
