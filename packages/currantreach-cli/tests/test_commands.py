"""Tests of the commands against a fake daemon."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from currantreach_cli import run

_AGENCY = Path(__file__).parents[3] / 'examples' / 'agency'
_FILES = (str(_AGENCY / 'base.json'), str(_AGENCY / 'overlay.json'))
_ID = 'north.0.3.abc'
_LOST = object()


class FakeDaemon:
    """Answers each call from a list of configured replies."""

    def __init__(self):
        self.replies = {}
        self.calls = []

    def on(self, call, *replies):
        """Set the replies to a call; the last one is repeated."""
        self.replies[call] = list(replies)

    async def handle(self, request):
        """Record a call and return its next reply."""
        call = f'{request.method} {request.raw_path}'
        body = await request.json() if request.can_read_body else None
        self.calls.append((call, body, request.headers.get('Authorization')))
        replies = self.replies.get(call, [(404, {'reason': 'absent'})])
        reply = replies.pop(0) if len(replies) > 1 else replies[0]
        if reply is _LOST:
            request.transport.abort()
            return web.Response()
        status, payload = reply
        if callable(payload):
            payload = payload(self.calls)
        return web.json_response(payload, status=status)


@pytest.fixture
def daemon():
    """Return a fake daemon that issues one request id."""
    fake = FakeDaemon()
    fake.on('POST /v1/request-ids', (200, {'request_id': _ID}))
    return fake


@pytest.fixture
async def command(daemon, capsys, monkeypatch):
    """Return a function that runs a command against the fake daemon."""
    app = web.Application()
    app.router.add_route('*', '/{path:.*}', daemon.handle)
    async with TestServer(app) as server:
        monkeypatch.setenv('CURRANTREACH_URL', str(server.make_url('/')))
        monkeypatch.setenv('CURRANTREACH_KEY', 'crk_demo_secret')

        async def _command(*tokens):
            code = await asyncio.to_thread(run, tokens)
            return code, capsys.readouterr()

        yield _command


def _answer(state, **fields):
    return {'request_id': _ID, 'state': state, **fields}


async def test_lost_answer_is_retried_with_the_same_id(daemon, command):
    """Guard against a retry that submits the work a second time."""
    daemon.on(
        'POST /v1/requests',
        _LOST,
        (200, _answer('finished', output=['42'])),
    )

    code, printed = await command('submit', 'scan', '--output', 'json')

    assert code == 0
    assert json.loads(printed.out)['output'] == ['42']
    sent = [body for call, body, _ in daemon.calls if call[-8:] == 'requests']
    assert len(sent) == 2
    assert sent[0] == sent[1]
    assert sent[0]['request_id'] == _ID
    assert {key for _, _, key in daemon.calls} == {'Bearer crk_demo_secret'}


@pytest.mark.parametrize(
    ('known', 'code'),
    [((200, _answer('running')), 0), ((503, _answer('not_run')), 4)],
)
async def test_refusal_after_a_lost_answer(daemon, command, known, code):
    """Guard against "not run" for work that a lost attempt started."""
    refusal = _answer('not_run', reason='no_owner', can_retry=True)
    daemon.on('POST /v1/requests', _LOST, (503, refusal))
    daemon.on(f'GET /v1/requests/{_ID}', known)

    assert (await command('submit', 'scan'))[0] == code


async def test_refusal_names_reason_remedy_and_retry(daemon, command):
    """Guard against a refusal that a script or person cannot act on."""
    refusal = _answer(
        'not_run',
        reason='queue_full',
        remedy='retry later',
        can_retry=True,
        retry_after_s=5,
    )
    daemon.on('POST /v1/requests', (503, refusal))

    code, printed = await command('submit', 'scan')

    assert code == 1
    for line in (
        'reason: queue_full',
        'remedy: retry later',
        'retry: yes, after 5 s',
    ):
        assert line in printed.out.splitlines()


async def test_wait_returns_the_final_answer(daemon, command):
    """Guard against a wait that ends after the first poll."""
    waiting = (202, _answer('accepted'))
    path = f'GET /v1/requests/{_ID}/answer?timeout_ms='
    daemon.on('POST /v1/requests', waiting)
    daemon.on(f'{path}10000', waiting)
    daemon.on(f'{path}2000', (200, _answer('finished', output=['\x1b[2J'])))

    code, printed = await command('submit', 'scan', '--wait-s', '12')

    assert code == 0
    assert 'state: finished' in printed.out
    assert '\x1b' not in printed.out


@pytest.mark.parametrize(
    ('tokens', 'call', 'reply', 'code'),
    [
        (['status', _ID], f'GET /v1/requests/{_ID}', _answer('unknown'), 4),
        (['status'], 'GET /v1/admin/status', {'daemons': []}, 0),
        (['answer', _ID], f'GET /v1/requests/{_ID}/answer?timeout_ms=0', {}, 0),
        (['cancel', _ID], f'DELETE /v1/requests/{_ID}', _answer('not_run'), 1),
        (['cancel', 'a', 'b'], 'POST /v1/cancellations', {'answers': []}, 0),
        (['list'], 'GET /v1/requests', {'requests': [{'a': 1}, {'b': 2}]}, 0),
        (['config', 'show'], 'GET /v1/admin/config', {'record': {}}, 0),
        (['config', 'history'], 'GET /v1/admin/config/history', {}, 0),
        (
            ['config', 'check', '--remote', *_FILES],
            'POST /v1/admin/config/check',
            {'faults': [{'path': '$'}]},
            2,
        ),
        (
            ['config', 'diff', *_FILES],
            'POST /v1/admin/config/diff',
            {'changes': []},
            0,
        ),
        (['key', 'grant', 'tine'], 'POST /v1/admin/keys', {'key_id': 'k'}, 0),
        (['key', 'revoke', 'a/b'], 'DELETE /v1/admin/keys/a%2Fb', {}, 0),
        (['key', 'list'], 'GET /v1/admin/keys', {'keys': []}, 0),
        (['worker', 'list'], 'GET /v1/admin/workers', {'workers': []}, 0),
        (['worker', 'drain', 'w1'], 'POST /v1/admin/workers/w1/drain', {}, 0),
        (['team', 'list'], 'GET /v1/admin/teams', {'teams': []}, 0),
        (['task', 'list'], 'GET /v1/admin/tasks', {'tasks': []}, 0),
        (['task', 'explain', 'a/0'], 'GET /v1/admin/tasks/a%2F0', {}, 0),
    ],
)
async def test_call_of_each_command(
    daemon,
    command,
    tokens,
    call,
    reply,
    code,
):
    """Guard against a command that calls another address of the API."""
    daemon.on(call, (200, reply))

    assert (await command(*tokens))[0] == code
    assert [made for made, _, _ in daemon.calls] == [call]


@pytest.mark.parametrize(('is_ours', 'code'), [(True, 0), (False, 5)])
async def test_apply_conflict(daemon, command, is_ours, code):
    """Guard against a conflict reported for the command's own change."""
    conflict = {'reason': 'conflict', 'current_revision': 9, 'author': 'x'}
    daemon.on('GET /v1/admin/config', (200, {'record': {'revision': 7}}))
    daemon.on('POST /v1/admin/config/apply', _LOST, (409, conflict))

    def history(calls):
        sent = calls[1][1]
        assert sent['expected_revision'] == 7
        change_id = sent['change_id'] if is_ours else 'other'
        return {'records': [{'revision': 8, 'change_id': change_id}]}

    daemon.on('GET /v1/admin/config/history', (200, history))
    assert (await command('config', 'apply', *_FILES))[0] == code


async def test_lost_grant_is_not_repeated(daemon, command):
    """Guard against a retry that grants a second, unknown key."""
    daemon.on('POST /v1/admin/keys', _LOST)

    assert (await command('key', 'grant', 'tine'))[0] == 4
    assert len(daemon.calls) == 1


async def test_usage_and_unreachable(daemon, command, tmp_path):
    """Guard against exit codes that scripts confuse with refusals."""
    (tmp_path / 'bad.json').write_text('{"teams": [{"share": 0}]')
    bad = str(tmp_path / 'bad.json')

    assert (await command('submit'))[0] == 2
    assert (await command('cancel'))[0] == 2
    assert (await command('submit', 'q', '--constraint', 'x'))[0] == 2
    assert (await command('config', 'apply', bad))[0] == 2
    code, printed = await command('config', 'check', bad, '--output', 'json')
    assert code == 2
    assert json.loads(printed.out)['faults'][0]['file_name'] == bad
    assert not daemon.calls
    assert (await command('config', 'check', *_FILES))[0] == 0
    unused = ('--url', 'http://127.0.0.1:1')
    assert (await command('status', *unused))[0] == 3
