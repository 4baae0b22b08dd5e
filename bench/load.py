"""Load generator ``python -m bench.load``, run by ``bench.processes``."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
import time
from typing import Any

import aiohttp

__all__ = ('main',)


async def _submit(
    session: aiohttp.ClientSession,
    url: str,
    body: dict[str, Any],
    headers: dict[str, str],
) -> dict[str, Any]:
    async with session.post(
        f'{url}/v1/requests?wait_ms=5000',
        json=body,
        headers=headers,
    ) as accepted:
        return await accepted.json()


async def _run_loop(
    session: aiohttp.ClientSession,
    plan: argparse.Namespace,
    number: int,
    outcomes: list[tuple[str, float, float]],
) -> None:
    url = plan.urls[number % len(plan.urls)]
    headers = {'Authorization': f'Bearer {plan.key}'}
    body = {
        'queue': plan.queue,
        'team': plan.team,
        'workload': plan.queue,
        'resources': {
            'slot_count': 1,
            'cpu_milli': 100,
            'memory_mib': 64,
            'connection_count': 1,
        },
        'expected_run_s': plan.run_s,
        'payload': 'bench',
    }
    end_s = time.monotonic() + plan.seconds
    pause_s = plan.loops / plan.rate if plan.rate else 0
    due_s = time.monotonic() + pause_s * number / plan.loops
    while time.monotonic() < end_s:
        if pause_s:
            await asyncio.sleep(max(0, due_s - time.monotonic()))
            due_s += pause_s
        started_at_s = time.monotonic()
        try:
            answer = await _submit(session, url, body, headers)
        except (aiohttp.ClientError, TimeoutError):
            outcomes.append(('error', 0, 0))
            continue
        outcomes.append(
            (
                answer['reason'] or answer['state'],
                answer.get('waited_s') or 0,
                time.monotonic() - started_at_s,
            ),
        )


async def _run(plan: argparse.Namespace) -> None:
    outcomes: list[tuple[str, float, float]] = []
    connector = aiohttp.TCPConnector(limit=0)
    timeout = aiohttp.ClientTimeout(total=10)
    async with aiohttp.ClientSession(
        connector=connector,
        timeout=timeout,
    ) as session:
        await asyncio.gather(
            *(
                _run_loop(session, plan, number, outcomes)
                for number in range(plan.loops)
            ),
        )
    json.dump(outcomes, sys.stdout)


def main() -> None:
    """Send requests and print all outcomes as one line of JSON."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--urls', nargs='+', required=True)
    parser.add_argument('--key', required=True)
    parser.add_argument('--team', required=True)
    parser.add_argument('--queue', required=True)
    parser.add_argument('--run-s', type=float, default=0.01)
    parser.add_argument('--seconds', type=float, default=5)
    parser.add_argument('--loops', type=int, default=32)
    parser.add_argument('--rate', type=float, default=0)
    asyncio.run(_run(parser.parse_args()))


if __name__ == '__main__':
    main()
