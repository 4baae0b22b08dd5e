"""Workers that are to blame for runs that take far too long."""

from __future__ import annotations

import weakref
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._progress import RunPhase
from currantreach_telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from currantreach_jobs._progress import Run, Stage
    from currantreach_jobs._usage import WorkerState

__all__ = ('RunTime', 'SlowRuns', 'is_worker_to_blame')

# One task in ten takes longer than its tail, but few take twice as long.
_FAR_FACTOR = 2
# A single sibling may just be a short task.
_MIN_SIBLINGS = 2


@attrs.frozen(slots=True, kw_only=True)
class RunTime:
    """How long a run took, or takes so far.

    :ivar tail_s: duration on its worker that one task in ten exceeds.
    """

    worker_id: str
    run_s: float
    tail_s: float

    @property
    def is_in_time(self) -> bool:
        """Tell whether the run is within its expected time."""
        return self.run_s <= self.tail_s


def is_worker_to_blame(
    run: RunTime,
    siblings: Sequence[RunTime],
    has_other_end_in_time: bool,
) -> bool:
    """Tell whether a run is late because of its worker, not of its task.

    A step whose tasks are all long shows in the runs on other workers, and a
    single long run in the other runs on the same worker.

    :param run: a run that has not ended.
    :param siblings: runs of the same step that are done.
    :param has_other_end_in_time: whether another run on the worker has ended
        within its expected time since this one began.
    """
    if has_other_end_in_time or run.run_s <= _FAR_FACTOR * run.tail_s:
        return False
    elsewhere = [
        sibling for sibling in siblings if sibling.worker_id != run.worker_id
    ]
    if len(elsewhere) < _MIN_SIBLINGS:
        return False
    in_time_count = sum(1 for sibling in elsewhere if sibling.is_in_time)
    return 2 * in_time_count > len(elsewhere)


class SlowRuns:
    """Observes the runs on all workers, at intervals.

    The durations learned from finished runs show a slow worker only after runs
    have ended there, which takes as long as the worker is slow.
    """

    def __init__(self) -> None:
        """Start without observations."""
        self._observed_at_s: float = 0
        self._runs: dict[str, list[Run]] = {}
        self._in_time_at_s: dict[str, float] = {}
        self._siblings: weakref.WeakKeyDictionary[Stage, list[RunTime]] = (
            weakref.WeakKeyDictionary()
        )
        self._blamed: Mapping[str, float] = {}

    def observe(
        self,
        workers: Mapping[str, WorkerState],
        slowdowns: Mapping[str, float],
        now_s: float,
    ) -> Mapping[str, float]:
        """Return the workers to blame for late runs, with their slowdowns.

        :param slowdowns: learned slowdowns by worker.
        :returns: by which factor runs there take longer at least.
        """
        for worker_id, former in self._runs.items():
            if worker_id in workers:
                self._record_ends(former, slowdowns[worker_id])
        blamed: dict[str, float] = {}
        for name, observed in workers.items():
            slowdown = self._blamed_slowdown(observed, slowdowns[name], now_s)
            if slowdown:
                blamed[name] = slowdown
        _log_blamed(blamed, self._blamed)
        self._blamed = blamed
        self._observed_at_s = now_s
        self._runs = {
            name: list(seen.running()) for name, seen in workers.items()
        }
        self._in_time_at_s = {
            name: at_s
            for name, at_s in self._in_time_at_s.items()
            if name in workers
        }
        return blamed

    def _record_ends(
        self,
        former: Iterable[Run],
        slowdown: float,
    ) -> None:
        """Record the runs that have ended since the last observation."""
        for run in former:
            if not run.confirmed_at_s or run.phase is not RunPhase.OVER:
                continue
            if not run.stage.tasks[run.task.index].is_done:
                continue
            ended = RunTime(
                worker_id=run.worker_id,
                # When it ended exactly is not known.
                run_s=self._observed_at_s - run.confirmed_at_s,
                tail_s=run.stage.tail_s * slowdown,
            )
            if ended.is_in_time:
                self._in_time_at_s[run.worker_id] = self._observed_at_s
            if not run.stage.step.is_gang:
                self._siblings.setdefault(run.stage, []).append(ended)

    def _blamed_slowdown(
        self,
        worker: WorkerState,
        slowdown: float,
        now_s: float,
    ) -> float:
        """Return the slowdown of a worker that is to blame, or 0."""
        in_time_at_s = self._in_time_at_s.get(worker.report.worker_id, 0)
        found: float = 0
        for run in _overdue_runs(worker.running(), slowdown, now_s):
            run_s = now_s - run.confirmed_at_s
            is_blamed = is_worker_to_blame(
                RunTime(
                    worker_id=run.worker_id,
                    run_s=run_s,
                    tail_s=run.stage.tail_s * slowdown,
                ),
                self._siblings.get(run.stage, ()),
                in_time_at_s >= run.confirmed_at_s,
            )
            if is_blamed:
                found = max(found, run_s / run.stage.tail_s)
        return found


def _overdue_runs(
    runs: Iterable[Run],
    slowdown: float,
    now_s: float,
) -> list[Run]:
    """Return the runs for which their worker may be to blame.

    The members of a gang end together, so that it does not show which one is
    late.
    """
    return [
        run
        for run in runs
        if run.phase is RunPhase.RUNNING
        and run.stage.tail_s > 0
        and now_s - run.confirmed_at_s > run.stage.tail_s * slowdown
        and not (run.stage.step.is_gang or run.stage.step.is_lasting)
    ]


def _log_blamed(
    blamed: Mapping[str, float],
    former: Mapping[str, float],
) -> None:
    for worker_id, slowdown in blamed.items():
        if worker_id not in former:
            log_event(
                'worker_suspected',
                worker=worker_id,
                slowdown=round(slowdown, 2),
            )
    for cleared in former:
        if cleared not in blamed:
            log_event('worker_cleared', worker=cleared)
