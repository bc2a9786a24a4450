"""Check references between documents while a change is applied.

Only then is it certain what exists: two changes that were each valid when they
were proposed may not be valid together.
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
    """Return a finding for each reference that a change would break."""
    if not change.body:
        return _check_deletion(documents, change)
    if change.kind != 'service':
        return []
    profile = _referenced_profile(change.body)
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
        if _referenced_profile(service.body) != change.name:
            continue
        text = f'service {service.name} runs under this profile'
        findings.append(
            messages.Finding(place='', code=USED_CODE, text=text),
        )
    return findings


def _referenced_profile(body: str) -> str:
    try:
        parsed = json.loads(body)
    except ValueError:
        return ''
    return parsed.get('profile', '') if isinstance(parsed, dict) else ''
