"""Find the agents of a group's ranks in the target documents."""

from __future__ import annotations

from tamarackthread.generated import documents as generated
from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import catalogue, documents, findings


class RankAddresses:
    """Hold the addresses of one group's agents by rank."""

    def __init__(self, group: str) -> None:
        """Know nobody before ``follow``."""
        self._group = group
        self._addresses: dict[int, str] = {}
        # Reading each body anew at each change would hold the event loop
        # where there are thousands of targets.
        self._read: dict[str, tuple[int, generated.Target | None]] = {}

    @property
    def addresses(self) -> dict[int, str]:
        """Give the addresses of the ranks that are announced."""
        return self._addresses

    def update(self, held: catalogue.Catalogue) -> None:
        """Take the addresses from the documents as they are now.

        Of two targets that claim one rank, the later announcement counts.
        """
        read: dict[str, tuple[int, generated.Target | None]] = {}
        found: dict[int, str] = {}
        for document in held.each(documents.TARGET):
            target = self._target(document)
            read[document.name] = (document.revision, target)
            if target is not None and target.group == self._group:
                found[target.rank] = target.address
        self._read = read
        self._addresses = found

    def _target(self, document: messages.Document) -> generated.Target | None:
        known = self._read.get(document.name)
        if known is not None and known[0] == document.revision:
            return known[1]
        try:
            return documents.parse(documents.TARGET, document.body)
        except findings.DocumentUnreadable:
            return None
