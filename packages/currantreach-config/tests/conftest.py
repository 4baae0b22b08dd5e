"""Fixtures of the configuration tests."""

from __future__ import annotations

import pytest

from currantreach_config import KeyRole, new_key


@pytest.fixture
def operator_key():
    """Return a token and record of an operator key."""
    return new_key('', KeyRole.operator)


@pytest.fixture
def caller_key():
    """Return a token and record of a key of team ``tine``."""
    return new_key('tine', KeyRole.caller)


@pytest.fixture
def base(operator_key, caller_key):
    """Return a correct base file as plain JSON values."""
    limit = {
        'slot_count': 64,
        'cpu_milli': 512000,
        'memory_mib': 1048576,
        'connection_count': 512,
    }
    return {
        'teams': [
            {'name': 'tine', 'share': 3, 'upper_limit': dict(limit)},
            {'name': 'feed', 'share': 1.5, 'upper_limit': dict(limit)},
        ],
        'queues': [
            {'name': 'scan', 'policy': 'batch', 'teams': ['tine']},
            {
                'name': 'public',
                'policy': 'prompt',
                'is_open': True,
                'open_team': 'feed',
            },
        ],
        'keys': [
            {
                name: getattr(key, name)
                for name in key.__slots__
                if name[0] != '_'
            }
            for _, key in (operator_key, caller_key)
        ],
    }
