"""Tests of keys and changes of the configuration record."""

from __future__ import annotations

import json

import attrs
import pytest

from currantreach_config import (
    KeyRing,
    KeyRole,
    check_documents,
    grant_key,
    initial_record,
    merge_change,
    new_key,
    withdraw_key,
)
from currantreach_types.errors import ConfigurationError
from currantreach_types.refusals import (
    KEY_MISSING,
    KEY_UNKNOWN,
    KEY_WITHDRAWN,
)


@pytest.fixture
def cell(base):
    """Return a checked cell with an operator key and a caller key."""
    return check_documents(json.dumps({**base, 'site': 'north'}).encode())


@pytest.fixture
def record(cell):
    """Return the first record of the cell."""
    return initial_record(cell, change_id='first', author='')


def test_token_matches_only_its_own_key(record, caller_key, operator_key):
    """Guard against a token that is accepted for another key."""
    token, key = caller_key
    ring = KeyRing(record)
    other_secret = operator_key[0].split('_', 2)[2]

    assert ring.authenticate(token) == key
    assert ring.authenticate(None) is KEY_MISSING
    assert ring.authenticate('') is KEY_MISSING
    for wrong in (
        f'crk_{key.key_id}_{other_secret}',
        f'{token}x',
        f'{token}\n',
        token[:-1],
        token.upper(),
        'crk__',
        'Bearer',
        '\udcff',
        token + 'a' * 100000,
    ):
        assert ring.authenticate(wrong) is KEY_UNKNOWN
    assert token.split('_', 2)[2] not in repr(record)


def test_withdrawn_key_stays_withdrawn(record, cell, caller_key):
    """Guard against an older base file that restores a withdrawn key."""
    token, key = caller_key
    withdrawn = withdraw_key(record, key.key_id, change_id='w', author='op')
    applied = merge_change(withdrawn, cell, change_id='a', author='op')

    assert applied.revision == 3
    assert KeyRing(applied).authenticate(token) is KEY_WITHDRAWN
    assert key not in applied.cell.keys
    with pytest.raises(ConfigurationError, match='withdrawn'):
        grant_key(applied, key, change_id='g', author='op')


def test_last_operator_key_stays(record, cell, operator_key):
    """Guard against a change after which nobody can administer the cell."""
    key = operator_key[1]
    with pytest.raises(ConfigurationError, match='last operator'):
        withdraw_key(record, key.key_id, change_id='w', author='')
    with pytest.raises(ConfigurationError, match='last operator'):
        merge_change(
            record,
            attrs.evolve(cell, keys=()),
            change_id='a',
            author='',
        )


def test_changed_secret_of_a_granted_id(record, cell):
    """Guard against a base file that replaces the secret of a granted key."""
    key = new_key('feed', KeyRole.caller)[1]
    granted = grant_key(record, key, change_id='g', author='')
    replaced = attrs.evolve(key, hash_hex='0' * 64)
    with pytest.raises(ConfigurationError, match='another secret'):
        merge_change(
            granted,
            attrs.evolve(cell, keys=(*cell.keys, replaced)),
            change_id='a',
            author='',
        )


def test_key_of_a_removed_team(record, cell, caller_key):
    """Guard against a granted key that outlives its team."""
    token, key = new_key('feed', KeyRole.caller)
    granted = grant_key(record, key, change_id='g', author='')
    smaller = attrs.evolve(cell, teams=cell.teams[:1])
    applied = merge_change(granted, smaller, change_id='a', author='')

    assert KeyRing(applied).authenticate(token) is KEY_UNKNOWN
    assert KeyRing(applied).authenticate(caller_key[0]) == caller_key[1]
