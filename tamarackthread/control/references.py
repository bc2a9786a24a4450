"""Check that documents name only documents that exist.

This runs as part of applying a change, on every control host alike, because
only there it is certain what exists: two changes that were each right when
they were checked may not be right together.
"""

from __future__ import annotations

import json

from tamarackthread.generated.messages import ttypes as messages
from tamarackthread.shared import catalogue

MISSING_CODE = 'reference-missing'
USED_CODE = 'reference-used'
UNKNOWN_CODE = 'document-unknown'


def check(
    documents: catalogue.Catalogue,
    change: messages.ChangeRequest,
) -> list[messages.Finding]:
    """List what a change would leave pointing nowhere."""
    if not change.body:
        return _check_deletion(documents, change)
    if change.kind != 'service':
        return []
    profile = _profile_of(change.body)
    if not profile or documents.get('profile', profile) is not None:
        return []
    text = f'profile {profile} does not exist'
    return [messages.Finding(place='profile', code=MISSING_CODE, text=text)]


def _check_deletion(
    documents: catalogue.Catalogue,
    change: messages.ChangeRequest,
) -> list[messages.Finding]:
    if documents.get(change.kind, change.name) is None:
        text = f'{change.kind} {change.name} does not exist'
        return [messages.Finding(place='', code=UNKNOWN_CODE, text=text)]
    if change.kind != 'profile':
        return []
    findings = []
    for service in documents.each('service'):
        if _profile_of(service.body) != change.name:
            continue
        text = f'service {service.name} runs under this profile'
        findings.append(
            messages.Finding(place='', code=USED_CODE, text=text),
        )
    return findings


def _profile_of(body: str) -> str:
    try:
        found = json.loads(body)
    except ValueError:
        return ''
    return found.get('profile', '') if isinstance(found, dict) else ''
