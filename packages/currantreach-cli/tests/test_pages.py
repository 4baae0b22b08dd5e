"""Test of the page for operators."""

from __future__ import annotations

from pathlib import Path

from currantreach_types.refusals import REFUSALS

_PAGE = Path(__file__).parents[3] / 'docs' / 'operators.md'


def test_each_refusal_is_explained():
    """Guard against a refusal that operators cannot look up."""
    page = _PAGE.read_text()
    missing = {
        refusal.reason
        for refusal in REFUSALS
        if f'| `{refusal.reason}` |' not in page
    }
    assert not missing
