"""Look up the agents of a group's ranks in the target documents."""

from __future__ import annotations

from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import catalogue, documents, findings


class RankAddresses:
    """Map the ranks of one group to the addresses of their agents."""

    def __init__(self, group: str) -> None:
        """Start empty until the first ``update``."""
        self._group = group
        self._addresses: dict[int, str] = {}
        # Parsed documents by revision: parsing thousands of targets at each
        # change would block the event loop.
        self._parsed: dict[str, tuple[int, generated.Target | None]] = {}

    @property
    def addresses(self) -> dict[int, str]:
        """Return the addresses of the announced ranks."""
        return self._addresses

    def update(self, held: catalogue.Catalogue) -> None:
        """Read the addresses; of two targets with one rank, the later document
        wins.
        """
        parsed: dict[str, tuple[int, generated.Target | None]] = {}
        found: dict[int, str] = {}
        for document in held.each(documents.TARGET):
            target = self._target(document)
            parsed[document.name] = (document.revision, target)
            if target is not None and target.group == self._group:
                found[target.rank] = target.address
        self._parsed = parsed
        self._addresses = found

    def _target(self, document: messages.Document) -> generated.Target | None:
        known = self._parsed.get(document.name)
        if known is not None and known[0] == document.revision:
            return known[1]
        try:
            return documents.parse(documents.TARGET, document.body)
        except findings.DocumentUnreadable:
            return None
