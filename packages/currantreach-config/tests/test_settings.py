"""Tests of the settings of a daemon."""

from __future__ import annotations

import json

import pytest

from currantreach_config import load_settings, read_peer_secret
from currantreach_types.errors import ConfigurationError


@pytest.fixture
def plain():
    """Return correct settings as plain JSON values."""
    return {
        'daemon_id': 'north-1',
        'failure_domain': 'north',
        'http_host': '127.0.0.1',
        'http_port': 8080,
        'peer_host': '::1',
        'peer_port': 0,
        'domains': ['north', 'south'],
        'store_url': 'http://127.0.0.1:7000',
        'host_list_url': 'http://127.0.0.1:7001',
        'peers': [
            {
                'daemon_id': 'south-1',
                'failure_domain': 'south',
                'peer_address': '127.0.0.1:9001',
                'http_url': 'http://127.0.0.1:8081',
            },
        ],
        'peer_secret_file': 'secret',
    }


@pytest.fixture
def load(tmp_path):
    """Return a function that loads plain values as a settings file."""

    def _load(plain):
        path = tmp_path / 'settings.json'
        path.write_text(json.dumps(plain))
        return load_settings(path)

    return _load


def test_secret_is_read_beside_the_settings(load, plain, tmp_path):
    """Guard against a secret path relative to the working directory."""
    (tmp_path / 'secret').write_text('0123456789abcdef\n')
    assert read_peer_secret(load(plain)) == b'0123456789abcdef'

    (tmp_path / 'secret').write_text('short\n')
    with pytest.raises(ConfigurationError, match='too short'):
        read_peer_secret(load(plain))


def test_secret_is_not_shown(load, plain):
    """Guard against a secret in a log line or error message."""
    plain.pop('peer_secret_file')
    assert 'open-sesame-open' not in repr(
        load({**plain, 'peer_secret': 'open-sesame-open'}),
    )
    with pytest.raises(ConfigurationError) as caught:
        load({**plain, 'peer_secret': 'sesame'})
    assert 'sesame' not in str(caught.value)


@pytest.mark.parametrize(
    ('changes', 'paths'),
    [
        (
            {'http_port': 70000, 'domains': 'north', 'task_lease_s': 0},
            ['http_port', 'domains', 'task_lease_s'],
        ),
        (
            {
                'failure_domain': 'west',
                'http_host': 'localhost',
                'peer_secret_file': '',
                'session_ttl_s': 1.5,
                'task_lease_s': 4,
                'peer_timeout_s': 0.5,
                'daemon_id': 'south-1',
            },
            [
                'failure_domain',
                'http_host',
                'peer_secret_file',
                'session_ttl_s',
                'task_lease_s',
                'peer_timeout_s',
                'peers[0].daemon_id',
            ],
        ),
    ],
)
def test_all_faults_on_one_line(load, plain, changes, paths):
    """Guard against a daemon that starts with invalid settings."""
    with pytest.raises(ConfigurationError) as caught:
        load({**plain, **changes})
    message = str(caught.value)
    assert '\n' not in message
    assert all(f'$.{path}' in message for path in paths)
