"""Tests of the test bed and its processes."""

from __future__ import annotations

import asyncio
import json
import pathlib

import pytest

from testbed import Cell, CellPlan, SentRequest, check_logs
from testbed._process import Process, free_ports


async def test_environment_is_not_inherited(tmp_path):
    """A start fails with EFAULT while pytest changes its environment."""
    process = Process('store', tmp_path / 'store.log')
    await process.start(
        'currantreach_standins.store',
        ['--port', str(free_ports(1)[0])],
        has_ready_line=True,
    )
    try:
        environment = pathlib.Path(f'/proc/{process.pid}/environ').read_bytes()
    finally:
        await process.end()
    assert b'PATH=' in environment
    assert b'PYTEST_CURRENT_TEST=' not in environment


def test_ports_are_outside_the_ephemeral_range():
    """A process cannot listen if a connection was assigned its port."""
    limits = pathlib.Path('/proc/sys/net/ipv4/ip_local_port_range')
    first_ephemeral = int(limits.read_text().split()[0])
    ports = free_ports(50)
    assert len(set(ports)) == 50
    assert max(ports) < first_ephemeral
    assert not set(ports) & set(free_ports(50))


class SlowStartCell(Cell):
    """Cell with one daemon that starts slowly."""

    slow_daemon = 'south-1'

    async def start_daemon(self, daemon_id):
        await super().start_daemon(daemon_id)
        if daemon_id == self.slow_daemon:
            self.pause(daemon_id)
            loop = asyncio.get_running_loop()
            loop.call_later(4, self.resume, daemon_id)


async def test_ready_with_all_daemons(tmp_path):
    """Guard against proofs that call a daemon before it listens."""
    plan = CellPlan(site='agency', domains=('north', 'south'), worker_count=1)
    async with SlowStartCell(plan, tmp_path) as cell:
        assert await cell.status(cell.slow_daemon)


@pytest.mark.parametrize(
    ('event', 'worker', 'is_lost'),
    [
        ('held', 'frozen', False),
        ('held', 'sound', True),
        ('start', 'frozen', False),
        ('', '', True),
    ],
)
def test_unknown_end_is_excused_by_a_start_at_a_failed_worker(
    tmp_path, event, worker, is_lost
):
    """A start that a frozen worker received has an unknown effect.

    The worker logs no start, and the request ended as unknown: the checker
    called it lost, although no daemon can know more.
    """
    sent = SentRequest(
        team='tine-lab',
        workload='scan',
        body={'is_unrepeatable': True, 'payload': 'x', 'resources': {}},
        is_durable=True,
        request_id='r',
        states=['accepted', 'unknown'],
    )
    log = tmp_path / 'worker.log'
    line = {'event': event, 'worker': worker, 'task_id': 'r/0', 'wall_s': 1}
    log.write_text(json.dumps(line) if event else '')
    findings = check_logs([log], [sent], {}, {'frozen'})
    assert bool(findings.lost) is is_lost
    assert not findings.doubled


@pytest.mark.parametrize(
    ('attempts', 'is_early'),
    [([1, 1, 1], True), ([1, 1, 2], True), ([1, 2, 3], False)],
)
def test_gang_may_fail_with_its_third_run(tmp_path, attempts, is_early):
    """Tasks that fail in one run are one failed run of their request."""
    sent = SentRequest(
        team='tine-lab',
        workload='scan',
        body={'payload': 'x', 'resources': {}},
        request_id='r',
        states=['accepted', 'failed'],
        answer={'reason': 'task_failed'},
    )
    lines = [
        {
            'event': event,
            'worker': 'w',
            'task_id': f'r/{index}',
            'epoch': 1,
            'attempt': attempt,
            'phase': 'failed' if event == 'end' else 'running',
            'wall_s': index,
        }
        for index, attempt in enumerate(attempts)
        for event in ('start', 'end')
    ]
    log = tmp_path / 'worker.log'
    log.write_text('\n'.join(map(json.dumps, lines)))
    assert bool(check_logs([log], [sent], {}).failed_early) is is_early
