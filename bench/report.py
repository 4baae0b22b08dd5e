"""Figures of a replay."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

from bench.workload import TEAMS
from currantreach_types import Resources

if TYPE_CHECKING:
    from bench.replay import Replay, Request
    from bench.workload import Deployment

_FULL_PART = 0.85
_WARM_UP_S = 30
_MIDDLE = 0.5
_NEARLY_ALL = 0.99
_MILLI = 1000
_MICRO = 1000000


def say(line: str) -> None:
    """Print a line."""
    sys.stdout.write(f'{line}\n')


def quantile(numbers: list[float], part: float) -> float:
    """Return a quantile, or zero of nothing."""
    if not numbers:
        return 0
    ordered = sorted(numbers)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


class Sampler:
    """Use of the fleet, once a simulated second."""

    def __init__(self, deployment: Deployment) -> None:
        """Sample a deployment."""
        self.distances: dict[str, list[float]] = {}
        self.used: list[tuple[float, float, float, float]] = []
        self._total = deployment.total()

    def __call__(self, replay: Replay) -> None:
        """Take a sample."""
        if replay.now_s < _WARM_UP_S:
            return
        usage = replay.scheduler.usage()
        self.used.append(_parts(sum(usage.values(), Resources()), self._total))
        demand = replay.scheduler.demand()
        taken = {team: max(_parts(usage[team], self._total)) for team in usage}
        whole = sum(taken.values())
        is_full = max(self.used[-1]) > _FULL_PART
        is_wanted = any(each.slot_count for each in demand.values())
        if not is_full or not is_wanted:
            return
        for team, part in _fair(usage, demand, self._total, whole).items():
            distance = abs(taken.get(team, 0) - part)
            self.distances.setdefault(team, []).append(distance)


def _parts(
    used: Resources,
    total: Resources,
) -> tuple[float, float, float, float]:
    """Return the parts of slots, processors, memory and accelerators."""
    return (
        used.slot_count / total.slot_count,
        used.cpu_milli / total.cpu_milli,
        used.memory_mib / total.memory_mib,
        used.accelerator_count / total.accelerator_count,
    )


def _fair(usage, demand, total: Resources, whole: float) -> dict[str, float]:
    """Divide what is taken by weight, no more than a team can use."""
    wants = {}
    for team, _, weight, limit in TEAMS:
        most = max(_parts(usage[team] + demand[team], total))
        wants[team] = (min(most, limit) / weight, weight)
    parts: dict[str, float] = {}
    all_weights = sum(want[1] for want in wants.values())
    for name, want in sorted(wants.items(), key=lambda each: each[1]):
        parts[name] = min(want[0], whole / all_weights) * want[1]
        whole -= parts[name]
        all_weights -= want[1]
    return parts


def figures(replay: Replay, sampler: Sampler) -> dict[str, object]:
    """Return all figures of a replay."""
    timing = replay.timing
    spent_us = [spent_s * _MICRO for spent_s, _ in timing.rounds]
    each_us = [
        spent_s * _MICRO / count for spent_s, count in timing.rounds if count
    ]
    decided = sum(count for _, count in timing.rounds)
    return {
        'classes': _classes(list(replay.requests.values())),
        'urgent': _waits(
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
        'done_worker_s': round(replay.done_worker_s),
        'done_core_s': round(replay.done_core_s),
        'wasted_s': round(replay.wasted_s),
        'counts': dict(replay.counts),
        'decisions': decided,
        'decisions_per_s': round(decided / timing.call_s),
        'decision_us_p50': round(quantile(each_us, _MIDDLE)),
        'decision_us_p99': round(quantile(each_us, _NEARLY_ALL)),
        'round_us_p50': round(quantile(spent_us, _MIDDLE)),
        'round_us_p99': round(quantile(spent_us, _NEARLY_ALL)),
        'round_us_max': round(max(spent_us)),
    }


def _classes(requests: list[Request]) -> dict[str, dict[str, float]]:
    """Return the waits of each workload."""
    names = {request.arrival.spec.workload for request in requests}
    return {
        name: _waits(
            [
                request
                for request in requests
                if request.arrival.spec.workload == name
            ],
        )
        for name in sorted(names)
    }


def _waits(requests: list[Request]) -> dict[str, float]:
    """Return how long requests waited for their first start."""
    waits = [
        request.first_start_s - request.arrival.at_s
        for request in requests
        if request.first_start_s is not None
    ]
    late = [
        request
        for request in requests
        if request.refusal == 'deadline_unreachable'
    ]
    return {
        'requests': len(requests),
        'started': len(waits),
        'finished': sum(request.is_finished for request in requests),
        'late': len(late),
        'p50_ms': round(quantile(waits, _MIDDLE) * _MILLI, 1),
        'p99_ms': round(quantile(waits, _NEARLY_ALL) * _MILLI, 1),
        'max_ms': round(max(waits, default=0) * _MILLI, 1),
    }


def lost_deadlines(replay: Replay, reference: Replay) -> int:
    """Count the deadlines that only the reference met."""
    return sum(
        request.first_start_s is None
        and request.arrival.spec.deadline_s is not None
        and reference.requests[request_id].first_start_s is not None
        for request_id, request in replay.requests.items()
    )


def _mean(numbers) -> float:
    """Return the mean, or zero of nothing."""
    numbers = list(numbers)
    return round(sum(numbers) / len(numbers), 4) if numbers else 0
