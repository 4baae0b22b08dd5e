"""Tests of request ids."""

from __future__ import annotations

import pytest

from currantreach_types import RequestId, new_request_id
from currantreach_types.errors import MalformedMessageError


def test_round_trip():
    """Guard against an id that cannot be routed back to its partition."""
    request_id = new_request_id('north-1', 2, 17)

    assert RequestId.parse(str(request_id)) == request_id


@pytest.mark.parametrize(
    'text',
    ['', 'a.b.c.d', 'north.1.2', 'north.1.2.x\n', 'north.-1.2.x'],
)
def test_malformed_id_is_rejected(text):
    """Guard against malformed ids reaching the owner."""
    with pytest.raises(MalformedMessageError):
        RequestId.parse(text)
