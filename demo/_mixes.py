"""Workload mixes of the two example sites."""

from __future__ import annotations

from typing import Any

import attrs

__all__ = ('AGENCY', 'PRUNELLE', 'Mix', 'Workload')


@attrs.frozen(slots=True, kw_only=True)
class Workload:
    """Requests of one workload.

    :ivar count: number of requests.
    :ivar run_s: run time of each task.
    :ivar interval_s: time between two requests.
    :ivar is_durable: whether accepted requests must not be lost.
    """

    name: str
    queue: str
    team: str
    count: int
    run_s: float
    interval_s: float
    cpu_milli: int
    memory_mib: int
    is_durable: bool = True
    is_unrepeatable: bool = False
    gang_size: int = 1
    accelerator_count: int = 0

    def body(self, number: int) -> dict[str, Any]:
        """Return the body of the request with a number."""
        return {
            'queue': self.queue,
            'workload': self.name,
            'resources': {
                'slot_count': 1,
                'cpu_milli': self.cpu_milli,
                'memory_mib': self.memory_mib,
                'accelerator_count': self.accelerator_count,
                'connection_count': 1,
            },
            'gang_size': self.gang_size,
            'is_unrepeatable': self.is_unrepeatable,
            'expected_run_s': self.run_s,
            'payload': f'{self.name}-{number}',
        }


@attrs.frozen(slots=True, kw_only=True)
class Mix:
    """Topology and workloads of one site.

    :ivar capacity: capacity of each worker.
    """

    site: str
    domains: tuple[str, ...]
    rack_size: int
    capacity: dict[str, int]
    workloads: tuple[Workload, ...]


AGENCY = Mix(
    site='agency',
    domains=('north', 'middle', 'south'),
    rack_size=8,
    capacity={
        'slot_count': 8,
        'cpu_milli': 64000,
        'memory_mib': 262144,
        'accelerator_count': 2,
        'connection_count': 64,
    },
    workloads=(
        Workload(
            name='tine-profile-scan',
            queue='tine-profile-scan',
            team='tine-lab',
            count=60,
            run_s=1.5,
            interval_s=0.08,
            cpu_milli=8000,
            memory_mib=16384,
        ),
        Workload(
            name='feed-flow-check',
            queue='feed-flow-check',
            team='flow-office',
            count=60,
            run_s=0.8,
            interval_s=0.08,
            cpu_milli=4000,
            memory_mib=8192,
        ),
        Workload(
            name='tip-smoothing-preview',
            queue='tip-smoothing-preview',
            team='nib-works',
            count=150,
            run_s=0.1,
            interval_s=0.04,
            cpu_milli=2000,
            memory_mib=4096,
            is_durable=False,
            is_unrepeatable=True,
        ),
        Workload(
            name='grinder-service',
            queue='grinder-services',
            team='flow-office',
            count=1,
            run_s=8,
            interval_s=0.1,
            cpu_milli=4000,
            memory_mib=8192,
        ),
        Workload(
            name='tine-gang',
            queue='tine-gangs',
            team='nib-works',
            count=2,
            run_s=2,
            interval_s=1,
            cpu_milli=8000,
            memory_mib=16384,
            gang_size=6,
        ),
    ),
)

PRUNELLE = Mix(
    site='prunelle',
    domains=('east', 'west', 'river', 'hill'),
    rack_size=6,
    capacity={
        'slot_count': 8,
        'cpu_milli': 16000,
        'memory_mib': 32768,
        'accelerator_count': 0,
        'connection_count': 64,
    },
    workloads=(
        Workload(
            name='pass-plan',
            queue='pass-plan',
            team='pass-planning',
            count=40,
            run_s=2,
            interval_s=0.12,
            cpu_milli=4000,
            memory_mib=6144,
        ),
        Workload(
            name='row-recompute',
            queue='row-recompute',
            team='row-office',
            count=100,
            run_s=0.6,
            interval_s=0.05,
            cpu_milli=2000,
            memory_mib=2048,
            is_unrepeatable=True,
        ),
        Workload(
            name='crew-lookup',
            queue='crew-lookup',
            team='crew-desk',
            count=200,
            run_s=0.05,
            interval_s=0.03,
            cpu_milli=500,
            memory_mib=512,
            is_durable=False,
            is_unrepeatable=True,
        ),
        Workload(
            name='orchard-service',
            queue='orchard-services',
            team='weather',
            count=1,
            run_s=8,
            interval_s=0.1,
            cpu_milli=1000,
            memory_mib=1024,
        ),
        Workload(
            name='pass-plan-gang',
            queue='pass-plan-gangs',
            team='pass-planning',
            count=2,
            run_s=2,
            interval_s=1,
            cpu_milli=2000,
            memory_mib=4096,
            gang_size=6,
        ),
    ),
)
