"""Format the results as a Markdown table."""

from __future__ import annotations

from tools.regression import plan, results

NOT_RUN = 'not run'
HEAD = (
    '| Site | Days with trouble | Mean | Before | Gate | Hunt | Sweep |',
    '| --- | --- | --- | --- | --- | --- | --- |',
)


def markdown(known: list[plan.Site], stored: results.Results, code: str) -> str:
    """Return the table, with missing and outdated results marked."""
    rows = [_row(site, stored, code) for site in known]
    return '\n'.join([*HEAD, *rows, ''])


def _row(site: plan.Site, stored: results.Results, code: str) -> str:
    score = stored.get(site.name, 'score')
    baseline = '-' if site.baseline is None else f'{site.baseline:.3f}'
    cells = [
        site.name,
        _days(score, code),
        NOT_RUN if score is None else str(score.mean),
        baseline,
        _gate(score),
        _rules(stored.get(site.name, 'hunt'), code),
        _rules(stored.get(site.name, 'sweep'), code),
    ]
    return f'| {" | ".join(cells)} |'


def _days(score: results.Result | None, code: str) -> str:
    if score is None:
        return NOT_RUN
    text = ', '.join(
        f'{name} {worth:.3f}' for name, worth in score.worth.items()
    )
    return text if score.code == code else f'{text} (earlier code)'


def _gate(score: results.Result | None) -> str:
    if score is None:
        return NOT_RUN
    text = 'passed' if score.gate else 'FAILED'
    return '; '.join([text, *score.broken])


def _rules(row: results.Result | None, code: str) -> str:
    if row is None:
        return NOT_RUN
    text = '; '.join(row.broken) or 'clean'
    text = f'{len(row.worth)} days: {text}'
    return text if row.code == code else f'{text} (earlier code)'
