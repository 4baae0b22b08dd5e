"""Operators and keys while parts of the cell are cut off."""

from __future__ import annotations

import asyncio
import itertools
import time
from typing import TYPE_CHECKING, Any

import pytest

from proofs._load import CHECK, SCAN, Kind, Load
from proofs._plans import small_plan

if TYPE_CHECKING:
    from collections.abc import Callable

    from proofs._ledger import Ledger
    from testbed import Cell

pytestmark = pytest.mark.timeout(180)

SEED = 71
# The stated bound on a change taking effect in every failure domain.
IN_EFFECT_S = 14
_POLL_S = 0.1
_CALL_TIMEOUT_S = 10


class Operator:
    """Holder of an operator key."""

    def __init__(self, cell: Cell, key_id: str, token: str) -> None:
        """Act with a key."""
        self.cell = cell
        self.key_id = key_id
        self._token = token

    async def call(
        self,
        method: str,
        path: str,
        daemon_id: str,
        body: object = None,
    ) -> tuple[int, dict[str, Any]]:
        """Return the status and the answer.

        Without an answer the status is 0 and the body names the error.
        """
        url = self.cell.http_urls[daemon_id]
        began_s = time.monotonic()
        try:
            async with (
                asyncio.timeout(_CALL_TIMEOUT_S),
                self.cell.session.request(
                    method,
                    url + path,
                    json=body,
                    headers={'Authorization': f'Bearer {self._token}'},
                ) as reply,
            ):
                return reply.status, await reply.json()
        except (OSError, TimeoutError) as error:
            after_s = round(time.monotonic() - began_s, 2)
            return 0, {'error': repr(error), 'after_s': after_s}

    async def apply(
        self,
        daemon_id: str,
        share: float,
        expected_revision: int,
        change_id: str,
    ) -> tuple[int, dict[str, Any]]:
        """Apply the example files with another share of the first team."""
        documents = self.cell.documents()
        documents['base']['teams'][0]['share'] = share
        return await self.call(
            'POST',
            '/v1/admin/config/apply',
            daemon_id,
            {
                **documents,
                'expected_revision': expected_revision,
                'change_id': change_id,
            },
        )

    async def revision(self, daemon_id: str) -> int:
        """Return the revision in force at a daemon, 0 if it is silent."""
        _status, shown = await self.call('GET', '/v1/admin/config', daemon_id)
        record = shown.get('record') or {}
        return int(record.get('revision', 0))

    async def shares(self, daemon_id: str) -> tuple[int, float]:
        """Return the revision and the share of the first team."""
        _status, shown = await self.call('GET', '/v1/admin/config', daemon_id)
        record = shown['record']
        return record['revision'], record['cell']['teams'][0]['share']


async def two_operators(cell: Cell) -> tuple[Operator, Operator]:
    """Return the operator of the example and one with a granted key."""
    first = Operator(cell, 'demo-agency-operator', cell.keys['operator'])
    status, granted = await first.call(
        'POST',
        '/v1/admin/keys',
        'north-0',
        {'role': 'operator'},
    )
    assert status == 200, granted
    return first, Operator(cell, granted['key_id'], granted['token'])


async def watch_revisions(operator: Operator, ledger: Ledger) -> None:
    """Note a breach whenever the revision of a daemon goes back."""
    highest = dict.fromkeys(operator.cell.daemons, 0)
    while True:
        for daemon_id, known in highest.items():
            seen = await operator.revision(daemon_id)
            ledger.expect(
                'P10',
                is_met=seen == 0 or seen >= known,
                seen=f'{daemon_id} went from revision {known} to {seen}',
            )
            highest[daemon_id] = max(known, seen)
        await asyncio.sleep(_POLL_S)


async def wait_revision(
    operator: Operator,
    daemon_id: str,
    revision: int,
) -> float:
    """Return the time until a daemon has a revision."""
    began_s = time.monotonic()
    async with asyncio.timeout(60):
        while await operator.revision(daemon_id) < revision:
            await asyncio.sleep(_POLL_S)
    return time.monotonic() - began_s


async def apply_unheard(
    operator: Operator,
    share: float,
    revision: int,
    change_id: str,
) -> None:
    """Apply a change, and give up once it is in effect elsewhere.

    A refusal because of the store means that it had no effect, so it is sent
    again.
    """
    sending: asyncio.Task[tuple[int, dict[str, Any]]] | None = None
    async with asyncio.timeout(60):
        while await operator.revision('south-0') <= revision:
            if sending is None or sending.done():
                sending = asyncio.create_task(
                    operator.apply('north-0', share, revision, change_id),
                )
            await asyncio.sleep(_POLL_S)
    if sending is not None:
        sending.cancel()


@pytest.mark.proof('P10')
async def test_racing_operators_and_restart_without_store(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against two winners, a wrong author and a revision going back."""
    cell = await open_cell(small_plan(worker_count=1))
    first, second = await two_operators(cell)
    watching = asyncio.create_task(watch_revisions(first, ledger))
    revision = await first.revision('north-0')
    assert revision == 2
    await wait_revision(first, 'south-1', revision)
    for number in range(6):
        await cell.inject('store', {'delay_ms': 20 * number})
        ledger.fault()
        replies = await asyncio.gather(
            first.apply('north-0', 10 + number, revision, f'a{number}'),
            second.apply('south-1', 20 + number, revision, f'b{number}'),
        )
        statuses = sorted(status for status, _reply in replies)
        ledger.expect(
            'P10',
            is_met=statuses == [200, 409],
            seen=f'two applies at revision {revision}: {replies}',
        )
        if statuses != [200, 409]:
            break
        winner = first if replies[0][0] == 200 else second
        _status, conflict = max(replies, key=lambda reply: reply[0])
        seen = (conflict['current_revision'], conflict['author'])
        revision += 1
        ledger.expect(
            'P10',
            is_met=seen == (revision, winner.key_id),
            seen=f'loser to {winner.key_id} at {revision} was told {seen}',
        )
        for daemon_id in cell.daemons:
            late_s = await wait_revision(first, daemon_id, revision)
            ledger.expect(
                'P10',
                is_met=late_s <= IN_EFFECT_S,
                seen=f'{daemon_id} had revision {revision} after {late_s:.1f}',
            )
    await cell.inject('store', {'outage': 'close'})
    ledger.fault()
    await cell.daemons['north-1'].kill()
    await cell.start_daemon('north-1')
    ledger.fault()
    late_s = await wait_revision(first, 'north-1', revision)
    ledger.expect(
        'P10',
        is_met=late_s <= IN_EFFECT_S,
        seen=f'restarted daemon had revision {revision} after {late_s:.1f} s',
    )
    await cell.inject('store', {})
    watching.cancel()
    await asyncio.wait((watching,))


@pytest.mark.proof('P10')
async def test_lost_answer_to_apply(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against a change applied twice or denied after its answer lost.

    The second change is repeated only after another operator applied one on
    top of it.
    """
    cell = await open_cell(small_plan(worker_count=1))
    first, second = await two_operators(cell)
    for number, has_successor in enumerate((False, True)):
        revision = await first.revision('north-0')
        await cell.inject(
            'store',
            {
                'lost_answer_count': 1,
                'lost_answer_kinds': ['put'],
                'clients': ['north-0'],
            },
        )
        ledger.fault()
        change_id = f'lost-{number}'
        await apply_unheard(first, 30 + number, revision, change_id)
        ledger.fault()
        if has_successor:
            status, reply = await second.apply(
                'south-0',
                40,
                revision + 1,
                'on-top',
            )
            assert status == 200, reply
        status, reply = await first.apply(
            'south-1',
            30 + number,
            revision,
            change_id,
        )
        ledger.expect(
            'P10',
            is_met=status == 200 and reply['revision'] == revision + 1,
            seen=f'repeat of {change_id} was told {status} {reply}',
        )
        wanted = revision + 1 + has_successor
        share = 40 if has_successor else 30 + number
        for daemon_id in cell.daemons:
            await wait_revision(first, daemon_id, wanted)
            seen = await first.shares(daemon_id)
            ledger.expect(
                'P10',
                is_met=seen == (wanted, share),
                seen=f'{daemon_id} has {seen} instead of {wanted} {share}',
            )


async def submit(
    cell: Cell,
    daemon_id: str,
    kind: Kind,
    headers: dict[str, str],
) -> dict[str, Any]:
    """Return the answer to a submission, empty if there is none."""
    try:
        async with cell.session.post(
            f'{cell.http_urls[daemon_id]}/v1/requests',
            json={
                'queue': kind.queue,
                'workload': kind.queue,
                'team': kind.team,
            },
            headers=headers,
        ) as reply:
            return await reply.json()
    except OSError:
        return {}


async def refused_after(cell: Cell, daemon_id: str, kind: Kind) -> float:
    """Return when a key that was just withdrawn is refused for good."""
    began_s = time.monotonic()
    accepted_s = began_s
    refused_count = 0
    while refused_count < 10:
        answer = await submit(
            cell,
            daemon_id,
            kind,
            cell.authorization(kind.team),
        )
        reason = answer.get('reason')
        if reason in {'key_withdrawn', 'key_unknown', 'configuration_stale'}:
            refused_count += 1
        else:
            accepted_s = time.monotonic()
            refused_count = 0
        if time.monotonic() - began_s > 60:
            break
        await asyncio.sleep(_POLL_S)
    return accepted_s - began_s


@pytest.mark.proof('P3')
async def test_withdrawn_key_at_daemon_that_is_cut_off(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against a withdrawn key that goes on working somewhere.

    One daemon loses only the store, another one the store and all peers.
    """
    cell = await open_cell(small_plan(has_relays=True))
    operator = Operator(cell, 'demo-agency-operator', cell.keys['operator'])
    load = Load(cell, SEED)
    await asyncio.gather(*load.burst(SCAN, 5), *load.burst(CHECK, 5))
    await cell.inject(
        'store',
        {'outage': 'close', 'clients': ['south-1', 'north-1']},
    )
    cell.mesh.set_cut_off('north-1', is_cut_off=True)
    ledger.fault(3)
    checks = []
    for kind in (SCAN, CHECK):
        for daemon_id in cell.daemons:
            checks.append(
                asyncio.create_task(
                    refused_after(cell, daemon_id, kind),
                    name=f'{kind.team} at {daemon_id}',
                ),
            )
        status, reply = await operator.call(
            'DELETE',
            f'/v1/admin/keys/demo-{kind.team}',
            'north-0',
        )
        assert status == 200, reply
    for checking in checks:
        late_s = await checking
        ledger.expect(
            'P3',
            is_met=late_s <= IN_EFFECT_S,
            seen=f'{checking.get_name()} accepted for {late_s:.1f} s',
        )
    cell.mesh.set_cut_off('north-1', is_cut_off=False)
    await cell.inject('store', {})
    for daemon_id in cell.daemons:
        late_s = await refused_after(cell, daemon_id, SCAN)
        ledger.expect('P3', is_met=late_s == 0, seen=f'{daemon_id} again')


@pytest.mark.proof('P3')
async def test_keys_of_other_teams_under_failure(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against work for another team while a daemon knows less."""
    cell = await open_cell(small_plan(worker_count=1))
    await cell.inject('store', {'delay_ms': 100})
    await cell.daemons['north-0'].kill()
    await cell.start_daemon('north-0')
    ledger.fault(2)
    headers = {
        'other team': cell.authorization('nib-works'),
        'operator': cell.authorization('operator'),
        'none': {},
        'changed': {'Authorization': f'Bearer {cell.keys["tine-lab"][:-1]}'},
    }
    count = 0
    end_s = time.monotonic() + 3
    while time.monotonic() < end_s:
        for name, daemon_id in itertools.product(headers, cell.http_urls):
            answer = await submit(cell, daemon_id, SCAN, headers[name])
            count += bool(answer)
            ledger.expect(
                'P3',
                is_met=answer.get('state', 'not_run') == 'not_run',
                seen=f'{name} at {daemon_id}: {answer}',
            )
    assert count > 50
    assert not any(path.read_text() for path in cell.worker_logs())
