"""Graceful stops during requests."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING, Any

import attrs
import pytest

from proofs._load import PREVIEW, SCAN, Load, final_states
from proofs._plans import DOMAINS, SMALL

if TYPE_CHECKING:
    from collections.abc import Callable

    from proofs._ledger import Ledger
    from testbed import Cell

pytestmark = pytest.mark.timeout(180)

SEED = 89
# The stated bound on a graceful stop.
STOP_S = 20
_ASKED = attrs.evolve(PREVIEW, run_s=1.5)
_ASKED_COUNT = 12


async def wait_owner(cell: Cell, domain: str) -> str:
    """Return the owner of a domain once there is one."""
    owner = ''
    async with asyncio.timeout(30):
        while not owner:
            await asyncio.sleep(0.1)
            owner = await cell.owner_of(domain)
    return owner


async def ask(cell: Cell, daemon_id: str, request_id: str) -> dict[str, Any]:
    """Return the answer to a long poll, empty if it was cut off."""
    path = f'/v1/requests/{request_id}/answer?timeout_ms=10000'
    try:
        async with cell.session.get(
            cell.http_urls[daemon_id] + path,
            headers=cell.authorization(_ASKED.team),
        ) as reply:
            return await reply.json()
    except (OSError, ValueError) as exc:
        return {'state': '', 'reason': repr(exc)}


async def submit(cell: Cell, daemon_id: str, payload: str) -> str:
    """Submit prompt work at a daemon and return its id."""
    body = {**_ASKED.body(payload), 'team': _ASKED.team}
    async with cell.session.post(
        f'{cell.http_urls[daemon_id]}/v1/requests',
        json=body,
        headers=cell.authorization(_ASKED.team),
    ) as reply:
        answer = await reply.json()
    assert answer['state'] in {'accepted', 'running'}, answer
    return str(answer['request_id'])


async def stop(cell: Cell, daemon_id: str, ledger: Ledger) -> None:
    """Stop a daemon gracefully; it must end in time with code 0."""
    began_s = time.monotonic()
    cell.daemons[daemon_id].send(signal.SIGTERM)
    ledger.fault()
    try:
        code = await cell.daemons[daemon_id].wait(60)
    except TimeoutError:
        code = -1
    took_s = time.monotonic() - began_s
    ledger.expect(
        'P9',
        is_met=code == 0 and took_s <= STOP_S,
        seen=f'{daemon_id} ended with {code} after {took_s:.1f} s',
    )


@pytest.mark.proof('P9')
@pytest.mark.proof('P5')
async def test_owners_stop_during_requests(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against a request that a graceful stop cuts off or forgets.

    The owner of each domain is stopped, and in the first domain its
    successor as well once the first one is back.
    """
    cell = await open_cell(SMALL)
    load = Load(cell, SEED)
    load.stream(9)
    for domain in (DOMAINS[0], DOMAINS[1], DOMAINS[0]):
        owner = await wait_owner(cell, domain)
        await _stop_while_asked(cell, owner, ledger)
        await cell.start_daemon(owner)
        async with asyncio.timeout(30):
            while not await cell.status(owner):
                await asyncio.sleep(0.1)
    ledger.add(await load.finish())
    states = final_states(load.sent)
    assert states['finished/'] > len(load.sent) / 2, states


async def _stop_while_asked(cell: Cell, owner: str, ledger: Ledger) -> None:
    other = next(name for name in cell.daemons if name != owner)
    ids = [
        await submit(cell, owner, f'asked-{owner}-{number:03}-end')
        for number in range(_ASKED_COUNT)
    ]
    asking = {
        (daemon_id, request_id): asyncio.create_task(
            ask(cell, daemon_id, request_id),
        )
        for request_id in ids
        for daemon_id in (owner, other)
    }
    await asyncio.sleep(0.4)
    await stop(cell, owner, ledger)
    for (daemon_id, request_id), running in asking.items():
        told = await running
        ledger.expect(
            'P9',
            is_met=told['state'] in {'accepted', 'running', 'finished'},
            seen=f'{request_id} was told {told} by {daemon_id}',
        )
    for request_id in ids:
        told = await ask(cell, other, request_id)
        ledger.expect(
            'P9',
            is_met=told['state'] == 'finished',
            seen=f'{request_id} was told {told} by {other} afterwards',
        )
        ledger.expect(
            'P5',
            is_met=request_id in str(told.get('output')),
            seen=f'{request_id} got {told.get("output")}',
        )


@pytest.mark.proof('P9')
async def test_stop_during_store_outage(
    open_cell: Callable[..., Any],
    ledger: Ledger,
) -> None:
    """Guard against a stop that hangs, or loses work, without the store."""
    cell = await open_cell(SMALL)
    load = Load(cell, SEED + 1)
    load.burst(SCAN, 30)
    await asyncio.sleep(0.5)
    await cell.inject('store', {'hang': True})
    ledger.fault()
    owner = await cell.owner_of(DOMAINS[0])
    await stop(cell, owner, ledger)
    await cell.inject('store', {})
    ledger.add(await load.finish())
    assert final_states(load.sent) == {'finished/': 30}
