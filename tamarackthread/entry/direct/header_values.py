"""Parse the values of request headers."""

from __future__ import annotations


def parse_number(text: str) -> float | None:
    """Return a number, ``None`` if the text is none."""
    try:
        return float(text)
    except ValueError:
        return None


def hostname(text: str) -> str:
    """Return the name in a Host header, in lower case and without a port."""
    return text.partition(':')[0].lower()


def bearer_token(credential: str, scheme: str) -> str:
    """Return the token after ``scheme``, empty for another scheme."""
    if not credential.startswith(scheme):
        return ''
    return credential.removeprefix(scheme).strip()
