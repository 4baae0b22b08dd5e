"""Tests of the text output of the commands."""

from __future__ import annotations

import pytest

from currantreach_cli._output import print_payload

OWNERS = [
    {'partition': 'north.0', 'load': {'running': 3, 'waiting': 9}},
    {'partition': 'north.1', 'load': {'running': 0, 'waiting': 0}},
]


@pytest.fixture
def format_lines(capsys):
    """Return a function that formats a payload as lines of text."""

    def format_payload(payload):
        print_payload(payload, 'text')
        return capsys.readouterr().out.splitlines()

    return format_payload


def test_nested_values_are_no_json(format_lines):
    """Guard against nested values printed as JSON of 400 columns."""
    lines = format_lines({'owners': OWNERS})
    assert lines[:4] == [
        'owners:',
        '  - partition: north.0',
        '    load:',
        '      running: 3',
    ]
    assert '{' not in ''.join(lines)


def test_wide_rows_become_blocks(format_lines):
    """Guard against table rows that are wider than a terminal."""
    row = {f'field_{number}': 'x' * 30 for number in range(6)}
    lines = format_lines([row, row])
    assert max(map(len, lines)) <= 120
    assert len(lines) == 12


def test_short_rows_stay_a_table(format_lines):
    """Guard against flat entries that are not printed as a table."""
    lines = format_lines(
        [{'name': 'a', 'count': 1}, {'name': 'b', 'count': 22}],
    )
    assert lines == ['name  count', 'a     1', 'b     22']
