"""Mixed load on a cell, and the check of its outcome."""

from __future__ import annotations

import asyncio
import types
from typing import TYPE_CHECKING, Any

import attrs

from testbed import Caller, check_logs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from testbed import Cell, Findings, SentRequest

__all__ = (
    'CHECK',
    'GANG',
    'MIX',
    'PREVIEW',
    'SCAN',
    'LoadGenerator',
    'RequestKind',
    'count_final_states',
    'describe_unfinished',
)

ANSWER_TIMEOUT_S = 60


@attrs.frozen(slots=True, kw_only=True)
class RequestKind:
    """Requests of one kind, with the team and queue that they belong to."""

    queue: str
    team: str
    run_s: float
    is_durable: bool = True
    is_unrepeatable: bool = False
    gang_size: int = 1
    cpu_milli: int = 4000

    def body(self, payload: str) -> dict[str, Any]:
        """Return the body of a request."""
        return {
            'queue': self.queue,
            'workload': self.queue,
            'resources': {
                'slot_count': 1,
                'cpu_milli': self.cpu_milli,
                'memory_mib': 2048,
                'accelerator_count': 0,
                'connection_count': 1,
            },
            'gang_size': self.gang_size,
            'is_unrepeatable': self.is_unrepeatable,
            'expected_run_s': self.run_s,
            'payload': payload,
        }


SCAN = RequestKind(queue='tine-profile-scan', team='tine-lab', run_s=0.5)
CHECK = RequestKind(
    queue='feed-flow-check',
    team='flow-office',
    run_s=0.4,
    is_unrepeatable=True,
)
PREVIEW = RequestKind(
    queue='tip-smoothing-preview',
    team='nib-works',
    run_s=0.1,
    is_durable=False,
    is_unrepeatable=True,
    cpu_milli=2000,
)
GANG = RequestKind(queue='tine-gangs', team='nib-works', run_s=0.6, gang_size=4)
# Requests per second of each kind.
MIX = types.MappingProxyType({SCAN: 12, CHECK: 12, PREVIEW: 20, GANG: 0.5})


class LoadGenerator:
    """Sends requests and records the answers of their callers.

    :ivar failed_workers: workers that died or froze for longer than the task
        lease.
    """

    def __init__(
        self,
        cell: Cell,
        seed: int,
        urls: Sequence[str] = (),
    ) -> None:
        """Send to ``urls``, or to all daemons if there are none."""
        self.cell = cell
        self.seed = seed
        self.caller = Caller(
            cell.session,
            tuple(urls) or tuple(cell.http_urls.values()),
            cell.keys,
            seed,
        )
        self.failed_workers: set[str] = set()
        self._tasks: list[asyncio.Task[Any]] = []
        self._count = 0

    @property
    def sent(self) -> list[SentRequest]:
        """Return all requests with their answers."""
        return self.caller.sent

    def send(
        self, kind: RequestKind, payload: str = ''
    ) -> asyncio.Task[SentRequest]:
        """Send a request in the background."""
        self._count += 1
        body = kind.body(payload or f'only-{self.seed}-{self._count:06}-end')
        task = asyncio.ensure_future(
            self.caller.run(
                kind.team,
                body,
                ANSWER_TIMEOUT_S,
                is_durable=kind.is_durable,
            ),
        )
        self._tasks.append(task)
        return task

    def send_burst(
        self, kind: RequestKind, count: int
    ) -> list[asyncio.Task[SentRequest]]:
        """Send many requests at once."""
        return [self.send(kind) for _number in range(count)]

    def start_mix(self, duration_s: float) -> asyncio.Task[None]:
        """Send the mix of requests for a while in the background."""
        task = asyncio.ensure_future(self._send_mix(duration_s))
        self._tasks.append(task)
        return task

    async def wait_for_answers(self) -> None:
        """Wait until each request has a final answer or timed out."""
        while self._tasks:
            await self._tasks.pop()

    async def wait_and_check(self) -> Findings:
        """Wait for all answers and check them against the workers' logs."""
        await self.wait_for_answers()
        return self.check()

    def check(self) -> Findings:
        """Check the requests sent so far against the workers' logs."""
        return check_logs(
            self.cell.worker_logs(),
            self.sent,
            self.cell.upper_limits(),
            self.failed_workers,
        )

    async def _send_mix(self, duration_s: float) -> None:
        async with asyncio.TaskGroup() as group:
            for kind, rate in MIX.items():
                group.create_task(self._send_at_rate(kind, rate, duration_s))

    async def _send_at_rate(
        self, kind: RequestKind, rate: float, duration_s: float
    ) -> None:
        for _ in range(round(rate * duration_s)):
            self.send(kind)
            await asyncio.sleep(1 / rate)


def count_final_states(sent: Sequence[SentRequest]) -> dict[str, int]:
    """Count the requests by last state and reason."""
    counts: dict[str, int] = {}
    for request in sent:
        key = f'{request.state or "silent"}/{request.answer.get("reason", "")}'
        counts[key] = counts.get(key, 0) + 1
    return counts


def describe_unfinished(sent: Sequence[SentRequest]) -> list[str]:
    """Return the states and the last answer of each unfinished request."""
    return [
        f'{request.request_id} {request.workload} {request.states}'
        f' {request.waited_s:.2f} s {request.answer}'
        for request in sent
        if request.state != 'finished'
    ]
