"""All jobs, runs and workers that the deciding daemon knows."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_jobs._left_out import LeftOutJobs
from currantreach_jobs._model import EndKind, JobState
from currantreach_jobs._pace import TeamPace
from currantreach_jobs._progress import JobProgress, Run, RunPhase, Stage
from currantreach_jobs._records import Placement
from currantreach_jobs._usage import TeamUse, WorkerState
from currantreach_telemetry import log_event
from currantreach_types import unix_now_ms

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from currantreach_jobs._model import (
        EndedRun,
        Job,
        RunningRun,
        TaskKey,
        WorkerReport,
    )
    from currantreach_jobs._records import ProgressRecord
    from currantreach_telemetry import Metrics
    from currantreach_types import Clock

__all__ = ('ClusterState',)

_MS_PER_S = 1000
# Retries of a start that a worker refused are spread over this time.
_REFUSED_PAUSE_S = 0.2


class ClusterState:
    """State of the scheduler, and each change that it may undergo."""

    def __init__(
        self,
        clock: Clock,
        mark_changed: Callable[[str], None],
        wake: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        """Start empty.

        :ivar count_retry: counts a retry, by its reason.
        :ivar unreadable: jobs whose records cannot be used. What they have
            running is not known, so nothing of them is started.
        :ivar quarantined: those of them that are not cancelled.
        :ivar jobs_loaded: set once all accepted jobs are known.
        :param mark_changed: called with the id of a job whose record has to
            be written.
        :param wake: called when something may be started or stopped.
        """
        self.jobs: dict[str, JobProgress] = {}
        self.open_jobs: dict[str, JobProgress] = {}
        self.unreadable: set[str] = set()
        self.workers: dict[str, WorkerState] = {}
        self.teams = TeamUse()
        self.quarantined = LeftOutJobs(self.teams)
        self.pace = TeamPace()
        self.pending_stops: list[Run] = []
        self.jobs_loaded = asyncio.Event()
        self._clock = clock
        self._mark_changed = mark_changed
        self._wake = wake
        self._metrics = metrics
        self.count_retry = metrics.record_retry

    def pop_pending_stops(self) -> list[Run]:
        """Return the runs to be stopped and forget them."""
        runs = self.pending_stops
        self.pending_stops = []
        return runs

    def add_job(
        self,
        job: Job,
        record: ProgressRecord | None = None,
        first_attempt: int = 0,
        weight: int = 0,
    ) -> None:
        """Add an accepted job.

        :param weight: jobs a second that its team has a claim to.
        :raises MalformedMessageError: if the record does not fit the job.
        """
        if job.job_id in self.jobs or job.job_id in self.unreadable:
            return
        age_s = max(0, unix_now_ms() - job.accepted_unix_ms) / _MS_PER_S
        progress = JobProgress(
            job=job,
            first_attempt=first_attempt,
            accepted_at_s=self._clock.now_s() - age_s,
        )
        progress.take_over(record)
        progress.is_excess = self.pace.note(
            job.team,
            weight,
            progress.accepted_at_s,
        )
        self._count_held(progress)
        self.jobs[job.job_id] = progress
        if not progress.state.is_final:
            self.open_jobs[job.job_id] = progress
        self._wake()

    def cancel(self, job_id: str) -> None:
        """Cancel a job that has not ended yet."""
        self.quarantined.cancel(job_id)
        progress = self.jobs.get(job_id)
        if progress is not None and not progress.state.is_final:
            self._end_job(progress, JobState.CANCELLED)

    def add_worker(self, report: WorkerReport) -> WorkerState:
        """Add a worker or take over its newer report."""
        room = self.workers.get(report.worker_id)
        if room is None:
            room = WorkerState(report=report, free=report.room)
            self.workers[report.worker_id] = room
        else:
            room.update(report)
        self._wake()
        return room

    def remove_worker(self, worker_id: str) -> None:
        """Forget a worker on which nothing runs any more."""
        self.mark_worker_lost(worker_id)
        self.workers.pop(worker_id, None)

    def mark_worker_lost(self, worker_id: str, silent_s: float = 0) -> None:
        """Note that nothing runs on a worker any more.

        :param silent_s: how long its tasks were held back for its leases.
        """
        if silent_s:
            self._metrics.record_worker_silence(silent_s)
        room = self.workers.get(worker_id)
        if room is not None:
            self.quarantined.update_runs(room, ())
        for run in tuple(room.running()) if room else ():
            self.mark_run_lost(run)
        self.release_inherited(worker_id)

    def create_run(
        self,
        stage: Stage,
        index: int,
        worker_id: str,
        attempt: int,
    ) -> Run:
        """Note that a run is about to be ordered."""
        task = stage.tasks[index]
        task.attempt_count = attempt
        stage.waiting.discard(index)
        run = Run(
            task=stage.key_of(index),
            attempt=attempt,
            worker_id=worker_id,
            phase=RunPhase.STARTING,
            stage=stage,
            sent_at_s=self._clock.now_s(),
        )
        task.run = run
        self._occupy(run)
        self._mark_changed(run.task.job_id)
        return run

    def confirm_start(self, run: Run) -> None:
        """Note that a worker has started a run."""
        if run.phase is RunPhase.OVER:
            return
        run.confirmed_at_s = self._clock.now_s()
        if run.phase is RunPhase.STARTING:
            run.phase = RunPhase.RUNNING
        run.stage.owner.has_started = True
        if not run.stage.step.is_gang or run.stage.is_whole():
            run.stage.begin_wait(self._clock.now_s())

    def refuse_start(self, run: Run, reason: str) -> None:
        """Note that a worker certainly did not start a run."""
        stage = run.stage
        self._metrics.record_retry(f'start_{reason}')
        log_event(
            'start_refused',
            job=run.task.job_id,
            step=run.task.step,
            worker=run.worker_id,
            reason=reason,
        )
        stage.retry_at_s = self._clock.now_s() + _REFUSED_PAUSE_S
        stage.tickets.pop(run.worker_id, None)
        self._release(run)
        if stage.step.is_gang:
            self.stop_stage(stage)

    def stop(self, run: Run, reason: str = '') -> None:
        """Ask for a run to be stopped.

        :param reason: counted as the reason of a retry, if there is one.
        """
        if reason:
            self._metrics.record_retry(reason)
        if run.phase not in {RunPhase.STOPPING, RunPhase.OVER}:
            run.phase = RunPhase.STOPPING
            run.confirmed_at_s = 0
            self.pending_stops.append(run)
            self._wake()

    def stop_stage(self, stage: Stage) -> None:
        """Ask for all runs of a stage to be stopped."""
        for task in stage.tasks:
            if task.run is not None:
                self.stop(task.run)

    def mark_run_lost(self, run: Run) -> None:
        """Note that a run is over without an end that counts."""
        self._metrics.record_retry('run_lost')
        _log_run('run_lost', run, run.worker_id)
        self._release(run)
        if run.stage.step.is_gang:
            self.stop_stage(run.stage)

    def adopt(self, worker_id: str, found: RunningRun) -> Run | None:
        """Take over a run that an earlier owner has started.

        :returns: the run, or nothing if it is not wanted any more.
        """
        stage = self.stage_of(found.task)
        if stage is None or stage.owner.state.is_final:
            return None
        place = Placement(worker_id, found.attempt)
        if not stage.is_held_as(found.task.index, place):
            return None
        task = stage.tasks[found.task.index]
        self._release_held(stage, found.task.index)
        run = self.create_run(stage, found.task.index, worker_id, found.attempt)
        task.checkpoint = found.checkpoint or task.checkpoint
        self.confirm_start(run)
        return run

    def release_inherited(self, worker_id: str) -> None:
        """Note that all runs of earlier owners on a worker are known."""
        for progress in self.open_jobs.values():
            for stage in progress.stages.values():
                for index in stage.held_on(worker_id):
                    self._release_held(stage, index)
        self._wake()

    def release_inherited_of_unknown_workers(self) -> None:
        """Let tasks wait again whose worker is not among the known ones.

        A worker leaves the record of the fleet only after all its leases.
        """
        held: set[str] = set()
        for progress in self.open_jobs.values():
            held |= progress.held_workers()
        for gone in held - set(self.workers):
            self.release_inherited(gone)

    def run_of(self, task: TaskKey, attempt: int, worker_id: str) -> Run | None:
        """Return the run of a task on a worker, if it is known."""
        room = self.workers.get(worker_id)
        if room is None:
            return None
        return room.runs.get((task, attempt))

    def stage_of(self, task: TaskKey) -> Stage | None:
        """Return the stage of a task, if its job has not ended."""
        progress = self.jobs.get(task.job_id)
        if progress is None:
            return None
        stage = progress.stages.get((task.occurrence, task.step))
        if stage is None or task.index >= stage.step.task_count:
            return None
        return stage

    def end_run(
        self,
        worker_id: str,
        ended: EndedRun,
        is_inherited: bool = False,
    ) -> None:
        """Note an end that a worker lists.

        A task that is done stays done, whichever run of it ended so. Other
        ends belong to one run only.

        :param is_inherited: whether an earlier owner may have started the
            run.
        """
        stage = self._stage_of_run(worker_id, ended, is_inherited)
        if stage is None and ended.kind is EndKind.DONE:
            stage = self.stage_of(ended.task)
            if stage is not None and not stage.step.is_lasting:
                log_event(
                    'end_of_other_run',
                    job=ended.task.job_id,
                    step=ended.task.step,
                    task=ended.task.index,
                    attempt=ended.attempt,
                    worker=worker_id,
                    is_done=stage.tasks[ended.task.index].is_done,
                )
        if stage is None or stage.owner.state.is_final:
            return
        task = stage.tasks[ended.task.index]
        task.attempt_count = max(task.attempt_count, ended.attempt)
        task.checkpoint = ended.checkpoint or task.checkpoint
        if ended.kind is EndKind.DONE:
            self._note_done(stage, ended, worker_id)
        elif ended.kind is EndKind.FAILED:
            self._note_failed(stage, ended, worker_id)
        else:
            self._metrics.record_retry(f'run_{ended.kind}')
            _log_run('run_cut_short', ended, worker_id, how=ended.kind)
            if stage.step.is_gang:
                self.stop_stage(stage)

    def ready_stages(self) -> Iterator[Stage]:
        """Yield all stages with tasks that may be started."""
        unix_ms = unix_now_ms()
        for progress in self.open_jobs.values():
            if not progress.is_unwritable:
                yield from progress.ready_stages(unix_ms)

    def pending_count(self, queue_name: str) -> int:
        """Return the number of jobs of a queue that have not begun."""
        return sum(
            1
            for progress in self.open_jobs.values()
            if progress.job.queue.name == queue_name
            and not progress.has_started
        )

    def _note_done(
        self,
        stage: Stage,
        ended: EndedRun,
        worker_id: str,
    ) -> None:
        room = self.workers.get(worker_id)
        if room is not None:
            room.failed_jobs.clear()
        if stage.step.is_lasting:
            return
        if stage.tasks[ended.task.index].is_done:
            return
        progress = stage.owner
        progress.has_started = True
        # All members of a gang end together, so one end counts for all.
        indices = [ended.task.index]
        if stage.step.is_gang:
            indices = list(range(stage.step.task_count))
        for index in indices:
            self._finish(stage, index, ended.attempt)
        self._mark_changed(progress.job.job_id)
        if stage.is_done:
            log_event(
                'stage_done',
                job=progress.job.job_id,
                step=stage.number,
                attempt=ended.attempt,
                worker=worker_id,
            )
        if progress.is_all_done():
            self._end_job(progress, JobState.COMPLETE)
        self._wake()

    def _finish(self, stage: Stage, index: int, attempt: int) -> None:
        """Note that a task is done; a later run of it is not needed."""
        if index in stage.held:
            self._release_held(stage, index)
        stage.finish(index)
        run = stage.tasks[index].run
        if run is not None and run.attempt != attempt:
            self.stop(run)

    def _note_failed(
        self,
        stage: Stage,
        ended: EndedRun,
        worker_id: str,
    ) -> None:
        progress = stage.owner
        room = self.workers.get(worker_id)
        if room is not None:
            room.note_failure(progress.job.job_id, self._clock.now_s())
        if stage.step.is_lasting:
            return
        task = stage.tasks[ended.task.index]
        task.failure_count += 1
        progress.has_started = True
        self._mark_changed(progress.job.job_id)
        failures = task.failure_count
        if stage.step.is_gang:
            self.stop_stage(stage)
            failures = sum(member.failure_count for member in stage.tasks)
        self._metrics.record_retry('run_failed')
        _log_run(
            'run_failed',
            ended,
            worker_id,
            failures=failures,
            most=progress.job.queue.max_attempts,
        )
        if failures >= progress.job.queue.max_attempts:
            self._end_job(progress, JobState.FAILED)

    def _end_job(self, progress: JobProgress, state: JobState) -> None:
        progress.state = state
        self.open_jobs.pop(progress.job.job_id, None)
        progress.ended_unix_ms = unix_now_ms()
        self._metrics.record_request_end(progress.job.queue.name, state)
        log_event(
            'job_ended',
            job=progress.job.job_id,
            queue=progress.job.queue.name,
            state=state,
            after_s=round(self._clock.now_s() - progress.accepted_at_s, 3),
        )
        for stage in progress.stages.values():
            for index in tuple(stage.held):
                self._release_held(stage, index)
            stage.waiting.clear()
            if state is not JobState.COMPLETE:
                self.stop_stage(stage)
        self._mark_changed(progress.job.job_id)
        self._wake()

    def _stage_of_run(
        self,
        worker_id: str,
        ended: EndedRun,
        is_inherited: bool,
    ) -> Stage | None:
        """Give up the run that has ended; return its stage, if it is known."""
        run = self.run_of(ended.task, ended.attempt, worker_id)
        if run is not None:
            self._release(run)
            return run.stage
        stage = self.stage_of(ended.task)
        place = Placement(worker_id, ended.attempt)
        if stage is None or not is_inherited:
            return None
        if not stage.is_held_as(ended.task.index, place):
            return None
        self._release_held(stage, ended.task.index)
        return stage

    def _count_held(self, progress: JobProgress) -> None:
        """Let held tasks count against the limit of their team."""
        for stage in progress.stages.values():
            for _ in stage.held:
                self.teams.add(progress.job.team, stage.step.needed)

    def _release_held(self, stage: Stage, index: int) -> None:
        stage.held.pop(index)
        stage.waiting.add(index)
        self.teams.remove(stage.owner.job.team, stage.step.needed)

    def _occupy(self, run: Run) -> None:
        self.workers[run.worker_id].add(run)
        self.teams.add(run.stage.owner.job.team, run.stage.step.needed)

    def _release(self, run: Run) -> None:
        room = self.workers.get(run.worker_id)
        if room is None or (run.task, run.attempt) not in room.runs:
            return
        room.remove(run)
        if run.phase is not RunPhase.STARTING and not run.stage.waiting:
            run.stage.begin_wait(self._clock.now_s())
        # An order that was not sent yet must not be sent any more.
        run.phase = RunPhase.OVER
        self.teams.remove(run.stage.owner.job.team, run.stage.step.needed)
        stage = run.stage
        task = stage.tasks[run.task.index]
        if task.run is run:
            task.run = None
            if not task.is_done and not stage.owner.state.is_final:
                stage.waiting.add(run.task.index)
        self._wake()


def _log_run(
    event: str,
    run: Run | EndedRun,
    worker_id: str,
    **fields: object,
) -> None:
    log_event(
        event,
        job=run.task.job_id,
        step=run.task.step,
        task=run.task.index,
        attempt=run.attempt,
        worker=worker_id,
        **fields,
    )
