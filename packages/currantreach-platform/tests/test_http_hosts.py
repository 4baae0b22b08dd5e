"""Tests of the host list client against its stand-in."""

from __future__ import annotations

import attrs
import pytest

from currantreach_platform import HttpHostList
from currantreach_standins import hosts_app
from currantreach_types import HostState, Resources, WorkerInfo
from currantreach_types.errors import PlatformError

_WORKERS = tuple(
    WorkerInfo(
        name=name,
        failure_domain='north-1',
        rack='r1',
        url='http://10.0.0.1:80',
        capacity=Resources(slot_count=8, cpu_milli=64000),
        labels={'cpu': 'new'},
    )
    for name in ('w1', 'w2')
)


async def test_changes_are_shown_after_the_lag(serve, control, clock):
    """Guard against a stand-in that shows changes without a lag."""
    url = await serve(hosts_app(_WORKERS, 1000, clock))
    hosts = HttpHostList(url)
    assert await hosts.workers() == _WORKERS
    change = {'states': {'w1': 'leaving'}, 'removed': ['w2']}
    await control(f'{url}/v1/hosts', change)
    clock.advance(0.9)
    assert await hosts.workers() == _WORKERS

    clock.advance(0.2)

    left = attrs.evolve(_WORKERS[0], state=HostState.leaving)
    assert await hosts.workers() == (left,)
    await hosts.close()
    unreachable = HttpHostList('http://127.0.0.1:1')
    with pytest.raises(PlatformError, match='retry later'):
        await unreachable.workers()
    await unreachable.close()
