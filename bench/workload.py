"""Seeded random arrivals for two deployments."""

from __future__ import annotations

import itertools
import json
import math
import pathlib
import random
import types
from typing import Any

import attrs

from currantreach_decisions import TeamQuota
from currantreach_types import PolicyKind, Resources, TaskSpec, WorkerInfo

DURATION_S = 600
TEAMS = (
    # name, fraction of the demand, share, fraction of the fleet it may use
    ('north', 0.34, 30, 0.6),
    ('south', 0.26, 25, 0.6),
    ('mill', 0.15, 15, 0.5),
    ('yard', 0.1, 10, 0.4),
    ('night', 0.1, 10, 0.4),
    ('spare', 0.05, 10, 0.4),
)
_SIZE_SPREAD = 0.25
_MIN_FACTOR = 0.3
_MAX_FACTOR = 4
_BAD_EVERY = 50
_URGENT_EVERY = 100
_CANCELLED_EVERY = 4
_SAMPLE_COUNT = 3000
_OVERSIZED_FACTOR = 64
_SCALING_TEAM_COUNT = 8
_MIN_CPU_MILLI, _MAX_CPU_MILLI = 500, 12000
_MIN_MIB, _MAX_MIB = 1024, 49152
_SERVICES_FIRST_S, _SERVICES_LAST_S = 1, 9


@attrs.frozen(slots=True)
class Kind:
    """Workload of a deployment.

    :ivar work_part: fraction of the load that it contributes.
    :ivar run_s: median run time.
    :ivar run_spread: standard deviation of the logarithm of the run time.
    """

    name: str
    policy: PolicyKind
    work_part: float
    cpu_milli: int
    memory_mib: int
    run_s: float
    run_spread: float
    deadline_s: float | None = None
    gang_size: int = 1
    accelerator_part: float = 0
    is_unrepeatable: bool = False
    burst_at_s: float = DURATION_S
    burst_length_s: float = 0
    burst_factor: float = 1


@attrs.frozen(slots=True)
class Deployment:
    """Workers and workloads of one site."""

    name: str
    worker_count: int
    capacity: Resources
    accelerator_count: int
    rack_size: int
    kinds: tuple[Kind, ...]

    def workers(self) -> list[WorkerInfo]:
        """Return the workers; the first of each rack has accelerators."""
        workers = []
        for index in range(self.worker_count):
            rack, position = divmod(index, self.rack_size)
            extra = Resources()
            if not position:
                extra = Resources(accelerator_count=self.accelerator_count)
            worker = WorkerInfo(
                name=f'worker-{index}',
                failure_domain='north-1',
                rack=f'rack-{rack}',
                url='',
                capacity=self.capacity + extra,
            )
            workers.append(worker)
        return workers

    def total(self) -> Resources:
        """Return the capacity of all workers."""
        return sum((worker.capacity for worker in self.workers()), Resources())

    def quotas(self) -> dict[str, TeamQuota]:
        """Return the quota of each team."""
        return {
            name: TeamQuota(
                share=share, allotment=scale(self.total(), fraction)
            )
            for name, _, share, fraction in TEAMS
        }


@attrs.frozen(slots=True)
class Arrival:
    """Request with its actual properties, which the scheduler does not know.

    :ivar used: resources that each task actually uses.
    :ivar is_bad: whether it fails on every worker.
    :ivar is_cancelled: whether the next mass cancellation includes it.
    """

    at_s: float
    spec: TaskSpec
    used: Resources
    run_s: float
    is_bad: bool
    is_cancelled: bool


def _parse_deployment(row: dict[str, Any]) -> Deployment:
    """Parse a deployment from ``deployments.json``."""
    kinds = [
        Kind(**{**kind, 'policy': PolicyKind(kind['policy'])})
        for kind in row['kinds']
    ]
    capacity = Resources(**row['capacity'])
    return Deployment(**{**row, 'capacity': capacity, 'kinds': tuple(kinds)})


_DATA_PATH = pathlib.Path(__file__).with_name('deployments.json')
DEPLOYMENTS = types.MappingProxyType(
    {
        name: _parse_deployment(row)
        for name, row in json.loads(
            _DATA_PATH.read_text(encoding='utf-8')
        ).items()
    },
)


def arrivals(deployment: Deployment, load: float, seed: int) -> list[Arrival]:
    """Return the arrivals of a replay, ordered by time.

    :param load: arriving work as a fraction of what the fleet can process,
        by the larger of the declared and the actual size and the resource
        that is exhausted first.
    """
    rng = random.Random(seed)
    rate = load * _rate_at_full_load(deployment)
    generated: list[Arrival] = []
    for kind in deployment.kinds:
        for at_s in _arrival_times(
            rng, kind, rate * kind.work_part / _mean_work(kind)
        ):
            generated.append(_random_arrival(rng, deployment, kind, at_s))
    generated.sort(key=lambda arrival: arrival.at_s)
    return [
        attrs.evolve(
            arrival,
            spec=attrs.evolve(
                arrival.spec,
                request_id=f'north-1.0.1.{index}',
            ),
        )
        for index, arrival in enumerate(generated)
    ]


def scale(size: Resources, factor: float) -> Resources:
    """Return a size multiplied by a factor, with at least one slot."""
    return Resources(
        max(1, round(size.slot_count * factor)),
        round(size.cpu_milli * factor),
        round(size.memory_mib * factor),
        math.ceil(size.accelerator_count * factor),
        round(size.connection_count * factor),
    )


def _mean_work(kind: Kind) -> float:
    """Return the approximate mean work of a request of a kind."""
    mean_run_s = kind.run_s * math.exp(kind.run_spread**2 / 2)
    if kind.policy is PolicyKind.service:
        mean_run_s = DURATION_S
    return mean_run_s * kind.gang_size * kind.cpu_milli


def _rate_at_full_load(deployment: Deployment) -> float:
    """Return the arrival rate at which the first resource is exhausted."""
    rng = random.Random(0)
    needed = [0, 0, 0]
    for kind in deployment.kinds:
        part = kind.work_part / _mean_work(kind) / _SAMPLE_COUNT
        for _ in range(_SAMPLE_COUNT):
            sample = _random_arrival(rng, deployment, kind, 0)
            larger = sample.used.elementwise_max(sample.spec.resources)
            amount = sample.run_s * kind.gang_size * part
            needed[0] += amount * larger.slot_count
            needed[1] += amount * larger.cpu_milli
            needed[2] += amount * larger.memory_mib
    total = deployment.total()
    return min(
        total.slot_count / needed[0],
        total.cpu_milli / needed[1],
        total.memory_mib / needed[2],
    )


def _arrival_times(rng: random.Random, kind: Kind, rate: float) -> list[float]:
    """Return random arrival times for a kind."""
    if kind.policy is PolicyKind.service:
        return [
            rng.uniform(_SERVICES_FIRST_S, _SERVICES_LAST_S)
            for _ in range(round(rate * DURATION_S))
        ]
    times = []
    now_s: float = 0
    while now_s < DURATION_S:
        times.append(now_s)
        in_burst_s = now_s - kind.burst_at_s
        factor: float = 1
        if 0 <= in_burst_s < kind.burst_length_s:
            factor = kind.burst_factor
        now_s += rng.expovariate(rate * factor)
    return times


def _random_arrival(
    rng: random.Random,
    deployment: Deployment,
    kind: Kind,
    at_s: float,
) -> Arrival:
    """Return a random arrival of a kind."""
    capacity = deployment.capacity
    size = rng.lognormvariate(0, _SIZE_SPREAD)
    used = scale(Resources(0, kind.cpu_milli, kind.memory_mib, 0, 1), size)
    if rng.random() < kind.accelerator_part:
        used += Resources(accelerator_count=1)
    span = math.log(_MAX_FACTOR / _MIN_FACTOR)
    declaration_error = _MIN_FACTOR * math.exp(rng.random() * span)
    declared = Resources(
        1,
        min(round(used.cpu_milli * declaration_error), capacity.cpu_milli),
        min(round(used.memory_mib * declaration_error), capacity.memory_mib),
        used.accelerator_count,
        1,
    )
    run_s = kind.run_s * rng.lognormvariate(0, kind.run_spread)
    is_bad = not rng.randrange(_BAD_EVERY)
    is_too_large = is_bad and bool(rng.randrange(2))
    if is_too_large:
        declared = scale(declared, _OVERSIZED_FACTOR)
    if kind.policy is PolicyKind.service:
        run_s = DURATION_S
    return Arrival(
        at_s=at_s,
        spec=_random_spec(rng, kind, declared, run_s),
        used=used,
        run_s=run_s,
        is_bad=is_bad,
        is_cancelled=not rng.randrange(_CANCELLED_EVERY),
    )


def _random_spec(
    rng: random.Random,
    kind: Kind,
    declared: Resources,
    run_s: float,
) -> TaskSpec:
    """Return the request as the scheduler sees it."""
    is_urgent = kind.policy is PolicyKind.batch
    return TaskSpec(
        request_id='',
        team=_pick_team(rng),
        queue=kind.policy.value,
        workload=kind.name,
        policy=kind.policy,
        resources=declared,
        gang_size=kind.gang_size,
        is_unrepeatable=kind.is_unrepeatable,
        is_urgent=is_urgent and not rng.randrange(_URGENT_EVERY),
        expected_run_s=run_s * rng.uniform(_MIN_FACTOR, _MAX_FACTOR),
        deadline_s=kind.deadline_s,
    )


def _pick_team(rng: random.Random) -> str:
    """Return a random team, weighted by its demand."""
    names = [team[0] for team in TEAMS]
    weights = [team[1] for team in TEAMS]
    return rng.choices(names, weights).pop()


def scaling_specs(count: int, seed: int) -> list[TaskSpec]:
    """Return requests of random sizes for the scaling benchmark."""
    rng = random.Random(seed)
    names = itertools.cycle(
        f'team-{index}' for index in range(_SCALING_TEAM_COUNT)
    )
    return [
        TaskSpec(
            request_id=f'north-1.0.1.s{index}',
            team=next(names),
            queue='batch',
            workload='scan',
            policy=PolicyKind.batch,
            resources=Resources(
                1,
                rng.randrange(_MIN_CPU_MILLI, _MAX_CPU_MILLI),
                rng.randrange(_MIN_MIB, _MAX_MIB),
                0,
                1,
            ),
        )
        for index in range(count)
    ]
