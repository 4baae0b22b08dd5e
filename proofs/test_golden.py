"""Comparison of a whole session with its golden file."""

from __future__ import annotations

import asyncio
import json
import os
import pathlib
import re
from typing import TYPE_CHECKING, Any

import pytest

from proofs._plans import SMALL_PLAN

if TYPE_CHECKING:
    from collections.abc import Callable

    from proofs._report import ProofReport
    from testbed import Cell

pytestmark = pytest.mark.timeout(180)

GOLDEN = pathlib.Path(__file__).parent / 'golden' / 'session.json'
DOMAIN = SMALL_PLAN.domains[0]
PREVIEW = {
    'team': 'nib-works',
    'queue': 'tip-smoothing-preview',
    'workload': 'tip-smoothing-preview',
    'resources': {'slot_count': 1, 'cpu_milli': 500, 'memory_mib': 64},
    'expected_run_s': 0.05,
    'payload': 'nib',
}
SCAN = {
    **PREVIEW,
    'team': 'tine-lab',
    'queue': 'tine-profile-scan',
    'workload': 'tine-profile-scan',
    'payload': 'tine',
}
_ID = re.compile(r'[a-z]+\.\d+\.\d+\.[\w-]+')


class RecordedSession:
    """Calls of a caller and an operator with the recorded answers.

    :ivar exchanges: step, status and answer of each call.
    :ivar url: address of the daemon that is called.
    """

    def __init__(self, cell: Cell) -> None:
        """Start without recorded calls."""
        self.exchanges: list[dict[str, Any]] = []
        self.url = ''
        self._cell = cell

    async def call(
        self,
        step: str,
        method: str,
        path: str,
        body: object = None,
        key: str = '',
    ) -> dict[str, Any]:
        """Make a call and record its answer without times and ids."""
        headers = {'Authorization': f'Bearer {key}'} if key else {}
        async with self._cell.session.request(
            method,
            self.url + path,
            json=body,
            headers=headers,
        ) as response:
            answer = await response.json()
            status = response.status
        stable_fields = {
            name: field
            for name, field in answer.items()
            if field and name not in {'waited_s', 'retry_after_s', 'token'}
        }
        text = _ID.sub('<id>', json.dumps(stable_fields, sort_keys=True))
        self.exchanges.append(
            {'step': step, 'status': status, 'answer': json.loads(text)},
        )
        return answer

    async def submit(self, step: str, body: object, key: str) -> Any:
        """Submit and wait for the final answer.

        A daemon on a busy machine may refuse a submission as overloaded before
        it reads it; such a submission is sent again and not recorded.
        """
        path = '/v1/requests?wait_ms=20000'
        while True:
            answer = await self.call(step, 'POST', path, body, key)
            if answer.get('reason') != 'overloaded':
                return answer
            self.exchanges.pop()
            await asyncio.sleep(0.1)


async def _run_refusals(session: RecordedSession, cell: Cell) -> None:
    key = cell.keys['nib-works']
    done = await session.submit('a preview', PREVIEW, key)
    again = {**PREVIEW, 'request_id': done['request_id']}
    await session.submit('the same id again', again, key)
    other = {**again, 'payload': 'other'}
    await session.submit('the same id, another body', other, key)
    invalid_bodies = {
        'an unknown field': {**PREVIEW, 'colour': 'blue'},
        'a negative size': {**PREVIEW, 'resources': {'slot_count': -1}},
        'a malformed id': {**PREVIEW, 'request_id': 'x'},
        'an unknown queue': {**PREVIEW, 'queue': 'x'},
        'more than a worker holds': {
            **PREVIEW,
            'resources': {'slot_count': 9, 'cpu_milli': 1, 'memory_mib': 1},
        },
        'more than the upper limit': {**PREVIEW, 'gang_size': 1000},
    }
    for step, body in invalid_bodies.items():
        await session.submit(step, body, key)
    await session.submit('no key', PREVIEW, '')
    await session.submit('an unknown key', PREVIEW, f'crk_x_{43 * "x"}')
    await session.submit(
        'a key of another team', PREVIEW, cell.keys['tine-lab']
    )


async def _run_faults(session: RecordedSession, cell: Cell) -> None:
    key = cell.keys['tine-lab']
    await cell.inject('store', {'lost_answer_count': 1})
    await session.submit('a lost answer of the store', SCAN, key)
    await cell.inject('store', {})
    await cell.inject(f'workers-{DOMAIN}', {'lost_start_answers': 1})
    await session.submit('a lost answer of a worker', SCAN, key)
    await cell.inject(f'workers-{DOMAIN}', {})


async def _run_takeover(session: RecordedSession, cell: Cell) -> None:
    key = cell.keys['tine-lab']
    owner = await cell.owner_of(DOMAIN)
    successor = next(
        name
        for name in cell.daemons
        if name.startswith(DOMAIN) and name != owner
    )
    session.url = cell.http_urls[successor]
    long = {**SCAN, 'expected_run_s': 3}
    started = await session.call(
        'a long scan', 'POST', '/v1/requests', long, key
    )
    unused = await session.call('an id', 'POST', '/v1/request-ids', {})
    await cell.daemons[owner].kill()
    path = f'/v1/requests/{started["request_id"]}/answer?timeout_ms=30000'
    await session.call('its answer after a kill', 'GET', path, key=key)
    await _wait_until_recovered(session, unused['request_id'], key)
    late = {**SCAN, 'request_id': unused['request_id']}
    await session.submit('an id of the earlier epoch', late, key)


async def _wait_until_recovered(
    session: RecordedSession, request_id: str, key: str
) -> None:
    async with asyncio.timeout(60):
        while True:
            path = f'/v1/requests/{request_id}'
            answer = await session.call('', 'GET', path, key=key)
            session.exchanges.pop()
            if answer['reason'] == 'id_epoch_passed':
                return
            await asyncio.sleep(0.1)


async def _run_operations(session: RecordedSession, cell: Cell) -> None:
    operator = cell.keys['operator']
    files = {**cell.documents(), 'expected_revision': 7, 'change_id': 'late'}
    apply = '/v1/admin/config/apply'
    await session.call('a stale revision', 'POST', apply, files, operator)
    admin = '/v1/admin/keys'
    await session.call(
        'keys of a caller', 'GET', admin, key=cell.keys['archive']
    )
    path = f'{admin}/demo-training'
    await session.call('a key is withdrawn', 'DELETE', path, key=operator)
    preview = {**PREVIEW, 'team': 'training'}
    await session.submit('the withdrawn key', preview, cell.keys['training'])


@pytest.mark.proof('P5')
@pytest.mark.proof('P6')
async def test_session(
    open_cell: Callable[..., Any],
    report: ProofReport,
) -> None:
    """Guard against unintended changes of answers.

    ``UPDATE_GOLDEN=1`` rewrites the golden file.
    """
    cell = await open_cell(SMALL_PLAN)
    session = RecordedSession(cell)
    session.url = cell.http_urls[cell.daemon_of(DOMAIN)]
    await _run_refusals(session, cell)
    await _run_faults(session, cell)
    await _run_takeover(session, cell)
    await _run_operations(session, cell)
    report.count_faults(3)
    if os.environ.get('UPDATE_GOLDEN'):
        GOLDEN.parent.mkdir(exist_ok=True)
        GOLDEN.write_text(f'{json.dumps(session.exchanges, indent=1)}\n')
    assert session.exchanges == json.loads(GOLDEN.read_text())
