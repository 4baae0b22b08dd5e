"""Expected durations of the tasks of a stage, as the leader uses them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from currantreach_durations import DurationModel, FinishedRun, Work
from currantreach_jobs._progress import RunPhase
from currantreach_telemetry import log_event, log_warning

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from currantreach_durations import DurationRecord
    from currantreach_jobs._progress import Run, Stage
    from currantreach_jobs._usage import WorkerState
    from currantreach_telemetry import Metrics

__all__ = ('StageDurations', 'TaskDuration')

# Rounds ask for thousands of durations, and some hundred runs a second teach
# something, so estimates of other stages and ages of speeds are this old.
_REFRESH_S = 0.25
# A worker counts as slow from the first of these factors on, until it is below
# the second one, so that a factor near the first one does not fill the log.
_SLOW = 1.5
_USUAL = 1.2
# A run that exceeds its estimate is expected to take another half of the time
# by which it does; at first, half of the time by which one in ten does.
_OVERRUN_RATIO = 0.5
_DIGITS = 2


@attrs.frozen(slots=True, kw_only=True)
class TaskDuration:
    """Expected duration of a task on a worker of usual speed.

    :ivar mean_s: mean duration.
    :ivar tail_s: duration that one task in ten exceeds.
    :ivar run_count: finished runs behind it, 0 for a declared estimate.
    """

    mean_s: float
    tail_s: float
    run_count: float = 0


class StageDurations:
    """Durations of tasks and speeds of workers.

    Without finished runs the declared estimates hold, and all workers have the
    usual speed.

    :ivar learned_count: number of runs that taught something.
    """

    def __init__(self, metrics: Metrics | None = None) -> None:
        """Start without finished runs."""
        self.learned_count = 0
        self._metrics = metrics
        self._model = DurationModel()
        self._tasks: dict[Stage, TaskDuration] = {}
        self._slowdowns: dict[str, float] = {}
        self._slow_workers: set[str] = set()
        self._refreshed_at_s = -math.inf

    def task(self, stage: Stage) -> TaskDuration:
        """Return the expected duration of a task of a stage."""
        found = self._tasks.get(stage)
        if found is None:
            found = self._estimate(stage)
            self._tasks[stage] = found
        return found

    def slowdown(self, worker_id: str) -> float:
        """Return by which factor runs take longer on a worker than usual."""
        return self._slowdowns.get(worker_id, 1)

    def run_s(self, stage: Stage, worker_id: str) -> float:
        """Return the mean duration of a task of a stage on a worker."""
        return self.task(stage).mean_s * self.slowdown(worker_id)

    def tail_s(self, stage: Stage, worker_id: str) -> float:
        """Return the duration on a worker that one task in ten exceeds."""
        return self.task(stage).tail_s * self.slowdown(worker_id)

    def remaining_s(self, run: Run, now_s: float) -> float:
        """Return the expected time until a run ends, at least 0.

        It grows again once the run has exceeded its expected duration.
        """
        elapsed_s = now_s - (run.confirmed_at_s or now_s)
        task = self.task(run.stage)
        slowdown = self.slowdown(run.worker_id)
        left_s = task.mean_s * slowdown - elapsed_s
        spread_s = (task.tail_s - task.mean_s) * slowdown
        return max(
            left_s, _OVERRUN_RATIO * (max(0, spread_s) + max(0, -left_s))
        )

    def learn_end(
        self,
        run: Run,
        workers: Mapping[str, WorkerState],
        now_s: float,
    ) -> None:
        """Learn from a run that has just ended as done, if it tells anything.

        :param workers: all workers by their ids.
        """
        try:
            self._learn(run, workers, now_s)
        except Exception as error:
            # Whatever the error, the end of the run counts.
            log_warning('durations_not_learned', error=repr(error))

    def refresh(self, now_s: float) -> None:
        """Bring the speeds of all workers up to date, if that is due."""
        if now_s < self._refreshed_at_s + _REFRESH_S:
            return
        self._refreshed_at_s = now_s
        self._tasks.clear()
        try:
            slowdowns = self._model.slowdowns(now_s)
        except Exception as error:
            # Whatever the error, the scheduling goes on.
            log_warning('durations_not_refreshed', error=repr(error))
            slowdowns = {}
        self._slowdowns = slowdowns
        for worker_id in self._slow_workers.union(slowdowns):
            self._log_slowdown(worker_id)

    def forget_worker(self, worker_id: str) -> None:
        """Forget a worker that is gone."""
        self._model.forget_worker(worker_id)
        self._slowdowns.pop(worker_id, None)
        self._slow_workers.discard(worker_id)

    def key_counts(self) -> dict[str, int]:
        """Return the number of learned keys by their kind."""
        return self._model.key_counts()

    def record(self) -> DurationRecord:
        """Return what was learned, for the next leader."""
        return self._model.record()

    def restore(self, record: DurationRecord, now_s: float) -> int:
        """Add what an earlier leader has learned; return the keys added."""
        restored_count = self._model.restore(record, now_s)
        self._refreshed_at_s = -math.inf
        self.refresh(now_s)
        return restored_count

    def _estimate(self, stage: Stage) -> TaskDuration:
        declared_s = stage.step.estimate_s
        try:
            estimate = self._model.estimate(_work_of(stage), 0)
        except Exception as error:
            # Whatever the error, the scheduling goes on.
            log_warning('duration_not_estimated', error=repr(error))
            return TaskDuration(mean_s=declared_s, tail_s=declared_s)
        if not estimate.run_count:
            return TaskDuration(mean_s=declared_s, tail_s=declared_s)
        return TaskDuration(
            mean_s=estimate.mean_s,
            tail_s=estimate.tail_s,
            run_count=estimate.run_count,
        )

    def _learn(
        self,
        run: Run,
        workers: Mapping[str, WorkerState],
        now_s: float,
    ) -> None:
        stage = run.stage
        members = _members_of(run)
        if not members or not _is_near_data(stage, members, workers):
            return
        run_s = now_s - max(member.confirmed_at_s for member in members)
        worker_ids = {member.worker_id for member in members}
        worker_id = run.worker_id
        # The slowest member determines how long a gang takes.
        slowdown = max(map(self.slowdown, worker_ids))
        expected_s = self.task(stage).mean_s * slowdown
        if len(worker_ids) > 1:
            worker_id = ''
            run_s /= slowdown
            expected_s /= slowdown
        finished = FinishedRun(
            work=_work_of(stage),
            worker_id=worker_id,
            run_s=run_s,
            ended_at_s=now_s,
        )
        if not self._model.learn(finished):
            return
        self.learned_count += 1
        if self._metrics is not None and expected_s:
            self._metrics.record_duration_ratio(
                stage.job_progress.job.queue.name, run_s / expected_s
            )
        self._tasks.pop(stage, None)
        if worker_id:
            self._update_slowdown(worker_id, now_s)
        self.refresh(now_s)

    def _update_slowdown(self, worker_id: str, now_s: float) -> None:
        slowdown = self._model.slowdown(worker_id, now_s)
        if slowdown == 1:
            self._slowdowns.pop(worker_id, None)
        else:
            self._slowdowns[worker_id] = slowdown
        self._log_slowdown(worker_id)

    def _log_slowdown(self, worker_id: str) -> None:
        """Log a worker that has become slow or is no longer."""
        slowdown = self.slowdown(worker_id)
        if worker_id in self._slow_workers:
            if slowdown < _USUAL:
                self._slow_workers.discard(worker_id)
                log_event('worker_usual', worker=worker_id)
        elif slowdown >= _SLOW:
            self._slow_workers.add(worker_id)
            log_event(
                'worker_slow',
                worker=worker_id,
                slowdown=round(slowdown, _DIGITS),
            )


def _work_of(stage: Stage) -> Work:
    """Return what is known of a task of a stage.

    The occurrences of a job have the same steps. A step with a single duration
    in all has no siblings to learn from.
    """
    job = stage.job_progress.job
    is_single = stage.step.is_gang or stage.step.task_count == 1
    has_siblings = not is_single or job.occurrence_count > 1
    return Work(
        queue=job.queue.name,
        team=job.team,
        step_id=f'{job.job_id}.{stage.step_number}' if has_siblings else '',
        declared_s=stage.step.estimate_s,
    )


def _members_of(run: Run) -> list[Run]:
    """Return the runs that a duration is measured from, if it is known.

    The tasks of a gang end together, so its first end stands for all of them.
    Best-effort tasks use idle processor time only, so their durations depend on
    the tasks beside them.
    """
    stage = run.stage
    step = stage.step
    if step.is_lasting or step.is_filling:
        return []
    if stage.tasks[run.task.index].is_done:
        return []
    members: list[Run] = [run]
    if step.is_gang:
        members = [task.run for task in stage.tasks if task.run is not None]
        if len(members) < step.task_count:
            return []
    is_known = all(
        member.is_whole
        and member.phase is RunPhase.RUNNING
        and member.confirmed_at_s
        for member in members
    )
    return members if is_known else []


def _is_near_data(
    stage: Stage,
    members: Sequence[Run],
    workers: Mapping[str, WorkerState],
) -> bool:
    """Tell whether no distance between racks has slowed runs down.

    A worker that has not answered for a while may have ended a run long before
    its end is heard.
    """
    found = [workers.get(member.worker_id) for member in members]
    labels = [worker.report.labels for worker in found if worker is not None]
    if not all(worker is not None and worker.is_usable for worker in found):
        return False
    step = stage.step
    if step.data_rack:
        if not all(step.data_rack in present for present in labels):
            return False
    if not step.is_rack_local or step.task_count == 1:
        return True
    # Racks are labels like others. It is not known where the ended tasks of a
    # step that is no gang ran.
    return step.is_gang and len(set(labels)) == 1
