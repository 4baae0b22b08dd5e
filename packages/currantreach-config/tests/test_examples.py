"""Tests of the example configurations."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from currantreach_config import (
    KeyRing,
    KeyRole,
    check_files,
    initial_record,
    load_settings,
    read_peer_secret,
)

_EXAMPLES = Path(__file__).parents[3] / 'examples'


@pytest.mark.parametrize(
    ('site', 'domain_count'),
    [('agency', 3), ('prunelle', 4)],
)
def test_example_is_complete(site, domain_count):
    """Guard against an example that daemons reject or whose keys fail."""
    folder = _EXAMPLES / site
    cell = check_files(folder / 'base.json', [folder / 'overlay.json'])
    ring = KeyRing(initial_record(cell, change_id='demo', author=''))
    demo = json.loads((folder / 'demo-keys.json').read_text())

    assert set(demo['teams']) == {team.name for team in cell.teams}
    assert len(cell.teams) == 6
    for team, token in demo['teams'].items():
        assert ring.authenticate(token).team == team
    assert ring.authenticate(demo['operator']).role is KeyRole.operator
    assert {queue.policy for queue in cell.queues} == {
        'prompt',
        'batch',
        'gang',
        'service',
    }
    assert any(queue.is_open for queue in cell.queues)
    loaded = [load_settings(path) for path in folder.glob('settings-*.json')]
    assert {daemon.failure_domain for daemon in loaded} == set(
        loaded[0].domains,
    )
    assert len(loaded) == domain_count
    assert all(read_peer_secret(daemon) for daemon in loaded)
