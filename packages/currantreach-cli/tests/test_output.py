"""Tests of exit codes."""

from __future__ import annotations

import pytest

from currantreach_cli._client import Reply
from currantreach_cli._output import ExitCode, judge


@pytest.mark.parametrize(
    ('status', 'request_id', 'expected'),
    [
        (401, '', ExitCode.refused),
        (403, '', ExitCode.refused),
        (401, 'north.0.1.a', ExitCode.unknown),
        (504, '', ExitCode.unknown),
    ],
)
def test_refused_key(status, request_id, expected):
    """Guard against a wrong key that looks like a lost outcome."""
    payload = {
        'state': 'unknown',
        'reason': 'key_unknown',
        'request_id': request_id,
    }
    assert judge(Reply(status, payload)) is expected
