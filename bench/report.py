"""Metrics of a replay."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from bench.workload import TEAMS
from currantreach_types import Resources

if TYPE_CHECKING:
    from bench.replay import Replay, Request
    from bench.workload import Deployment

_FULL_FRACTION = 0.85
_WARM_UP_S = 30
_MEDIAN = 0.5
_P99 = 0.99
_MILLI = 1000
_MICRO = 1000000


def print_line(line: str) -> None:
    """Print one line."""
    sys.stdout.write(f'{line}\n')


def quantile(numbers: list[float], fraction: float) -> float:
    """Return a quantile, or zero without numbers."""
    if not numbers:
        return 0
    ordered = sorted(numbers)
    return ordered[min(int(fraction * len(ordered)), len(ordered) - 1)]


class Sampler:
    """Samples of fleet usage, taken once per simulated second.

    :ivar distances: distances of each team from its fair share, of samples
        with a full fleet and unmet demand.
    :ivar used: fractions of each resource in use.
    """

    def __init__(self, deployment: Deployment) -> None:
        """Prepare for the fleet of a deployment."""
        self.distances: dict[str, list[float]] = {}
        self.used: list[tuple[float, float, float, float]] = []
        self._total = deployment.total()

    def __call__(self, replay: Replay) -> None:
        """Take a sample."""
        if replay.now_s < _WARM_UP_S:
            return
        usage = replay.scheduler.usage()
        self.used.append(
            _fractions(sum(usage.values(), Resources()), self._total)
        )
        demand = replay.scheduler.demand()
        taken_by_team = {
            team: max(_fractions(usage[team], self._total)) for team in usage
        }
        total_taken = sum(taken_by_team.values())
        is_full = max(self.used[-1]) > _FULL_FRACTION
        is_wanted = any(resources.slot_count for resources in demand.values())
        if not is_full or not is_wanted:
            return
        for team, fraction in _fair_shares(
            usage, demand, self._total, total_taken
        ).items():
            distance = abs(taken_by_team.get(team, 0) - fraction)
            self.distances.setdefault(team, []).append(distance)


def _fractions(
    used: Resources,
    total: Resources,
) -> tuple[float, float, float, float]:
    """Return the fractions of slots, processors, memory and accelerators."""
    return (
        used.slot_count / total.slot_count,
        used.cpu_milli / total.cpu_milli,
        used.memory_mib / total.memory_mib,
        used.accelerator_count / total.accelerator_count,
    )


def _fair_shares(
    usage, demand, total: Resources, total_taken: float
) -> dict[str, float]:
    """Divide the used capacity by weight, at most what a team can use.

    Water-filling: the teams that need least per weight are served first, and
    what they leave is divided among the others.
    """
    saturations = {}
    for team, _, weight, limit in TEAMS:
        usable = max(_fractions(usage[team] + demand[team], total))
        saturations[team] = (min(usable, limit) / weight, weight)
    shares: dict[str, float] = {}
    total_weight = sum(saturation[1] for saturation in saturations.values())
    for name, saturation in sorted(
        saturations.items(), key=lambda entry: entry[1]
    ):
        shares[name] = (
            min(saturation[0], total_taken / total_weight) * saturation[1]
        )
        total_taken -= shares[name]
        total_weight -= saturation[1]
    return shares


def collect_metrics(replay: Replay, sampler: Sampler) -> dict[str, object]:
    """Return all metrics of a replay."""
    timing = replay.timing
    spent_us = [spent_s * _MICRO for spent_s, _ in timing.rounds]
    each_us = [
        spent_s * _MICRO / count for spent_s, count in timing.rounds if count
    ]
    decision_count = sum(count for _, count in timing.rounds)
    return {
        'classes': _wait_metrics_by_workload(list(replay.requests.values())),
        'urgent': _wait_metrics(
            [
                request
                for request in replay.requests.values()
                if request.arrival.spec.is_urgent
            ],
        ),
        'used_mean': dict(
            zip(
                ('slots', 'processors', 'memory', 'accelerators'),
                (_mean(column) for column in zip(*sampler.used, strict=True)),
                strict=True,
            ),
        ),
        'distance': {
            team: _mean(distances)
            for team, distances in sampler.distances.items()
        },
        'full_s': max(map(len, sampler.distances.values()), default=0),
        'done_worker_s': round(replay.completed_worker_s),
        'done_core_s': round(replay.completed_core_s),
        'wasted_s': round(replay.wasted_s),
        'counts': dict(replay.counts),
        'decisions': decision_count,
        'decisions_per_s': round(decision_count / timing.call_s),
        'decision_us_p50': round(quantile(each_us, _MEDIAN)),
        'decision_us_p99': round(quantile(each_us, _P99)),
        'round_us_p50': round(quantile(spent_us, _MEDIAN)),
        'round_us_p99': round(quantile(spent_us, _P99)),
        'round_us_max': round(max(spent_us)),
    }


def _wait_metrics_by_workload(
    requests: list[Request],
) -> dict[str, dict[str, float]]:
    """Return the wait metrics of each workload."""
    names = {request.arrival.spec.workload for request in requests}
    return {
        name: _wait_metrics(
            [
                request
                for request in requests
                if request.arrival.spec.workload == name
            ],
        )
        for name in sorted(names)
    }


def _wait_metrics(requests: list[Request]) -> dict[str, float]:
    """Return counts, and quantiles of the wait for the first start."""
    waits = [
        request.first_start_s - request.arrival.at_s
        for request in requests
        if request.first_start_s is not None
    ]
    refused_late = [
        request
        for request in requests
        if request.refusal == 'deadline_unreachable'
    ]
    return {
        'requests': len(requests),
        'started': len(waits),
        'finished': sum(request.is_finished for request in requests),
        'late': len(refused_late),
        'p50_ms': round(quantile(waits, _MEDIAN) * _MILLI, 1),
        'p99_ms': round(quantile(waits, _P99) * _MILLI, 1),
        'max_ms': round(max(waits, default=0) * _MILLI, 1),
    }


def count_lost_deadlines(replay: Replay, reference: Replay) -> int:
    """Count the requests with a deadline that only the reference started."""
    return sum(
        request.first_start_s is None
        and request.arrival.spec.deadline_s is not None
        and reference.requests[request_id].first_start_s is not None
        for request_id, request in replay.requests.items()
    )


def _mean(numbers) -> float:
    """Return the mean, or zero without numbers."""
    numbers = list(numbers)
    return round(sum(numbers) / len(numbers), 4) if numbers else 0
