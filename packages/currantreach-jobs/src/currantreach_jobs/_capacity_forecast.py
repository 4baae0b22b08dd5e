"""Expected time at which a stage has enough capacity."""

from __future__ import annotations

import bisect
from operator import attrgetter, itemgetter
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._usage import WorkerState, fitting_count_within
from currantreach_types import Resources

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator, Sequence

    from currantreach_jobs._cluster_state import ClusterState
    from currantreach_jobs._model import Team
    from currantreach_jobs._progress import Run, Stage

__all__ = ('CapacityForecast', 'ForecastCalculator')

# The expected ends of the runs on a worker are computed again after this time,
# after the first of them, and whenever a run starts or ends there.
_MAX_AGE_S = 1
# Runs that end within this time of each other count as ending together, as no
# expected end is more exact. It allows the use of fewer workers.
_TOLERANCE_S = 0.1
# A run beyond its expected duration takes at least this fraction of it longer.
_OVERDUE_FRACTION = 0.1
# Gains are kept for at most this many different demands.
_MAX_RANKINGS = 64

# Resources of a task, and how many of them may run on a worker.
_Demand = tuple[Resources, int]


@attrs.frozen(slots=True, kw_only=True)
class CapacityForecast:
    """Where and when a stage is expected to have enough capacity.

    :ivar start_s: expected time, not before the time of the forecast.
    :ivar is_free: whether the capacity is free already.
    :ivar workers: the workers to use, at least one; where the limit on them
        allows it, warm ones and then those that fit most tasks first.
    """

    start_s: float
    is_free: bool
    workers: tuple[WorkerState, ...]


@attrs.frozen(slots=True)
class _Gain:
    """Tasks that fit on a worker from a time on, 0 for now."""

    time_s: float
    worker: WorkerState
    count: int


@attrs.frozen(slots=True)
class _Timeline:
    """Expected free resources of a worker.

    :ivar free: its free resources when the timeline was made; these objects
        are replaced with each start and end.
    :ivar steps: times and free resources from then on, in order of time.
    :ivar gains: gains for each demand that was asked for.
    """

    valid_until_s: float
    free: Resources
    steps: tuple[tuple[float, Resources], ...]
    gains: dict[_Demand, tuple[_Gain, ...]] = attrs.field(factory=dict)


@attrs.frozen(slots=True)
class _Ranking:
    """Gains of all workers for one demand, in order of time.

    :ivar timelines: those from which the gains follow, with their workers.
    """

    valid_until_s: float
    timelines: tuple[tuple[WorkerState, _Timeline], ...]
    gains: tuple[_Gain, ...]

    def is_valid(self, workers: Collection[WorkerState], now_s: float) -> bool:
        """Tell whether no worker has changed since."""
        if now_s >= self.valid_until_s or len(workers) != len(self.timelines):
            return False
        return all(
            worker is ranked and worker.free is timeline.free
            for worker, (ranked, timeline) in zip(
                workers, self.timelines, strict=True
            )
        )


class _Selection:
    """Selection of a limited number of workers that fit most tasks."""

    def __init__(self, max_workers: int) -> None:
        self._total = 0
        self._max_workers = max_workers
        self._counts: dict[WorkerState, int] = {}
        # Counts in ascending order.
        self._ordered: list[int] = []

    def add_until(
        self, gains: Iterator[_Gain], needed_count: int
    ) -> float | None:
        """Add gains until enough tasks fit; return from when on they do.

        :param gains: further gains in order of time.
        """
        for gain in gains:
            self._add(gain)
            if self._total >= needed_count:
                return gain.time_s
        return None

    def add_before(self, gains: Iterator[_Gain], latest_s: float) -> None:
        """Add the gains up to a time."""
        for gain in gains:
            if gain.time_s > latest_s:
                break
            self._add(gain)

    def fewest(
        self, stage: Stage, needed_count: int
    ) -> tuple[WorkerState, ...]:
        """Return the fewest workers that suffice, warm ones first.

        :returns: none if too few tasks fit on those that come first.
        """
        ranked = sorted(
            self._counts.items(),
            key=lambda counted: _preference(stage, *counted),
        )
        return self._first(ranked, needed_count)

    def fullest(self, needed_count: int) -> tuple[WorkerState, ...]:
        """Return the workers that fit most tasks, whether warm or cold.

        :returns: none if too few tasks fit.
        """
        ranked = sorted(self._counts.items(), key=itemgetter(1), reverse=True)
        return self._first(ranked, needed_count)

    def _first(
        self,
        ranked: Sequence[tuple[WorkerState, int]],
        needed_count: int,
    ) -> tuple[WorkerState, ...]:
        """Return as many of the first workers as suffice."""
        chosen: list[WorkerState] = []
        for worker, count in ranked[: self._max_workers]:
            if needed_count <= 0:
                break
            chosen.append(worker)
            needed_count -= count
        return tuple(chosen) if needed_count <= 0 else ()

    def _add(self, gain: _Gain) -> None:
        former = self._counts.get(gain.worker, 0)
        count = former + gain.count
        self._counts[gain.worker] = count
        # The least count among the chosen workers, 0 if there are too few.
        least = 0
        if len(self._ordered) >= self._max_workers:
            least = self._ordered[-self._max_workers]
        self._total += max(0, count - max(former, least))
        if former:
            self._ordered.pop(bisect.bisect_left(self._ordered, former))
        bisect.insort(self._ordered, count)


class ForecastCalculator:
    """Forecasts capacity by the expected ends of the runs on the workers.

    A run without an estimate and a long-running one are not expected to end.
    """

    def __init__(self, cluster: ClusterState) -> None:
        """Create a calculator that uses the durations of a cluster."""
        self._cluster = cluster
        self._timelines: dict[str, _Timeline] = {}
        self._rankings: dict[_Demand, _Ranking] = {}

    def forecast(
        self,
        stage: Stage,
        workers: Iterable[WorkerState],
        needed_count: int,
        max_workers: int,
        now_s: float,
    ) -> CapacityForecast | None:
        """Return the earliest time at which enough tasks fit.

        :param workers: workers that may run tasks of the stage.
        :param needed_count: number of tasks that have to fit.
        :param max_workers: number of workers that may be used.
        :returns: nothing if no such time can be told.
        """
        eligible = set(workers)
        if not eligible or max_workers <= 0:
            return None
        gains = (
            gain
            for gain in self._ranked_gains(stage, now_s)
            if gain.worker in eligible
        )
        selection = _Selection(max_workers)
        start_s = selection.add_until(gains, needed_count)
        if start_s is None:
            return None
        chosen = selection.fewest(stage, needed_count)
        if start_s:
            selection.add_before(gains, start_s + _TOLERANCE_S)
            # Warm workers that are added may displace those that suffice.
            chosen = selection.fewest(stage, needed_count) or chosen
        return CapacityForecast(
            start_s=max(now_s, start_s),
            is_free=not start_s,
            workers=chosen or selection.fullest(needed_count),
        )

    def team_start_s(self, stage: Stage, team: Team, now_s: float) -> float:
        """Return when the limit of a team is expected to allow a start.

        :returns: 0 if no such time can be told.
        """
        ends: list[tuple[float, Run]] = []
        for worker in self._cluster.workers.values():
            ends.extend(self._ends(worker, now_s))
        ends.sort(key=itemgetter(0))
        freed = Resources()
        for time_s, run in ends:
            if run.stage.job_progress.job.team != team.name:
                continue
            freed += run.stage.step.needed
            count = self._cluster.teams.free_task_count(team, stage.step, freed)
            if count >= stage.min_start_count:
                return time_s
        return 0

    def end_s(self, run: Run, now_s: float) -> float | None:
        """Return when a run is expected to end, if that is known."""
        durations = self._cluster.durations
        mean_s = durations.task(run.stage).mean_s
        if run.stage.step.is_lasting or not mean_s:
            return None
        remaining_s = durations.remaining_s(run, now_s)
        return now_s + max(remaining_s, _OVERDUE_FRACTION * mean_s)

    def _ranked_gains(self, stage: Stage, now_s: float) -> tuple[_Gain, ...]:
        """Return the gains of all workers for a stage, in order of time.

        They are shared by all stages with the same demand until a worker
        changes.
        """
        demand = _demand_of(stage)
        ranking = self._rankings.get(demand)
        workers = self._cluster.workers.values()
        if ranking is not None and ranking.is_valid(workers, now_s):
            return ranking.gains
        timelines: list[tuple[WorkerState, _Timeline]] = []
        gains: list[_Gain] = []
        for worker in workers:
            timeline = self._timeline(worker, now_s)
            timelines.append((worker, timeline))
            found = timeline.gains.get(demand)
            if found is None:
                found = tuple(self._gains(stage, worker, now_s))
                timeline.gains[demand] = found
            gains.extend(found)
        gains.sort(key=attrgetter('time_s'))
        if len(self._rankings) >= _MAX_RANKINGS:
            self._rankings.clear()
        ranking = _Ranking(
            min(
                (timeline.valid_until_s for _, timeline in timelines),
                default=now_s,
            ),
            tuple(timelines),
            tuple(gains),
        )
        self._rankings[demand] = ranking
        return ranking.gains

    def _gains(
        self, stage: Stage, worker: WorkerState, now_s: float
    ) -> Iterator[_Gain]:
        """Yield from when on how many more tasks fit on a worker."""
        steps = self._timeline(worker, now_s).steps
        limit = stage.step.max_per_worker or stage.step.task_count
        most = min(limit, fitting_count_within(stage, steps[-1][1]))
        fitting = 0
        for time_s, free in steps:
            if fitting >= most:
                break
            count = min(limit, fitting_count_within(stage, free))
            if count > fitting:
                yield _Gain(time_s, worker, count - fitting)
                fitting = count

    def _timeline(self, worker: WorkerState, now_s: float) -> _Timeline:
        worker_id = worker.report.worker_id
        known = self._timelines.get(worker_id)
        if known is not None and known.free is worker.free:
            if now_s < known.valid_until_s:
                return known
        ends = self._ends(worker, now_s)
        free = worker.free
        steps: list[tuple[float, Resources]] = [(0, free)]
        for time_s, ending in ends:
            free += ending.stage.demand
            steps.append((time_s, free))
        valid_until_s = now_s + _MAX_AGE_S
        if ends:
            valid_until_s = min(valid_until_s, ends[0][0])
        if len(self._timelines) > 2 * len(self._cluster.workers):
            # Most of them are of workers that have left.
            self._timelines.clear()
        timeline = _Timeline(valid_until_s, worker.free, tuple(steps))
        self._timelines[worker_id] = timeline
        return timeline

    def _ends(
        self, worker: WorkerState, now_s: float
    ) -> list[tuple[float, Run]]:
        """Return the runs that are expected to end, in order of their ends."""
        ends: list[tuple[float, Run]] = []
        for run in worker.running():
            end_s = self.end_s(run, now_s)
            if end_s is not None:
                ends.append((end_s, run))
        ends.sort(key=itemgetter(0))
        return ends


def _demand_of(stage: Stage) -> _Demand:
    """Return what determines how many tasks of a stage fit on a worker."""
    limit = stage.step.max_per_worker or stage.step.task_count
    return stage.demand, min(limit, stage.step.task_count)


def _preference(
    stage: Stage, worker: WorkerState, count: int
) -> tuple[bool, int, bool, int]:
    """Return a sort key of workers; reservations are kept where possible."""
    return (
        worker.is_cold,
        -count,
        worker.reserved_by is not stage,
        -worker.free.cpu_milli,
    )
