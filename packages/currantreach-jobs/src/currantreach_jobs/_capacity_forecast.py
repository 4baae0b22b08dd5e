"""Expected time at which a stage has enough capacity."""

from __future__ import annotations

import bisect
import collections
import itertools
from operator import itemgetter
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._usage import WorkerState, fitting_count_within
from currantreach_types import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

    from currantreach_jobs._cluster_state import ClusterState
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


@attrs.frozen(slots=True, kw_only=True)
class CapacityForecast:
    """Where and when a stage is expected to have enough capacity.

    :ivar start_s: expected time, not before the time of the forecast.
    :ivar is_free: whether the capacity is free already.
    :ivar workers: the workers to use, those that fit most tasks first.
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
    """

    valid_until_s: float
    free: Resources
    steps: tuple[tuple[float, Resources], ...]


class ForecastCalculator:
    """Forecasts capacity by the expected ends of the runs on the workers.

    A run without an estimate and a long-running one are not expected to end.
    """

    def __init__(self, cluster: ClusterState) -> None:
        """Create a calculator that uses the durations of a cluster."""
        self._cluster = cluster
        self._timelines: dict[str, _Timeline] = {}

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
        gains: list[_Gain] = []
        for worker in workers:
            gains.extend(self._gains(stage, worker, now_s))
        gains.sort(key=lambda gain: gain.time_s)
        totals = list(itertools.accumulate(gain.count for gain in gains))
        first = bisect.bisect_left(totals, needed_count)
        if first < len(gains) and max_workers <= first:
            # With a limit on the workers, it may take longer.
            first = bisect.bisect_left(
                range(len(gains)),
                x=True,
                lo=first,
                key=lambda last: bool(
                    _fewest(stage, gains[: last + 1], needed_count, max_workers)
                ),
            )
        if first >= len(gains):
            return None
        start_s = gains[first].time_s
        last = first + 1
        if start_s:
            last = bisect.bisect_right(
                gains,
                start_s + _TOLERANCE_S,
                lo=last,
                key=lambda gain: gain.time_s,
            )
        return CapacityForecast(
            start_s=max(now_s, start_s),
            is_free=not start_s,
            workers=_fewest(stage, gains[:last], needed_count, max_workers),
        )

    def end_s(self, run: Run, now_s: float) -> float | None:
        """Return when a run is expected to end, if that is known."""
        durations = self._cluster.durations
        mean_s = durations.task(run.stage).mean_s
        if run.stage.step.is_lasting or not mean_s:
            return None
        remaining_s = durations.remaining_s(run, now_s)
        return now_s + max(remaining_s, _OVERDUE_FRACTION * mean_s)

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


def _fewest(
    stage: Stage,
    gains: Sequence[_Gain],
    needed_count: int,
    max_workers: int,
) -> tuple[WorkerState, ...]:
    """Return the fewest workers that suffice, none if there are too few."""
    counts: collections.defaultdict[WorkerState, int] = collections.defaultdict(
        int,
    )
    for gain in gains:
        counts[gain.worker] += gain.count
    ranked = sorted(
        counts.items(),
        key=lambda counted: _preference(stage, *counted),
    )
    chosen: list[WorkerState] = []
    for worker, count in ranked[:max_workers]:
        if needed_count <= 0:
            break
        chosen.append(worker)
        needed_count -= count
    return tuple(chosen) if needed_count <= 0 else ()


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
