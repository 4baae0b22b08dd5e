"""Tests of decoding, with invalid input in particular."""

from __future__ import annotations

import attrs
import pytest

from currantreach_adapter._config import decode_config, decode_report
from currantreach_adapter._jobs import (
    decode_job_body,
    is_job_id,
    parse_task_name,
    task_name,
)
from currantreach_adapter._settings import read_settings
from currantreach_jobs import TaskKey
from currantreach_types.errors import ConfigurationError, MalformedMessageError

JOB_ID = '5c0e7a21d94b36f8'
REPORT = {
    'service': 'passes',
    'address': '10.0.0.1:80',
    'zone': 'east',
    'state': 'ready',
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'sequence': 4,
    'born': 17,
}
SETTINGS = """
nodeName = "edge-1"
ip = "10.1.0.17"
zone = "east"
internalPorts = [7420, 7435]
recommendation = "10.200.1.9:8182"
unknownField = 3
[listenAddrs]
frontend = "10.1.0.17:8183"
ready = "10.1.0.17:8184"
[platform]
address = "10.200.1.7:8182"
[bounds]
holdMaxMs = 4000
gangWaitMs = 3000
graceS = 6
status_s = 120
"""


@pytest.mark.parametrize(
    ('text', 'is_id'),
    [
        (JOB_ID, True),
        (JOB_ID[:15], False),
        (f'{JOB_ID}0', False),
        ('g' * 16, False),
        ('', False),
    ],
)
def test_job_ids_have_sixteen_hex_digits(text, is_id):
    """Another path below a queue must not be taken for a job."""
    assert is_job_id(text) is is_id


def test_decodes_a_job(queue, encode):
    """Guard against mapping fields with misleading names to wrong ones."""
    body = encode(
        {
            'spec': 'text',
            'steps': [
                {'count': 4, 'cpu': 500, 'memMb': 256, 'affinity': 'r1-3'},
                {
                    'count': 20,
                    'cpu': 2000,
                    'memMb': 1024,
                    'estimateMs': 7000,
                    'after': [0],
                    'gang': True,
                    'antiAffinity': 2,
                    'constraints': 'a',
                    'fillCount': True,
                },
            ],
        },
    )
    first, second = decode_job_body(body, JOB_ID, queue, 'orchard').steps
    assert first.data_rack == 'r1-3'
    assert second.after == (0,)
    assert second.is_gang
    assert second.is_filling
    assert second.max_per_worker == 2
    assert second.required_label == 'a'
    assert second.estimate_s == 7


@pytest.mark.parametrize(
    'fields',
    [
        [],
        {},
        {'spec': 'x', 'steps': []},
        {'spec': 'x', 'steps': [{'count': 0}]},
        {'spec': 'x', 'steps': [{'count': 1000000}]},
        {'spec': 'x', 'steps': [{'count': -1}]},
        {'spec': 'x', 'steps': [{'count': 'many'}]},
        {'spec': 'x', 'steps': [{'count': 1, 'after': [0]}]},
        {'spec': 'x', 'steps': [{'count': 1, 'after': [1]}, {'count': 1}]},
        {'spec': 'x', 'steps': [{'count': 1, 'after': 'all'}]},
        {'spec': 'x' * 5000, 'steps': [{'count': 1}]},
        {'spec': 7, 'steps': [{'count': 1}]},
        {'spec': 'x', 'steps': [{'count': 9}], 'repeatCount': 100000},
    ],
)
def test_rejects_invalid_jobs(queue, encode, fields):
    """A job that cannot be run must not be accepted."""
    with pytest.raises(MalformedMessageError):
        decode_job_body(encode(fields), JOB_ID, queue, 'orchard')


@pytest.mark.parametrize('body', [b'', b'\xff\xfe', b'{', b'[' * 100000])
def test_rejects_bodies_that_are_not_json(queue, body):
    """Invalid JSON must not raise untyped errors in the request handler."""
    with pytest.raises(MalformedMessageError):
        decode_job_body(body, JOB_ID, queue, 'orchard')


def test_task_names_round_trip():
    """A task name must identify the same task after parsing."""
    key = TaskKey(JOB_ID, 0, 1, 17)
    assert parse_task_name(task_name(key)) == key
    with pytest.raises(MalformedMessageError):
        parse_task_name('something.else')


def test_decodes_a_configuration(config_fields, encode):
    """Guard against misread units, keys and limits."""
    config = decode_config(encode(config_fields))
    queue = config.queue_at('cell.example', f'/plans/{JOB_ID}')
    assert queue.advice.fixed_s == pytest.approx(0.816)
    assert queue.target_s == 1
    assert config.team_of_key['k2'] == 'orchard'
    assert config.teams['orchard'].limit.memory_mib == 4000
    assert config.http.body_bytes == 1000


def test_longest_prefix_selects_the_queue(config_fields, encode):
    """Jobs of a queue must not go to another one with a shorter prefix."""
    nested = {**config_fields['routes'][0], 'name': 'deep'}
    nested['prefix'] = '/plans/deep/'
    config_fields['routes'].append(nested)
    config = decode_config(encode(config_fields))
    assert config.queue_at('cell.example', '/plans/deep/x').name == 'deep'
    assert config.queue_at('cell.example', '/plans/x').name == 'plans'
    assert config.queue_at('other.example', '/plans/x') is None


@pytest.mark.parametrize('missing', ['routes'])
def test_rejects_invalid_configurations(config_fields, encode, missing):
    """An invalid version must not replace the last valid one."""
    config_fields.pop(missing)
    with pytest.raises(MalformedMessageError):
        decode_config(encode(config_fields))


def test_decodes_a_report(encode):
    """Guard against misread capacity, labels and start times."""
    report = decode_report('i-1', encode(REPORT))
    assert report.room.cpu_milli == 16000
    assert report.labels == {'a', 'r1-3'}
    assert report.born_unix_ms == 17


@pytest.mark.parametrize(
    ('name', 'found'),
    [
        ('state', 'resting'),
        ('state', None),
        ('service', 4),
        ('address', None),
        ('capacity', []),
        ('labels', 'a'),
        ('capacity', {'cpu': 'all'}),
    ],
)
def test_rejects_entries_that_are_no_reports(encode, name, found):
    """An entry of another writer must not be used as a worker."""
    with pytest.raises(MalformedMessageError):
        decode_report('i-1', encode({**REPORT, name: found}))


def test_reads_settings(tmp_path):
    """Unknown fields are ignored, and the lease is within its limit."""
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS)
    settings = read_settings(path)
    assert settings.link_port == 7420
    assert settings.job_settings().run_lease_s == pytest.approx(3.8)
    assert settings.job_settings().lease_limit_s == pytest.approx(4)
    assert attrs.asdict(settings)['store_address'] == '10.200.1.7:8182'


def test_reads_the_bound_on_evacuations(tmp_path):
    """Without the bound, the age of the view must not matter."""
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS)
    assert not read_settings(path).job_settings().evacuation_bound_s
    path.write_text(
        SETTINGS.replace('graceS', 'evacuateMs = 5000\ncoldSlack = 5\ngraceS')
    )
    settings = read_settings(path).job_settings()
    assert settings.evacuation_bound_s == pytest.approx(5)


def test_reads_how_long_a_worker_is_cold(encode):
    """A report without the time is of a warm worker."""
    assert not decode_report('i-1', encode(REPORT)).cold_remaining_s
    cold = encode({**REPORT, 'coldRemainingMs': 2500})
    assert decode_report('i-1', cold).cold_remaining_s == pytest.approx(2.5)


@pytest.mark.parametrize('removed', ['ip = "10.1.0.17"', 'holdMaxMs = 4000'])
def test_error_names_missing_settings(tmp_path, removed):
    """A missing field must be reported at the start, with its name."""
    path = tmp_path / 'settings.toml'
    path.write_text(SETTINGS.replace(removed, ''))
    with pytest.raises(ConfigurationError, match=removed.split(' ')[0]):
        read_settings(path)


def test_malformed_settings_raise_an_error(tmp_path):
    """A malformed file must not replace the active settings."""
    path = tmp_path / 'settings.toml'
    path.write_text('= broken')
    with pytest.raises(ConfigurationError):
        read_settings(path)
