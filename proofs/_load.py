"""Mixed load on a cell, and the check of what became of it."""

from __future__ import annotations

import asyncio
import types
from typing import TYPE_CHECKING, Any

import attrs

from testbed import Caller, check_logs

if TYPE_CHECKING:
    from collections.abc import Sequence

    from testbed import Cell, Findings, Sent

__all__ = (
    'CHECK',
    'GANG',
    'MIX',
    'PREVIEW',
    'SCAN',
    'Kind',
    'Load',
    'final_states',
)

PATIENCE_S = 60


@attrs.frozen(slots=True, kw_only=True)
class Kind:
    """Requests of one kind."""

    queue: str
    team: str
    run_s: float
    is_durable: bool = True
    is_unrepeatable: bool = False
    gang_size: int = 1
    cpu_milli: int = 4000

    def body(self, payload: str) -> dict[str, Any]:
        """Return the body of one request."""
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


SCAN = Kind(queue='tine-profile-scan', team='tine-lab', run_s=0.5)
CHECK = Kind(
    queue='feed-flow-check',
    team='flow-office',
    run_s=0.4,
    is_unrepeatable=True,
)
PREVIEW = Kind(
    queue='tip-smoothing-preview',
    team='nib-works',
    run_s=0.1,
    is_durable=False,
    is_unrepeatable=True,
    cpu_milli=2000,
)
GANG = Kind(queue='tine-gangs', team='nib-works', run_s=0.6, gang_size=4)
# Requests per second of each kind.
MIX = types.MappingProxyType({SCAN: 12, CHECK: 12, PREVIEW: 20, GANG: 0.5})


class Load:
    """Sends requests and keeps what their callers were told.

    :ivar failed_workers: workers that died or froze beyond the task lease.
    """

    def __init__(
        self,
        cell: Cell,
        seed: int,
        urls: Sequence[str] = (),
    ) -> None:
        """Send to all daemons, or only to ``urls``."""
        self.cell = cell
        self.seed = seed
        self.caller = Caller(
            cell.session,
            tuple(urls) or tuple(cell.http_urls.values()),
            cell.keys,
            seed,
        )
        self.failed_workers: set[str] = set()
        self._running: list[asyncio.Task[Any]] = []
        self._count = 0

    @property
    def sent(self) -> list[Sent]:
        """Return all requests."""
        return self.caller.sent

    def send(self, kind: Kind, payload: str = '') -> asyncio.Task[Sent]:
        """Send one request in the background."""
        self._count += 1
        body = kind.body(payload or f'only-{self.seed}-{self._count:06}-end')
        running = asyncio.ensure_future(
            self.caller.run(
                kind.team,
                body,
                PATIENCE_S,
                is_durable=kind.is_durable,
            ),
        )
        self._running.append(running)
        return running

    def burst(self, kind: Kind, count: int) -> list[asyncio.Task[Sent]]:
        """Send many requests at once."""
        return [self.send(kind) for _number in range(count)]

    def stream(self, duration_s: float) -> asyncio.Task[None]:
        """Send the mix for a while in the background."""
        running = asyncio.ensure_future(self._stream(duration_s))
        self._running.append(running)
        return running

    async def wait(self) -> None:
        """Wait until each caller has its final answer."""
        while self._running:
            await self._running.pop()

    async def finish(self) -> Findings:
        """Wait for all answers and check them against the workers' logs."""
        await self.wait()
        return self.check()

    def check(self) -> Findings:
        """Check what was sent so far."""
        return check_logs(
            self.cell.worker_logs(),
            self.sent,
            self.cell.upper_limits(),
            self.failed_workers,
        )

    async def _stream(self, duration_s: float) -> None:
        async with asyncio.TaskGroup() as group:
            for kind, rate in MIX.items():
                group.create_task(self._repeat(kind, rate, duration_s))

    async def _repeat(self, kind: Kind, rate: float, duration_s: float) -> None:
        for _ in range(round(rate * duration_s)):
            self.send(kind)
            await asyncio.sleep(1 / rate)


def final_states(sent: Sequence[Sent]) -> dict[str, int]:
    """Count the last states, for the messages of failed tests."""
    counts: dict[str, int] = {}
    for known in sent:
        key = f'{known.state or "silent"}/{known.answer.get("reason", "")}'
        counts[key] = counts.get(key, 0) + 1
    return counts
