"""Order of workers of different speeds for the tasks of a stage."""

from __future__ import annotations

import collections
import math
from collections.abc import Mapping
from typing import TYPE_CHECKING

import attrs

from currantreach_telemetry import log_warning

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantreach_jobs._progress import Stage
    from currantreach_jobs._stage_durations import StageDurations
    from currantreach_jobs._usage import WorkerState

__all__ = ('SpeedOrder', 'WorkerSpeeds', 'measure_speeds', 'read_slowdowns')

# Learned slowdowns of equally fast workers scatter by a tenth or so. Slowdowns
# from 0.88 to 1.14 are of the level of usual workers; each further level is
# slower by this factor. The speeds 0.6, 1.0 and 1.6 of a deployment are near
# the middles of levels 2, 0 and -2.
_LEVEL_FACTOR = 1.3
_MAX_LEVEL = 12
# Learned speeds change with each finished run, but little within this time.
_SPEEDS_AGE_S = 0.25


@attrs.frozen(slots=True, kw_only=True)
class SpeedOrder:
    """Order in which a stage takes the speed levels of workers.

    :ivar level_by_worker: speed levels by worker; others have level 0.
    :ivar on_time: levels on which the job meets its objective, slowest first.
    :ivar late: levels on which it does not, fastest first.
    """

    level_by_worker: Mapping[str, int]
    on_time: tuple[int, ...]
    late: tuple[int, ...]
    _rank_by_level: Mapping[int, int] = attrs.field(
        default=attrs.Factory(
            lambda order: {
                level: rank
                for rank, level in enumerate((*order.on_time, *order.late))
            },
            takes_self=True,
        ),
    )

    def rank(self, worker_id: str) -> int:
        """Return the position of the level of a worker, 0 for the best."""
        return self._rank_by_level[self.level_by_worker.get(worker_id, 0)]

    def gang_members(
        self,
        fitting: Sequence[tuple[WorkerState, int]],
        task_count: int,
    ) -> list[WorkerState]:
        """Return workers for a gang, preferably of similar speed.

        A gang is as fast as its slowest member, so faster workers beside a slow
        one are of no use to it.

        :param fitting: workers, best first, and how many tasks fit on each.
        """
        counts: collections.Counter[int] = collections.Counter()
        for candidate, count in fitting:
            counts[self._level_of(candidate)] += count
        levels = self._gang_levels(counts, task_count)
        members = [
            worker for worker, _ in fitting if self._level_of(worker) in levels
        ]
        members.sort(key=lambda member: levels.index(self._level_of(member)))
        return members

    def _level_of(self, worker: WorkerState) -> int:
        return self.level_by_worker.get(worker.report.worker_id, 0)

    def _gang_levels(
        self,
        counts: collections.Counter[int],
        task_count: int,
    ) -> Sequence[int]:
        """Return the levels to use for a gang, the slowest one first."""
        for level in self.on_time:
            if counts[level] >= task_count:
                return (level,)
        chosen = list(self.on_time)
        total = sum(counts[level] for level in chosen)
        for late_level in self.late:
            if total >= task_count:
                break
            count = counts[late_level]
            if count >= task_count:
                return (late_level,)
            chosen.insert(0, late_level)
            total += count
        return chosen


@attrs.frozen(slots=True, kw_only=True)
class WorkerSpeeds:
    """Speeds of the workers, grouped so that their noise does not matter.

    :ivar level_by_worker: speed levels by worker, 0 for the usual speed.
    :ivar slowdown_by_level: mean slowdown of the workers of a level; slower
        levels come first.
    :ivar is_uniform: whether all workers are of one level.
    :ivar valid_until_s: when the speeds have to be measured again.
    """

    level_by_worker: Mapping[str, int] = attrs.field(factory=dict)
    slowdown_by_worker: Mapping[str, float] = attrs.field(factory=dict)
    slowdown_by_level: Mapping[int, float] = attrs.field(factory=dict)
    is_uniform: bool = True
    valid_until_s: float = 0

    def log_fields(
        self,
        stage: Stage,
        worker_ids: Iterable[str],
        now_s: float,
    ) -> Mapping[str, object]:
        """Return log fields that show why workers were chosen for a stage."""
        slowdowns = [
            self.slowdown_by_worker.get(worker_id, 1)
            for worker_id in worker_ids
        ]
        return {
            'slowdown': f'{min(slowdowns):.2f}-{max(slowdowns):.2f}',
            'on_time_slowdown': round(_max_slowdown(stage, now_s), 2),
            'mean_s': round(stage.mean_s, 3),
            'tail_s': round(stage.tail_s, 3),
            'slack_s': round(stage.latest_start_s() - now_s, 3),
        }

    def order_for(
        self,
        stage: Stage,
        now_s: float,
    ) -> SpeedOrder | None:
        """Return the order of levels for a stage that starts now.

        :returns: nothing if all workers are equally fast for the stage, or if
            it never ends by itself.
        """
        if self.is_uniform or stage.step.is_lasting:
            return None
        limit = _max_slowdown(stage, now_s)
        on_time: list[int] = []
        late: list[int] = []
        for level, slowdown in self.slowdown_by_level.items():
            if slowdown <= limit:
                on_time.append(level)
            else:
                late.insert(0, level)
        return SpeedOrder(
            level_by_worker=self.level_by_worker,
            on_time=tuple(on_time),
            late=tuple(late),
        )


def read_slowdowns(
    worker_ids: Iterable[str],
    durations: StageDurations,
) -> dict[str, float]:
    """Return the learned slowdowns of workers; 1 for implausible ones."""
    return {
        worker_id: _slowdown_of(worker_id, durations)
        for worker_id in worker_ids
    }


def measure_speeds(
    slowdown_by_worker: Mapping[str, float],
    now_s: float,
) -> WorkerSpeeds:
    """Return the speeds of workers by their slowdowns."""
    level_by_worker: dict[str, int] = {}
    slowdowns: dict[int, list[float]] = collections.defaultdict(list)
    for worker_id, slowdown in slowdown_by_worker.items():
        level = _level_of(slowdown)
        level_by_worker[worker_id] = level
        slowdowns[level].append(slowdown)
    is_uniform = len(slowdowns) < 2
    # Workers that join before the next measurement have the usual level.
    slowdowns[0] = slowdowns[0] or [1]
    return WorkerSpeeds(
        level_by_worker=level_by_worker,
        slowdown_by_worker=slowdown_by_worker,
        slowdown_by_level={
            level: sum(slowdowns[level]) / len(slowdowns[level])
            for level in sorted(slowdowns, reverse=True)
        },
        is_uniform=is_uniform,
        valid_until_s=now_s + _SPEEDS_AGE_S,
    )


def _slowdown_of(worker_id: str, durations: StageDurations) -> float:
    try:
        slowdown = durations.slowdown(worker_id)
    except Exception as error:
        log_warning('speed_unknown', worker=worker_id, error=repr(error))
        return 1
    is_plausible = math.isfinite(slowdown) and slowdown > 0
    return slowdown if is_plausible else 1


def _level_of(slowdown: float) -> int:
    level = round(math.log(slowdown) / math.log(_LEVEL_FACTOR))
    return max(-_MAX_LEVEL, min(_MAX_LEVEL, level))


def _max_slowdown(stage: Stage, now_s: float) -> float:
    """Return the slowdown up to which a start now meets the objective."""
    due_s = stage.latest_start_s() + stage.remaining_s
    rest_s = stage.remaining_s - stage.mean_s
    available_s = due_s - rest_s - now_s
    if stage.tail_s > 0:
        return available_s / stage.tail_s
    return math.inf if available_s >= 0 else 0
