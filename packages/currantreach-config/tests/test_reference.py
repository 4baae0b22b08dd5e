"""Test of the committed field reference."""

from __future__ import annotations

from pathlib import Path

from currantreach_config.reference import reference

_PAGE = Path(__file__).parents[3] / 'docs' / 'configuration.md'


def test_page_matches_the_code():
    """Guard against a page that describes fields of an earlier version."""
    assert _PAGE.read_text() == reference()
