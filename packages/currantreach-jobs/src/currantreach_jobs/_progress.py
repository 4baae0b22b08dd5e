"""In-memory state of accepted jobs, their steps and their runs."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._model import (
    Job,
    JobState,
    RunningRun,
    Step,
    TaskKey,
)
from currantreach_jobs._records import Placement, ProgressRecord, StageRecord
from currantreach_jobs._wait_reasons import WaitReason
from currantreach_types import Resources
from currantreach_types.errors import MalformedMessageError

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

__all__ = (
    'JobProgress',
    'Run',
    'RunPhase',
    'Stage',
    'TaskProgress',
    'drop_tickets',
)

# The result of a job that takes longer than this multiple of its objective is
# of no use to its caller; the job runs only when no other needs the capacity.
_DEADLINE_FACTOR = 3
# Wait after which its reason is logged first. Advice calls and writes of start
# records take less time under normal load.
_FIRST_LOG_S = 1


class RunPhase(enum.Enum):
    """Phases of a run from the scheduler's point of view."""

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    OVER = 'over'


def resource_demand(step: Step) -> Resources:
    """Return the resources that a task uses on its worker.

    A best-effort task uses only idle processor time.
    """
    if step.is_filling:
        return attrs.evolve(step.needed, cpu_milli=0)
    return step.needed


@attrs.define(slots=True, kw_only=True, eq=False)
class Run:
    """One run of a task on a worker.

    :ivar created_at_s: when this daemon decided to start or adopt it.
    :ivar confirmed_at_s: when the worker confirmed the start or stop, 0 before.
        From then on the worker lists the run until it has ended.
    :ivar is_listed: whether the worker has listed the run to this leader.
    :ivar has_usual_lease: whether the worker has listed it while its lease was
        no longer than a successor waits for. No stray order extends it then.
    :ivar is_whole: whether this leader ordered it, without a checkpoint.
    """

    task: TaskKey
    attempt: int
    worker_id: str
    phase: RunPhase
    stage: Stage
    created_at_s: float
    confirmed_at_s: float = 0
    is_listed: bool = False
    has_usual_lease: bool = False
    is_whole: bool = False
    ticket: str = ''

    def mark_running(self, now_s: float) -> None:
        """Mark the run as running from now on, unless it is to be stopped."""
        self.confirmed_at_s = now_s
        if self.phase is RunPhase.STARTING:
            self.phase = RunPhase.RUNNING
        if not self.stage.step.is_gang or self.stage.is_fully_running():
            self.stage.begin_wait(now_s)


@attrs.define(slots=True, kw_only=True, eq=False)
class TaskProgress:
    """State of a task.

    :ivar last_attempt: highest attempt number used so far.
    :ivar failure_count: failed runs, which count against ``max_attempts``;
        those of a gang as a whole are counted at its first task.
    :ivar checkpoint: newest checkpoint, empty for none.
    """

    last_attempt: int
    is_done: bool = False
    failure_count: int = 0
    checkpoint: str = ''
    run: Run | None = None


@attrs.define(slots=True, kw_only=True, eq=False)
class Stage:
    """State of one step of one occurrence of a job.

    :ivar demand: resources that each task uses on a worker.
    :ivar mean_s: expected duration of a task on a usual worker.
    :ivar tail_s: duration on a usual worker that one task in ten exceeds.
    :ivar remaining_s: expected time from the start of the stage until the
        job is complete.
    :ivar waiting: indices of the tasks that have no run and are not done.
    :ivar inherited: placements by an earlier leader on workers whose runs are
        not known yet, by the index of the task.
    :ivar usual_leases: tasks with such a placement whose run had a usual lease
        under an earlier leader.
    :ivar counted_attempt: attempt number of the last counted failed run of a
        gang, 0 for none.
    :ivar allowed: answers of the placement service by worker.
    :ivar tickets: code and end of validity by worker.
    :ivar next_search_at_s: earliest time of the next search of all workers.
    :ivar next_forecast_at_s: earliest time of the next forecast of its
        capacity, after one without a result.
    :ivar next_ahead_at_s: earliest time of the next look at a call ahead of
        its start, after one with nothing to ask.
    :ivar advice_deadline_s: when the advice call in flight times out, 0 for
        none.
    :ivar advice_call_count: advice calls made so far.
    :ivar expected_start_s: when enough capacity is expected on workers that are
        known to be allowed, 0 if it is not known.
    :ivar target_start_s: earliest expected start so far, 0 if it is not known;
        it is replaced some time after it has passed.
    :ivar awaited_since_s: since when this capacity is less than a call away, 0
        if it is not.
    :ivar retry_at_s: end of the pause after a start that had no effect.
    :ivar wait_began_s: when the stage became startable, a worker confirmed its
        last start or its last run ended, whichever is latest; 0 before it is
        startable.
    :ivar last_boost_ended_at_s: end of its last priority boost.
    :ivar log_after_s: wait after which the reason is logged next.
    :ivar wait_reason: why it was not started in the last round.
    :ivar capacity_wait_reason: why it found no capacity, as last logged.
    """

    job_progress: JobProgress
    occurrence: int
    step_number: int
    step: Step
    tasks: list[TaskProgress]
    waiting: set[int]
    demand: Resources = attrs.field(
        default=attrs.Factory(
            lambda stage: resource_demand(stage.step),
            takes_self=True,
        ),
    )
    mean_s: float = attrs.field(
        default=attrs.Factory(
            lambda stage: stage.step.estimate_s,
            takes_self=True,
        ),
    )
    tail_s: float = attrs.field(
        default=attrs.Factory(
            lambda stage: stage.step.estimate_s,
            takes_self=True,
        ),
    )
    remaining_s: float = 0
    done_count: int = 0
    inherited: dict[int, Placement] = attrs.field(factory=dict)
    usual_leases: frozenset[int] = frozenset()
    counted_attempt: int = 0
    allowed: dict[str, bool] = attrs.field(factory=dict)
    tickets: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    advice_deadline_s: float = 0
    advice_call_count: int = 0
    expected_start_s: float = 0
    target_start_s: float = 0
    awaited_since_s: float = 0
    retry_at_s: float = 0
    next_search_at_s: float = 0
    next_forecast_at_s: float = 0
    next_ahead_at_s: float = 0
    wait_began_s: float = 0
    last_boost_ended_at_s: float = 0
    log_after_s: float = _FIRST_LOG_S
    wait_reason: WaitReason = WaitReason.NO_ROOM
    capacity_wait_reason: WaitReason = WaitReason.NO_ROOM

    @property
    def is_done(self) -> bool:
        """Tell whether all tasks are done."""
        return self.done_count >= self.step.task_count

    @property
    def min_start_count(self) -> int:
        """Return how many tasks have to start together."""
        return self.step.task_count if self.step.is_gang else 1

    @property
    def has_history(self) -> bool:
        """Tell whether any task has been placed or has ended."""
        has_all = len(self.waiting) == self.step.task_count
        return not has_all or any(task.failure_count for task in self.tasks)

    def mark_startable(self, now_s: float) -> None:
        """Begin the wait of a stage that has become startable."""
        if not self.wait_began_s:
            self.begin_wait(now_s)

    def begin_wait(self, now_s: float) -> None:
        """Begin the wait of the tasks that are not running."""
        self.wait_began_s = now_s
        self.log_after_s = _FIRST_LOG_S

    def key_of(self, index: int) -> TaskKey:
        """Return the identity of a task."""
        return TaskKey(
            self.job_progress.job.job_id,
            self.occurrence,
            self.step_number,
            index,
        )

    def next_attempt(self) -> int:
        """Return an attempt number above those of all runs of the stage."""
        return 1 + max(task.last_attempt for task in self.tasks)

    def is_fully_running(self) -> bool:
        """Tell whether all tasks have a run that a worker has confirmed."""
        return all(
            task.run is not None and task.run.phase is RunPhase.RUNNING
            for task in self.tasks
        )

    def inherited_on(self, worker_id: str) -> list[int]:
        """Return the tasks with an inherited placement on a worker."""
        return [
            index
            for index, placement in self.inherited.items()
            if placement.worker_id == worker_id
        ]

    def has_ticket(self, worker_id: str, now_s: float) -> bool:
        """Tell whether the stage has a valid ticket for a worker."""
        _, valid_until_s = self.tickets.get(worker_id, ('', 0))
        return now_s < valid_until_s

    def is_waiting_for_advice(self, now_s: float) -> bool:
        """Tell whether a call is in flight and no ticket is valid."""
        if now_s >= self.advice_deadline_s:
            return False
        return not any(
            now_s < valid_until_s for _, valid_until_s in self.tickets.values()
        )

    def is_inherited_as(self, index: int, placement: Placement) -> bool:
        """Tell whether the inherited placement of a task is this run."""
        return self.inherited.get(index) == placement

    def count_failure(self, index: int, attempt: int) -> bool:
        """Count a failed run; return whether it was not counted yet.

        A run of a gang fails once, however many of its members do. A gang gets
        a higher attempt number only after all members of its former run are
        over, so a number up to the last counted one is counted already.
        """
        if self.step.is_gang:
            if attempt <= self.counted_attempt:
                return False
            self.counted_attempt = attempt
        self.tasks[self._counting_index(index)].failure_count += 1
        return True

    def failure_count_of(self, index: int) -> int:
        """Return the failed runs of a task, or of the gang it belongs to."""
        return self.tasks[self._counting_index(index)].failure_count

    def finish(self, index: int) -> None:
        """Mark a task as done."""
        task = self.tasks[index]
        if not task.is_done:
            task.is_done = True
            self.done_count += 1
        self.waiting.discard(index)

    def latest_start_s(self) -> float:
        """Return the latest start with which the job meets its objective."""
        due_s = self.job_progress.accepted_at_s + self.job_progress.objective_s
        return due_s - self.remaining_s

    def record(self) -> StageRecord:
        """Return the record to store."""
        if self.is_done:
            return StageRecord(is_done=True)
        placed = self._placements()
        return StageRecord(
            done=tuple(
                index for index, task in enumerate(self.tasks) if task.is_done
            ),
            failures={
                index: task.failure_count
                for index, task in enumerate(self.tasks)
                if task.failure_count
            },
            counted_attempt=self.counted_attempt,
            placed=placed,
            usual_leases=tuple(
                index for index in placed if self._has_usual_lease(index)
            ),
        )

    def restore(self, record: StageRecord) -> None:
        """Restore the state from the record of an earlier leader.

        :raises ValueError: if the record names a task that does not exist.
        """
        named_indices = {*record.done, *record.failures, *record.placed}
        if not named_indices.issubset(range(self.step.task_count)):
            raise ValueError(
                f'the record of step {self.step_number} names tasks that '
                f'the step does not have, among {named_indices}',
            )
        indices = range(self.step.task_count) if record.is_done else record.done
        for index in indices:
            self.finish(index)
        self._restore_failures(record)
        for index, placement in record.placed.items():
            self.waiting.discard(index)
            self.inherited[index] = placement
        self.usual_leases = frozenset(record.usual_leases)

    def _counting_index(self, index: int) -> int:
        """Return the task at which the failed runs of a task are counted."""
        return 0 if self.step.is_gang else index

    def _restore_failures(self, record: StageRecord) -> None:
        if not self.step.is_gang:
            for failed, count in record.failures.items():
                self.tasks[failed].failure_count = count
            return
        first_task = self.tasks[0]
        self.counted_attempt = record.counted_attempt
        if record.failures and not record.counted_attempt:
            self.counted_attempt = _infer_counted_attempt(
                record, first_task.last_attempt
            )
        first_task.failure_count = max(record.failures.values(), default=0)
        # Whatever the record says, the next run has a higher number.
        first_task.last_attempt = max(
            first_task.last_attempt, self.counted_attempt
        )

    def _has_usual_lease(self, index: int) -> bool:
        """Tell whether the lease of a placed task is a usual one."""
        if index in self.inherited:
            return index in self.usual_leases
        run = self.tasks[index].run
        return run is not None and run.has_usual_lease

    def _placements(self) -> dict[int, Placement]:
        placed = dict(self.inherited)
        for index, task in enumerate(self.tasks):
            if task.run is not None and not task.is_done:
                placed[index] = Placement(task.run.worker_id, task.run.attempt)
        return placed


@attrs.define(slots=True, kw_only=True, eq=False)
class JobProgress:
    """State of an accepted job.

    :ivar attempt_base: number after which its attempts are numbered.
    :ivar accepted_at_s: estimated time of acceptance on this host's clock.
    :ivar state: newest state, which may not be stored yet.
    :ivar durable_state: newest state that is in the store.
    :ivar is_unwritable: whether the store has rejected the newest record.
        Nothing of the job is started meanwhile, as no placement can be
        recorded.
    :ivar has_started: whether a worker has confirmed or listed any of its runs.
    :ivar is_start_durable: whether this is in the store.
    :ivar is_over_share: whether the job exceeds the share of its team.
    :ivar objective_s: time from the acceptance in which callers want the job
        to be complete, by the expected durations of its steps.
    :ivar path_valid_until_s: when this and the expected times of the stages
        have to be updated with learned durations, 0 before the first time.
    :ivar stages: stages of the open occurrences, by occurrence and number of
        the step. An occurrence is opened when it is due, as a leader could not
        hold the stages of all future occurrences of all jobs.
    :ivar done_occurrences: occurrences that are done; they have no stages any
        more.
    """

    job: Job
    attempt_base: int
    accepted_at_s: float
    state: JobState = JobState.QUEUED
    durable_state: JobState = JobState.QUEUED
    ended_unix_ms: int = 0
    is_unwritable: bool = False
    has_started: bool = False
    is_start_durable: bool = False
    is_over_share: bool = False
    objective_s: float = 0
    path_valid_until_s: float = 0
    stages: dict[tuple[int, int], Stage] = attrs.field(factory=dict)
    done_occurrences: set[int] = attrs.field(factory=set)
    # No occurrence below this number has to be opened any more.
    _next_occurrence: int = attrs.field(default=0, init=False)

    @property
    def occurrence_total(self) -> int:
        """Return the number of occurrences; a job without times has one."""
        return max(1, self.job.occurrence_count)

    @property
    def has_unopened_occurrences(self) -> bool:
        """Tell whether any occurrence has not been opened yet."""
        while self._is_opened(self._next_occurrence):
            self._next_occurrence += 1
        return self._next_occurrence < self.occurrence_total

    @property
    def open_occurrence_count(self) -> int:
        """Return the number of open occurrences."""
        return len(self.stages) // max(1, len(self.job.steps))

    @property
    def visible_state(self) -> JobState:
        """Return the state to show to callers; a final one has to be stored."""
        if self.state.is_final:
            is_durable = self.durable_state.is_final
            return self.durable_state if is_durable else JobState.RUNNING
        may_run = self.has_started or bool(self.inherited_workers())
        return JobState.RUNNING if may_run else JobState.QUEUED

    def ready_stages(self, unix_ms: int) -> Iterator[Stage]:
        """Yield the startable stages with waiting tasks."""
        for stage in self.pending_stages(unix_ms):
            if stage.waiting:
                yield stage

    def pending_stages(self, unix_ms: int) -> Iterator[Stage]:
        """Yield the startable stages with waiting or inherited tasks."""
        for stage in self.stages.values():
            is_pending = stage.waiting or stage.inherited
            if is_pending and self.is_due(stage.occurrence, unix_ms):
                if self.has_dependencies_done(stage):
                    yield stage

    def inherited_workers(self) -> set[str]:
        """Return the workers with inherited placements."""
        workers: set[str] = set()
        for stage in self.stages.values():
            workers.update(
                placement.worker_id for placement in stage.inherited.values()
            )
        return workers

    def inherited_runs(self, worker_id: str) -> list[RunningRun]:
        """Return the runs of inherited placements on a worker."""
        return [
            RunningRun(
                task=stage.key_of(index),
                attempt=stage.inherited[index].attempt,
            )
            for stage in self.stages.values()
            for index in stage.inherited_on(worker_id)
        ]

    def has_unrecorded_start(self) -> bool:
        """Tell whether neither a record nor a run shows a start of the job.

        A run that is lost or cut short is normally followed by the next one,
        whose placement is recorded together with the earlier start.
        """
        if self.is_start_durable or not self.has_started:
            return False
        return not any(
            task.run is not None
            for stage in self.stages.values()
            for task in stage.tasks
        )

    def is_past_deadline(self, now_s: float) -> bool:
        """Tell whether the job is too late to be of use to its caller."""
        age_s = now_s - self.accepted_at_s
        return age_s > _DEADLINE_FACTOR * self.objective_s

    def is_due(self, occurrence: int, unix_ms: int) -> bool:
        """Tell whether the time of an occurrence has come."""
        if not self.job.occurrence_count:
            return True
        delay_ms = occurrence * self.job.interval_ms
        return unix_ms >= self.job.first_run_unix_ms + delay_ms

    def has_dependencies_done(self, stage: Stage) -> bool:
        """Tell whether all steps that a stage depends on are done."""
        return all(
            self.stages[stage.occurrence, number].is_done
            for number in stage.step.after
        )

    def is_all_done(self) -> bool:
        """Tell whether every task is done."""
        return len(self.done_occurrences) >= self.occurrence_total

    def record(self) -> ProgressRecord:
        """Return the record to store."""
        if self.state.is_final:
            return ProgressRecord(
                state=self.state,
                has_started=self.has_started,
                ended_unix_ms=self.ended_unix_ms,
            )
        return ProgressRecord(
            state=self.state,
            has_started=self.has_started,
            ended_unix_ms=self.ended_unix_ms,
            done_occurrences=tuple(sorted(self.done_occurrences)),
            stages={
                f'{occurrence}.{number}': stage.record()
                for (occurrence, number), stage in self.stages.items()
                if stage.has_history
            },
        )

    def is_next_due(self, unix_ms: int) -> bool:
        """Tell whether the first unopened occurrence is due, if any."""
        return self.has_unopened_occurrences and self.is_due(
            self._next_occurrence, unix_ms
        )

    def open_next(self) -> None:
        """Open the first unopened occurrence."""
        self._open_occurrence(self._next_occurrence)

    def drop_stages(self) -> None:
        """Drop all stages, as the job has ended.

        Runs that are still to be stopped keep their own stages.
        """
        self.stages.clear()
        self.done_occurrences.clear()

    def drop_work(self) -> None:
        """Drop the payload and the steps, as the end of the job is stored."""
        self.job = attrs.evolve(self.job, payload='', steps=())

    def close_if_done(self, occurrence: int) -> None:
        """Drop the stages of an occurrence once all of them are done."""
        keys = [(occurrence, number) for number in range(len(self.job.steps))]
        if all(self.stages[key].is_done for key in keys):
            self.done_occurrences.add(occurrence)
            for key in keys:
                self.stages.pop(key)

    def restore_job(self, record: ProgressRecord | None) -> None:
        """Prepare the job and apply the record of an earlier leader.

        :raises MalformedMessageError: if the record does not fit the job.
        """
        try:
            if record is None or not record.state.is_final:
                self._check_steps()
            if record is not None:
                self._apply_record(record)
        except Exception as error:
            # Whatever the error, only this job is set aside.
            raise MalformedMessageError(
                f'{error!r}; correct the records of job {self.job.job_id}',
            ) from error

    def _apply_record(self, record: ProgressRecord) -> None:
        self.state = record.state
        self.durable_state = record.state
        self.has_started = record.has_started
        self.is_start_durable = record.has_started
        self.ended_unix_ms = record.ended_unix_ms
        if self.state.is_final:
            return
        occurrences = range(self.occurrence_total)
        self.done_occurrences.update(
            occurrence
            for occurrence in record.done_occurrences
            if occurrence in occurrences
        )
        for occurrence, stage_records in _by_occurrence(record).items():
            if occurrence in occurrences:
                self._restore_occurrence(occurrence, stage_records)

    def _restore_occurrence(
        self,
        occurrence: int,
        stage_records: Mapping[int, StageRecord],
    ) -> None:
        if occurrence in self.done_occurrences:
            return
        if any(
            stage_record.has_ends for stage_record in stage_records.values()
        ):
            self.has_started = True
        step_count = len(self.job.steps)
        found = [stage_records.get(number) for number in range(step_count)]
        if all(stage_record and stage_record.is_done for stage_record in found):
            self.done_occurrences.add(occurrence)
            return
        self._open_occurrence(occurrence)
        for number, stage_record in enumerate(found):
            if stage_record is not None:
                self.stages[occurrence, number].restore(stage_record)
        self.close_if_done(occurrence)

    def _check_steps(self) -> None:
        """Check that the job can run, and compute its objective."""
        if not self.job.steps:
            # The stored job loses its steps when it ends.
            raise ValueError('the job has no steps')
        self.objective_s = self.job.objective_s()

    def _is_opened(self, occurrence: int) -> bool:
        is_open = (occurrence, 0) in self.stages
        return is_open or occurrence in self.done_occurrences

    def _open_occurrence(self, occurrence: int) -> None:
        remaining_path_s = self.job.remaining_path_s()
        for number, step in enumerate(self.job.steps):
            self.stages[occurrence, number] = Stage(
                job_progress=self,
                occurrence=occurrence,
                step_number=number,
                step=step,
                tasks=[
                    TaskProgress(last_attempt=self.attempt_base)
                    for _ in range(step.task_count)
                ],
                waiting=set(range(step.task_count)),
                remaining_s=remaining_path_s[number],
            )


def drop_tickets(jobs: Iterable[JobProgress], worker_id: str) -> None:
    """Drop the tickets for a worker whose process has ended."""
    for progress in jobs:
        for stage in progress.stages.values():
            stage.tickets.pop(worker_id, None)


def _infer_counted_attempt(record: StageRecord, attempt_base: int) -> int:
    """Return up to which attempt a record without that number counts a gang.

    Daemons of earlier builds recorded failures by member, and not of which run
    they are. The highest number of a member is certain: a lower one would
    forget failed runs of that member, a higher one might count a run twice. The
    run in progress adds to it unless all members that are still placed have
    fewer failures, as it cannot take those beyond the highest number.

    :param attempt_base: number above those of all runs that are over, if no
        member is placed.
    """
    if not record.placed:
        return attempt_base
    attempt = max(placed.attempt for placed in record.placed.values())
    placed_count = max(record.failures.get(index, 0) for index in record.placed)
    if placed_count < max(record.failures.values()):
        return attempt
    return max(0, attempt - 1)


def _by_occurrence(
    record: ProgressRecord,
) -> dict[int, dict[int, StageRecord]]:
    """Return the records of stages by occurrence and number of the step."""
    found: dict[int, dict[int, StageRecord]] = {}
    for name, stage_record in record.stages.items():
        occurrence, _, number = name.partition('.')
        found.setdefault(int(occurrence), {})[int(number)] = stage_record
    return found
