"""Tests of loading, merging and checking configuration files."""

from __future__ import annotations

import json

import pytest

from currantreach_config import (
    ConfigurationFaultsError,
    check_documents,
    check_files,
    diff,
)


def _faults(base, *overlays):
    documents = [
        (f'site{index}', json.dumps(over).encode())
        for index, over in enumerate(overlays)
    ]
    body = base if isinstance(base, bytes) else json.dumps(base).encode()
    with pytest.raises(ConfigurationFaultsError) as caught:
        check_documents(body, documents)
    return {(fault.file_name, fault.path) for fault in caught.value.faults}


def test_overlay_overrides_only_what_differs(base, tmp_path):
    """Guard against an overlay that resets fields it does not name."""
    overlay = {
        'site': 'north',
        'teams': [{'name': 'feed', 'upper_limit': {'slot_count': 8}}],
        'queues': [{'name': 'scan', 'queue_limit': 5}],
    }
    (tmp_path / 'base.json').write_text(json.dumps(base))
    (tmp_path / 'north.json').write_text(json.dumps(overlay))

    plain = check_documents(json.dumps({**base, 'site': 'north'}).encode())
    cell = check_files(tmp_path / 'base.json', [tmp_path / 'north.json'])

    changes = [
        (change.path, change.old, change.new) for change in diff(plain, cell)
    ]
    assert changes == [
        ('queues[scan].queue_limit', 10000, 5),
        ('teams[feed].upper_limit.slot_count', 64, 8),
    ]


def test_all_faults_are_reported_at_once(base):
    """Guard against a check that stops at the first fault."""
    base['teams'][0]['share'] = 0
    base['teams'][1]['upper_limit']['memory_mib'] = -1
    base['teams'].append({**base['teams'][1], 'colour': 'red', 'share': True})
    base['queues'][0].update(policy='fifo', teams=['tine', 'ghost'])
    base['queues'][1]['open_team'] = ''
    base['limits'] = {'retry_budget_ratio': 10**400}
    overlay = {
        'keys': [],
        'teams': [
            {'name': 'feed', 'upper_limit': {'slot_count': 65}},
            {'name': 'extra'},
        ],
        'queues': [{'name': 'scan', 'is_open': True}],
    }

    assert _faults(base, overlay) == {
        ('base', '$.site'),
        ('base', '$.teams[0].share'),
        ('base', '$.teams[1].upper_limit.memory_mib'),
        ('base', '$.teams[2].upper_limit.memory_mib'),
        ('base', '$.teams[2].name'),
        ('base', '$.teams[2].colour'),
        ('base', '$.teams[2].share'),
        ('base', '$.queues[0].policy'),
        ('base', '$.queues[0].teams[1]'),
        ('base', '$.queues[1].open_team'),
        ('base', '$.limits.retry_budget_ratio'),
        ('site0', '$.keys'),
        ('site0', '$.teams[0].upper_limit.slot_count'),
        ('site0', '$.teams[1].name'),
        ('site0', '$.queues[0].is_open'),
    }


@pytest.mark.parametrize(
    'body',
    [
        b'',
        b'{"teams": [',
        b'[]',
        b'null',
        b'\xff{}',
        b'{"teams": [], "teams": []}',
        b'{"site": NaN}',
        b'[' * 100000,
        b' ' * 1000001,
    ],
)
def test_unreadable_document(body):
    """Guard against an invalid file that passes or raises another error."""
    assert len(_faults(body)) >= 1
    with pytest.raises(ConfigurationFaultsError, match='b.json'):
        check_documents(b'{"teams": [], "queues": []}', [('b.json', body)])


def test_missing_file_is_a_fault(tmp_path):
    """Guard against a traceback for a missing file."""
    with pytest.raises(ConfigurationFaultsError, match='cannot be read'):
        check_files(tmp_path / 'absent.json', [])
