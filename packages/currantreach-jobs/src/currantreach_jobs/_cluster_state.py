"""State of all jobs, runs and workers that the leader knows."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from currantreach_jobs._evacuations import Evacuations
from currantreach_jobs._inherited import inherited_on
from currantreach_jobs._memory import JobMemory
from currantreach_jobs._model import EndKind, JobState
from currantreach_jobs._occurrences import DueOccurrences
from currantreach_jobs._progress import (
    JobProgress,
    Run,
    RunPhase,
    Stage,
    drop_tickets,
)
from currantreach_jobs._quarantine import QuarantinedJobs
from currantreach_jobs._records import Placement
from currantreach_jobs._stage_durations import StageDurations
from currantreach_jobs._team_rates import TeamRates
from currantreach_jobs._usage import TeamUsage, WorkerState
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
    from currantreach_types import Clock, Resources

__all__ = ('ClusterState',)

_MS_PER_S = 1000
# Pause of a stage after a start that certainly had no effect. The retries of
# all its tasks wait for its end.
_REFUSED_PAUSE_S = 0.2
# Ends of these kinds decide about a task, so each of them has a log line.
_COUNTED_KINDS = frozenset((EndKind.DONE, EndKind.FAILED))


class ClusterState:
    """State of all jobs, runs and workers, and its transitions."""

    def __init__(
        self,
        clock: Clock,
        mark_changed: Callable[[str], None],
        wake: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        """Create an empty state.

        :ivar open_jobs: jobs that have not ended.
        :ivar unreadable: jobs whose records cannot be used. Their runs are
            not known, so nothing of them is started.
        :ivar quarantined: those of them that are not cancelled.
        :ivar largest_rooms: largest amount of each resource that a worker of a
            service has had in this leadership. A worker that is away for a
            moment counts, as it comes back.
        :ivar memory: estimated memory of the open jobs.
        :ivar durations: expected durations of tasks and speeds of workers.
        :ivar evacuations: failure domains in which nothing may be started.
        :ivar pending_stops: runs to be stopped, not yet sent to their workers.
        :ivar jobs_loaded: set once all accepted jobs are loaded.
        :ivar count_retry: counts a retry, by its reason.
        :param mark_changed: called with the id of a job whose record has to
            be written.
        :param wake: called when a run may be started or has to be stopped.
        """
        self.jobs: dict[str, JobProgress] = {}
        self.open_jobs: dict[str, JobProgress] = {}
        self.unreadable: set[str] = set()
        self.workers: dict[str, WorkerState] = {}
        self.largest_rooms: dict[str, Resources] = {}
        self.teams = TeamUsage()
        self.quarantined = QuarantinedJobs(self.teams)
        self.team_rates = TeamRates()
        self.pending_stops: list[Run] = []
        self.memory = JobMemory()
        self.durations = StageDurations(metrics)
        self.evacuations = Evacuations(self.workers, clock)
        self._due_occurrences = DueOccurrences(self.memory)
        self.jobs_loaded = asyncio.Event()
        self._clock = clock
        self._mark_changed = mark_changed
        self._wake = wake
        self._metrics = metrics
        self.count_retry = metrics.record_retry

    def pop_pending_stops(self) -> list[Run]:
        """Return the runs to be stopped and clear the list."""
        runs = self.pending_stops
        self.pending_stops = []
        return runs

    def add_job(
        self,
        job: Job,
        record: ProgressRecord | None = None,
        attempt_base: int = 0,
        weight: int = 0,
    ) -> None:
        """Add an accepted job.

        :param attempt_base: number after which its attempts are numbered.
        :param weight: share of its team in jobs a second, 0 for no share.
        :raises MalformedMessageError: if the record does not fit the job.
        """
        if job.job_id in self.jobs or job.job_id in self.unreadable:
            return
        age_s = max(0, unix_now_ms() - job.accepted_unix_ms) / _MS_PER_S
        progress = JobProgress(
            job=job,
            attempt_base=attempt_base,
            accepted_at_s=self._clock.now_s() - age_s,
        )
        progress.restore_job(record)
        progress.is_over_share = self.team_rates.record_job(
            job.team,
            weight,
            progress.accepted_at_s,
        )
        _count_inherited(self.teams, progress)
        self.jobs[job.job_id] = progress
        if not progress.state.is_final:
            self.open_jobs[job.job_id] = progress
            self.memory.add(progress)
            self._due_occurrences.add(progress, unix_now_ms())
        self._wake()

    def cancel(self, job_id: str) -> None:
        """Cancel a job that has not ended yet."""
        self.quarantined.cancel(job_id)
        progress = self.jobs.get(job_id)
        if progress is not None and not progress.state.is_final:
            self._end_job(progress, JobState.CANCELLED)

    def add_worker(self, report: WorkerReport) -> WorkerState:
        """Add a worker or apply a newer report of it."""
        worker = self.workers.get(report.worker_id)
        if worker is None:
            worker = WorkerState(report=report, free=report.room)
            self.workers[report.worker_id] = worker
        else:
            worker.update(report)
        largest = self.largest_rooms.get(report.service, report.room)
        self.largest_rooms[report.service] = largest.elementwise_max(
            report.room
        )
        self._wake()
        return worker

    def remove_worker(self, worker_id: str) -> None:
        """Remove a worker on which nothing runs any more."""
        self.mark_worker_lost(worker_id)
        drop_tickets(self.open_jobs.values(), worker_id)
        self.workers.pop(worker_id, None)
        self.durations.forget_worker(worker_id)

    def mark_worker_lost(
        self,
        worker_id: str,
        silent_s: float = 0,
        keeps_unlisted: bool = False,
    ) -> None:
        """Give up the runs on a worker, as they do not run any more.

        :param silent_s: how long its tasks waited for its leases to expire.
        :param keeps_unlisted: keep the runs that it has never listed, as they
            may still be active.
        """
        if silent_s:
            self._metrics.record_worker_silence(silent_s)
        worker = self.workers.get(worker_id)
        if worker is not None:
            self.quarantined.update_runs(worker, ())
        for run in tuple(worker.running()) if worker else ():
            if run.is_listed or not keeps_unlisted:
                self.mark_run_lost(run)
        self.drop_inherited(worker_id, keeps_unlisted)

    def create_run(
        self,
        stage: Stage,
        index: int,
        worker_id: str,
        attempt: int,
    ) -> Run:
        """Create a run that is about to be started on a worker."""
        task = stage.tasks[index]
        task.last_attempt = max(task.last_attempt, attempt)
        stage.waiting.discard(index)
        run = Run(
            task=stage.key_of(index),
            attempt=attempt,
            worker_id=worker_id,
            phase=RunPhase.STARTING,
            stage=stage,
            created_at_s=self._clock.now_s(),
            is_whole=not task.checkpoint,
        )
        task.run = run
        self._allocate(run)
        self._mark_changed(run.task.job_id)
        return run

    def confirm_start(self, run: Run) -> None:
        """Mark a run as started by its worker."""
        if run.phase is RunPhase.OVER:
            return
        run.stage.job_progress.has_started = True
        run.mark_running(self._clock.now_s())

    def mark_listed(self, run: Run, has_usual_lease: bool) -> None:
        """Mark a run as listed by its worker.

        Records of services say that it has a usual lease, as a successor has to
        start those on a lost worker again soon. Other records say it as of
        their next change.

        :param has_usual_lease: whether a successor waits for the lease of the
            worker.
        """
        run.stage.job_progress.has_started = True
        run.is_listed = True
        if has_usual_lease and not run.has_usual_lease:
            run.has_usual_lease = True
            if run.stage.step.is_lasting:
                self._mark_changed(run.task.job_id)

    def abandon_start(self, run: Run, reason: str) -> None:
        """Give up a run that its worker certainly did not start.

        The worker refused it, or the start order was never sent or never
        delivered. A run that is over already was given up for another reason
        meanwhile, and its task may have a later run.

        :param reason: why, under which the retry is counted and logged.
        """
        if run.phase is RunPhase.OVER:
            return
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
        self._deallocate(run)
        if stage.step.is_gang:
            self.stop_stage(stage)

    def stop(self, run: Run, reason: str = '') -> None:
        """Request that a run is stopped.

        :param reason: reason under which a retry is counted, if any.
        """
        if reason:
            self._metrics.record_retry(reason)
        if run.phase not in {RunPhase.STOPPING, RunPhase.OVER}:
            run.phase = RunPhase.STOPPING
            run.confirmed_at_s = 0
            self.pending_stops.append(run)
            self._wake()

    def stop_stage(self, stage: Stage) -> None:
        """Request that all runs of a stage are stopped."""
        for task in stage.tasks:
            if task.run is not None:
                self.stop(task.run)

    def mark_run_lost(self, run: Run) -> None:
        """Give up a run that is gone without a reported end."""
        self._metrics.record_retry('run_lost')
        _log_run('run_lost', run, run.worker_id)
        self._deallocate(run)
        if run.stage.step.is_gang:
            self.stop_stage(run.stage)

    def adopt(
        self,
        worker_id: str,
        found: RunningRun,
        is_listed: bool = True,
    ) -> Run | None:
        """Adopt a run that an earlier leader has ordered.

        :param is_listed: whether the worker lists it. Otherwise it is not known
            whether the run was started.
        :returns: the run, or nothing if its task does not need it any more.
        """
        stage = self.stage_of(found.task)
        if stage is None or stage.job_progress.state.is_final:
            return None
        placement = Placement(worker_id, found.attempt)
        if not stage.is_inherited_as(found.task.index, placement):
            return None
        task = stage.tasks[found.task.index]
        self._drop_inherited(stage, found.task.index)
        run = self.create_run(stage, found.task.index, worker_id, found.attempt)
        task.checkpoint = found.checkpoint or task.checkpoint
        run.is_listed = is_listed
        run.is_whole = False
        if is_listed:
            stage.job_progress.has_started = True
        run.mark_running(self._clock.now_s())
        return run

    def drop_inherited(
        self, worker_id: str, keeps_unlisted: bool = False
    ) -> None:
        """Drop the inherited placements on a worker.

        Called once all runs of earlier leaders on it are known, so that the
        tasks without a run there wait again.

        :param keeps_unlisted: keep those that may have longer leases than
            usual, as the worker has never listed them to an earlier leader, or
            only soon after its election.
        """
        for stage, index in inherited_on(self.open_jobs.values(), worker_id):
            if index in stage.usual_leases or not keeps_unlisted:
                self._drop_inherited(stage, index)
        self._wake()

    def drop_inherited_of_unknown_workers(self) -> None:
        """Drop the inherited placements on workers that are not known.

        Nothing of them runs, as a worker is removed from the fleet record only
        after all its leases have expired.
        """
        inherited: set[str] = set()
        for progress in self.open_jobs.values():
            inherited |= progress.inherited_workers()
        for gone in inherited - set(self.workers):
            self.drop_inherited(gone)

    def run_of(self, task: TaskKey, attempt: int, worker_id: str) -> Run | None:
        """Return the run of a task on a worker, if it is known."""
        worker = self.workers.get(worker_id)
        if worker is None:
            return None
        return worker.runs.get((task, attempt))

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
        """Process the end of a run that a worker reports.

        A task is done once any of its runs ends as done. Other ends count
        only for the run that they belong to.

        :param is_inherited: whether an earlier leader may have started the
            run.
        """
        stage = self._stage_of_run(worker_id, ended, is_inherited)
        if stage is None and ended.kind in _COUNTED_KINDS:
            other_stage = self.stage_of(ended.task)
            if other_stage is not None and not other_stage.step.is_lasting:
                _log_run(
                    'end_of_other_run',
                    ended,
                    worker_id,
                    how=ended.kind,
                    is_done=other_stage.tasks[ended.task.index].is_done,
                )
            if ended.kind is EndKind.DONE:
                stage = other_stage
        if stage is None or stage.job_progress.state.is_final:
            return
        stage.job_progress.has_started = True
        task = stage.tasks[ended.task.index]
        task.last_attempt = max(task.last_attempt, ended.attempt)
        task.checkpoint = ended.checkpoint or task.checkpoint
        if ended.kind is EndKind.DONE:
            self._process_done(stage, ended, worker_id)
        elif ended.kind is EndKind.FAILED:
            self._process_failed(stage, ended, worker_id)
        else:
            self._metrics.record_retry(f'run_{ended.kind}')
            _log_run('run_cut_short', ended, worker_id, how=ended.kind)
            if stage.step.is_gang:
                self.stop_stage(stage)

    def ready_stages(self, is_urgent: bool = False) -> Iterator[Stage]:
        """Yield the stages with tasks that may be started.

        :param is_urgent: whether to yield those of urgent queues only.
        """
        unix_ms = unix_now_ms()
        self._due_occurrences.open_due(unix_ms)
        for progress in self.open_jobs.values():
            if is_urgent and progress.job.queue.priority:
                continue
            if not progress.is_unwritable:
                yield from progress.ready_stages(unix_ms)

    def pending_count(self, queue_name: str) -> int:
        """Return the number of jobs of a queue that have not started.

        A job counts until a worker confirms or lists one of its runs. An
        inherited placement is no proof, as the worker may have refused it.
        """
        return sum(
            1
            for progress in self.open_jobs.values()
            if progress.job.queue.name == queue_name
            and not progress.has_started
        )

    def _process_done(
        self,
        stage: Stage,
        ended: EndedRun,
        worker_id: str,
    ) -> None:
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.failed_jobs.clear()
        if stage.step.is_lasting:
            return
        if stage.tasks[ended.task.index].is_done:
            return
        progress = stage.job_progress
        # The tasks of a gang end together, so one end counts for all of them.
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
                step=stage.step_number,
                attempt=ended.attempt,
                worker=worker_id,
            )
            progress.close_if_done(stage.occurrence)
            self.memory.update(progress)
        if progress.is_all_done():
            self._end_job(progress, JobState.COMPLETE)
        self._wake()

    def _finish(self, stage: Stage, index: int, attempt: int) -> None:
        """Mark a task as done; stop its current run if another one ended."""
        if index in stage.inherited:
            self._drop_inherited(stage, index)
        stage.finish(index)
        run = stage.tasks[index].run
        if run is not None and run.attempt != attempt:
            self.stop(run)

    def _process_failed(
        self,
        stage: Stage,
        ended: EndedRun,
        worker_id: str,
    ) -> None:
        progress = stage.job_progress
        worker = self.workers.get(worker_id)
        if worker is not None:
            worker.record_failure(progress.job.job_id, self._clock.now_s())
        if stage.step.is_lasting:
            return
        if stage.tasks[ended.task.index].is_done:
            # Another run of the task was done before this one was stopped.
            _log_run('run_cut_short', ended, worker_id, how=ended.kind)
            return
        is_counted = stage.count_failure(ended.task.index, ended.attempt)
        if is_counted:
            self._metrics.record_retry('run_failed')
        self._mark_changed(progress.job.job_id)
        failures = stage.failure_count_of(ended.task.index)
        if stage.step.is_gang:
            self.stop_stage(stage)
        _log_run(
            'run_failed',
            ended,
            worker_id,
            failures=failures,
            most=progress.job.queue.max_attempts,
            is_counted=is_counted,
        )
        if failures >= progress.job.queue.max_attempts:
            self._end_job(progress, JobState.FAILED)

    def _end_job(self, progress: JobProgress, state: JobState) -> None:
        progress.state = state
        self.open_jobs.pop(progress.job.job_id, None)
        self._due_occurrences.discard(progress.job.job_id)
        self.memory.discard(progress.job.job_id)
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
            for index in tuple(stage.inherited):
                self._drop_inherited(stage, index)
            stage.waiting.clear()
            if state is not JobState.COMPLETE:
                self.stop_stage(stage)
        progress.drop_stages()
        self._mark_changed(progress.job.job_id)
        self._wake()

    def _stage_of_run(
        self,
        worker_id: str,
        ended: EndedRun,
        is_inherited: bool,
    ) -> Stage | None:
        """Free the run that has ended; return its stage, if it is known."""
        run = self.run_of(ended.task, ended.attempt, worker_id)
        if run is not None:
            if ended.kind is EndKind.DONE:
                self.durations.learn_end(run, self.workers, self._clock.now_s())
            self._deallocate(run)
            return run.stage
        stage = self.stage_of(ended.task)
        placement = Placement(worker_id, ended.attempt)
        if stage is None or not is_inherited:
            return None
        if not stage.is_inherited_as(ended.task.index, placement):
            return None
        self._drop_inherited(stage, ended.task.index)
        return stage

    def _drop_inherited(self, stage: Stage, index: int) -> None:
        stage.inherited.pop(index)
        stage.waiting.add(index)
        self.teams.remove(stage.job_progress.job.team, stage.step.needed)

    def _allocate(self, run: Run) -> None:
        self.workers[run.worker_id].add(run)
        self.teams.add(run.stage.job_progress.job.team, run.stage.step.needed)

    def _deallocate(self, run: Run) -> None:
        worker = self.workers.get(run.worker_id)
        if worker is None or (run.task, run.attempt) not in worker.runs:
            return
        worker.remove(run)
        if run.phase is not RunPhase.STARTING and not run.stage.waiting:
            run.stage.begin_wait(self._clock.now_s())
        # A start or stop call that was not sent yet must not be sent any more.
        run.phase = RunPhase.OVER
        self.teams.remove(
            run.stage.job_progress.job.team, run.stage.step.needed
        )
        stage = run.stage
        task = stage.tasks[run.task.index]
        if task.run is run:
            task.run = None
            if not task.is_done and not stage.job_progress.state.is_final:
                stage.waiting.add(run.task.index)
        self._wake()


def _count_inherited(teams: TeamUsage, progress: JobProgress) -> None:
    """Count inherited placements against the limit of the team."""
    for stage in progress.stages.values():
        for _ in stage.inherited:
            teams.add(progress.job.team, stage.step.needed)


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
