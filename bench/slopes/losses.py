"""Count what moves when hosts, racks, zones and regions are lost."""

from __future__ import annotations

import attrs

from bench.slopes import design, sheet

# A rack of the design size is assumed to hold so many hosts with a target
# each and so many with an entry.
RACK_TARGETS = 16
RACK_ENTRIES = 2
_MILLI = 1000
_number = sheet.number


@attrs.frozen
class Loss:
    """A part of the system that goes at once."""

    name: str
    targets: float
    entries: float

    @property
    def documents(self) -> float:
        """Count the documents that are deleted, or written at a return."""
        return self.targets + self.entries

    @property
    def links(self) -> float:
        """Count the links that end, those within the part once."""
        within = self.targets * self.entries / design.NODES
        from_targets = self.targets * design.AGENT_LINKS
        from_entries = self.entries * design.ENTRY_LINKS
        return from_targets + from_entries - within * design.AGENT_LINKS

    @property
    def share(self) -> float:
        """Give the share of targets that is gone."""
        return self.targets / design.REPLICAS


PARTS = (
    Loss('a host with a target', 1, 0),
    Loss('a host with an entry', 0, 1),
    Loss('a rack', RACK_TARGETS, RACK_ENTRIES),
    Loss(
        'an availability zone',
        design.REPLICAS / design.ZONES,
        design.NODES / design.ZONES,
    ),
    Loss(
        'a region',
        design.REPLICAS / design.REGIONS,
        design.NODES / design.REGIONS,
    ),
)


def rows(found: sheet.Figures) -> list[list[str]]:
    """Write a row for each part."""
    return [_row(found, lost) for lost in PARTS]


def _row(found: sheet.Figures, lost: Loss) -> list[str]:
    each = found.slope('announcement_cpu_leader') / _MILLI
    left = design.NODES - lost.entries
    # An entry that remains makes up for the targets of lost entries and for
    # its own share of lost targets.
    dials = lost.links / left
    ranking = lost.entries * design.REPLICAS * found.slope('subset_join_cpu')
    greeting = dials * found.slope('dial_cpu_agent')
    sent = lost.documents * found.slope('feed_document_bytes')
    return [
        lost.name,
        _number(lost.targets),
        _number(lost.entries),
        _number(lost.share * 100),
        _number(lost.links),
        _number(lost.documents),
        _number(lost.documents * each),
        _number(sent / _MILLI),
        _number(dials),
        _number((ranking + greeting) / _MILLI),
    ]


def day_rows(found: sheet.Figures) -> list[tuple[str, ...]]:
    """Write what an ordinary day's losses and replacements come to."""
    hosts = design.HOSTS_LOST_A_DAY + design.HOSTS_REPLACED_A_DAY
    changes = hosts * design.CHANGES_A_HOST
    cpu = changes * found.slope('announcement_cpu_leader') / 1e6
    sent = changes * found.slope('feed_document_bytes') / _MILLI
    return [
        ('hosts lost or replaced', _number(hosts), ''),
        (
            'changes that follow',
            _number(changes),
            f'beside {_number(design.CHANGES_A_DAY)} of operators',
        ),
        ('processor of the leader, s a day', _number(cpu), ''),
        ('bytes to each node, KB a day', _number(sent), ''),
        (
            'links made anew',
            _number(hosts * design.AGENT_LINKS),
            f'of {_number(design.AGENT_LINKS * design.REPLICAS)}',
        ),
    ]
