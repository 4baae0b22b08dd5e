"""State of accepted jobs, their steps and their runs in memory."""

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
    from collections.abc import Iterator

__all__ = ('JobProgress', 'Run', 'RunPhase', 'Stage', 'TaskProgress')

# A job that is later than this multiple of its objective is worth nothing to
# its caller any more; it runs when nothing else wants the room.
_WORTHLESS_FACTOR = 3
# Calls for advice and the records of starts take less on a calm day.
_FIRST_REPORT_S = 1


class RunPhase(enum.Enum):
    """Phases of a run as the scheduler knows them."""

    STARTING = 'starting'
    RUNNING = 'running'
    STOPPING = 'stopping'
    OVER = 'over'


def taken_room(step: Step) -> Resources:
    """Return the room that a task takes from a worker and from its team."""
    if step.is_filling:
        return attrs.evolve(step.needed, cpu_milli=0)
    return step.needed


@attrs.define(slots=True, kw_only=True, eq=False)
class Run:
    """One run of a task on a worker.

    :ivar confirmed_at_s: time from which the worker lists the run until it
        has ended, 0 while the answer to its start or stop is missing.
    """

    task: TaskKey
    attempt: int
    worker_id: str
    phase: RunPhase
    stage: Stage
    sent_at_s: float
    confirmed_at_s: float = 0
    ticket: str = ''


@attrs.define(slots=True, kw_only=True, eq=False)
class TaskProgress:
    """State of a task.

    :ivar attempt_count: number of the highest run that was ordered.
    :ivar checkpoint: newest checkpoint, empty for none.
    """

    attempt_count: int
    is_done: bool = False
    failure_count: int = 0
    checkpoint: str = ''
    run: Run | None = None


@attrs.define(slots=True, kw_only=True, eq=False)
class Stage:
    """One step of one occurrence of a job.

    :ivar taken: room that each task takes from a worker.
    :ivar remaining_s: estimated time from the start of the stage until the
        job is complete.
    :ivar waiting: indices of the tasks that have no run and are not done.
    :ivar held: tasks that an earlier owner placed on a worker whose lists
        are not known yet, with the run that it ordered there.
    :ivar allowed: verdicts of the placement service by worker.
    :ivar tickets: code and end of validity by worker.
    :ivar next_look_s: when the stage looks for workers without tickets again.
    :ivar asked_until_s: when the outstanding call for advice is given up.
    :ivar wait_began_s: when its turn came, a worker confirmed its last start
        or its last run was over, whichever is latest; 0 before its turn.
    :ivar last_turn_s: when it last had gone first because of its wait.
    :ivar report_after_s: wait after which the reason is written to the log.
    :ivar obstacle: what kept it from being started in the last round.
    :ivar room_obstacle: what kept it from having room when that was last
        written to the log.
    """

    owner: JobProgress
    occurrence: int
    number: int
    step: Step
    tasks: list[TaskProgress]
    waiting: set[int]
    taken: Resources = attrs.field(
        default=attrs.Factory(
            lambda stage: taken_room(stage.step),
            takes_self=True,
        ),
    )
    remaining_s: float = 0
    done_count: int = 0
    held: dict[int, Placement] = attrs.field(factory=dict)
    allowed: dict[str, bool] = attrs.field(factory=dict)
    tickets: dict[str, tuple[str, float]] = attrs.field(factory=dict)
    asked_until_s: float = 0
    retry_at_s: float = 0
    next_look_s: float = 0
    wait_began_s: float = 0
    last_turn_s: float = 0
    report_after_s: float = _FIRST_REPORT_S
    obstacle: WaitReason = WaitReason.NO_ROOM
    room_obstacle: WaitReason = WaitReason.NO_ROOM

    @property
    def is_done(self) -> bool:
        """Tell whether all tasks are done."""
        return self.done_count >= self.step.task_count

    @property
    def has_history(self) -> bool:
        """Tell whether any task was ever placed or has ended."""
        has_all = len(self.waiting) == self.step.task_count
        return not has_all or any(task.failure_count for task in self.tasks)

    def note_turn(self, now_s: float) -> None:
        """Note that the stage may be started, if that is news."""
        if not self.wait_began_s:
            self.begin_wait(now_s)

    def begin_wait(self, now_s: float) -> None:
        """Note that what remains of the stage waits from now on."""
        self.wait_began_s = now_s
        self.report_after_s = _FIRST_REPORT_S

    def key_of(self, index: int) -> TaskKey:
        """Return the identity of a task."""
        return TaskKey(
            self.owner.job.job_id,
            self.occurrence,
            self.number,
            index,
        )

    def next_attempt(self) -> int:
        """Return a number above those of all runs of the stage."""
        return 1 + max(task.attempt_count for task in self.tasks)

    def is_whole(self) -> bool:
        """Tell whether all tasks have a run that its worker confirmed."""
        return all(
            task.run is not None and task.run.phase is RunPhase.RUNNING
            for task in self.tasks
        )

    def held_on(self, worker_id: str) -> list[int]:
        """Return the tasks that are held for a worker."""
        return [
            index
            for index, place in self.held.items()
            if place.worker_id == worker_id
        ]

    def has_ticket(self, worker_id: str, now_s: float) -> bool:
        """Tell whether a ticket for a worker is valid."""
        _, valid_until_s = self.tickets.get(worker_id, ('', 0))
        return now_s < valid_until_s

    def is_waiting_for_advice(self, now_s: float) -> bool:
        """Tell whether a call is under way and no ticket can be used."""
        if now_s >= self.asked_until_s:
            return False
        return not any(
            now_s < valid_until_s for _, valid_until_s in self.tickets.values()
        )

    def is_held_as(self, index: int, place: Placement) -> bool:
        """Tell whether a task is held for this very run."""
        return self.held.get(index) == place

    def finish(self, index: int) -> None:
        """Note that a task is done."""
        task = self.tasks[index]
        if not task.is_done:
            task.is_done = True
            self.done_count += 1
        self.waiting.discard(index)

    def latest_start_s(self) -> float:
        """Return when the stage has to start for its job to be in time."""
        due_s = self.owner.accepted_at_s + self.owner.objective_s
        return due_s - self.remaining_s

    def record(self) -> StageRecord:
        """Return what has to outlast this process."""
        if self.is_done:
            return StageRecord(is_done=True)
        return StageRecord(
            done=tuple(
                index for index, task in enumerate(self.tasks) if task.is_done
            ),
            failures={
                index: task.failure_count
                for index, task in enumerate(self.tasks)
                if task.failure_count
            },
            placed=self._places(),
        )

    def restore(self, record: StageRecord) -> None:
        """Take over what an earlier owner had noted.

        :raises ValueError: if the record names a task that does not exist.
        """
        named = {*record.done, *record.failures, *record.placed}
        if not named.issubset(range(self.step.task_count)):
            raise ValueError(f'step {self.number} has no tasks {named}')
        indices = range(self.step.task_count) if record.is_done else record.done
        for index in indices:
            self.finish(index)
        for failed, count in record.failures.items():
            self.tasks[failed].failure_count = count
        for index, place in record.placed.items():
            self.waiting.discard(index)
            self.held[index] = place

    def _places(self) -> dict[int, Placement]:
        placed = dict(self.held)
        for index, task in enumerate(self.tasks):
            if task.run is not None and not task.is_done:
                placed[index] = Placement(task.run.worker_id, task.run.attempt)
        return placed


@attrs.define(slots=True, kw_only=True, eq=False)
class JobProgress:
    """State of an accepted job.

    :ivar first_attempt: number below that of the first run to be ordered.
    :ivar accepted_at_s: estimate of the acceptance on this host's clock.
    :ivar is_excess: whether the job is beyond the share of its team.
    :ivar objective_s: time from the acceptance in which callers want the
        job to be complete, by the estimates of its steps.
    :ivar durable_state: newest state that is in the store.
    :ivar is_unwritable: whether the store has rejected the newest record.
        Nothing of the job is started meanwhile, as no place can be noted.
    """

    job: Job
    first_attempt: int
    accepted_at_s: float
    state: JobState = JobState.QUEUED
    durable_state: JobState = JobState.QUEUED
    ended_unix_ms: int = 0
    is_unwritable: bool = False
    has_started: bool = False
    is_excess: bool = False
    objective_s: float = 0
    stages: dict[tuple[int, int], Stage] = attrs.field(factory=dict)

    @property
    def visible_state(self) -> JobState:
        """Return the state that callers may see."""
        if self.state.is_final:
            is_settled = self.durable_state.is_final
            return self.durable_state if is_settled else JobState.RUNNING
        return JobState.RUNNING if self.has_started else JobState.QUEUED

    def ready_stages(self, unix_ms: int) -> Iterator[Stage]:
        """Yield the stages with waiting tasks whose turn has come."""
        for stage in self.pending_stages(unix_ms):
            if stage.waiting:
                yield stage

    def pending_stages(self, unix_ms: int) -> Iterator[Stage]:
        """Yield the stages with waiting or held tasks, in their turn."""
        for stage in self.stages.values():
            is_pending = stage.waiting or stage.held
            if is_pending and self.is_due(stage.occurrence, unix_ms):
                if self.is_unlocked(stage):
                    yield stage

    def held_workers(self) -> set[str]:
        """Return the workers for whose lists tasks are held back."""
        workers: set[str] = set()
        for stage in self.stages.values():
            workers.update(place.worker_id for place in stage.held.values())
        return workers

    def inherited_runs(self, worker_id: str) -> list[RunningRun]:
        """Return the runs on a worker for which tasks are held back."""
        return [
            RunningRun(
                task=stage.key_of(index),
                attempt=stage.held[index].attempt,
            )
            for stage in self.stages.values()
            for index in stage.held_on(worker_id)
        ]

    def is_worthless(self, now_s: float) -> bool:
        """Tell whether the job is too late to be worth anything."""
        age_s = now_s - self.accepted_at_s
        return age_s > _WORTHLESS_FACTOR * self.objective_s

    def is_due(self, occurrence: int, unix_ms: int) -> bool:
        """Tell whether the time of an occurrence has come."""
        if not self.job.occurrence_count:
            return True
        delay_ms = occurrence * self.job.interval_ms
        return unix_ms >= self.job.first_run_unix_ms + delay_ms

    def is_unlocked(self, stage: Stage) -> bool:
        """Tell whether all earlier steps of a stage are done."""
        return all(
            self.stages[stage.occurrence, number].is_done
            for number in stage.step.after
        )

    def is_all_done(self) -> bool:
        """Tell whether every task is done."""
        return all(stage.is_done for stage in self.stages.values())

    def record(self) -> ProgressRecord:
        """Return what has to outlast this process."""
        return ProgressRecord(
            state=self.state,
            ended_unix_ms=self.ended_unix_ms,
            stages={
                f'{occurrence}.{number}': stage.record()
                for (occurrence, number), stage in self.stages.items()
                if stage.has_history
            },
        )

    def build(self) -> None:
        """Create the stages of all occurrences."""
        if not self.job.steps:
            # What is left of a job that has ended.
            raise ValueError('the job has no steps')
        self.objective_s = self.job.objective_s()
        remaining_s = self.job.remaining_s()
        for occurrence in range(max(1, self.job.occurrence_count)):
            for number, step in enumerate(self.job.steps):
                self.stages[occurrence, number] = Stage(
                    owner=self,
                    occurrence=occurrence,
                    number=number,
                    step=step,
                    tasks=[
                        TaskProgress(attempt_count=self.first_attempt)
                        for _ in range(step.task_count)
                    ],
                    waiting=set(range(step.task_count)),
                    remaining_s=remaining_s[number],
                )

    def take_over(self, record: ProgressRecord | None) -> None:
        """Create the stages, with what an earlier owner had noted.

        :raises MalformedMessageError: if the record does not fit the job.
        """
        try:
            if record is None or not record.state.is_final:
                self.build()
            if record is not None:
                self._restore(record)
        except (LookupError, TypeError, ValueError) as error:
            raise MalformedMessageError(
                f'{error!r}; correct the records of job {self.job.job_id}',
            ) from error

    def _restore(self, record: ProgressRecord) -> None:
        self.state = record.state
        self.durable_state = record.state
        self.ended_unix_ms = record.ended_unix_ms
        for name, stage_record in record.stages.items():
            occurrence, _, number = name.partition('.')
            stage = self.stages.get((int(occurrence), int(number)))
            if stage is not None:
                stage.restore(stage_record)
                self.has_started = True
