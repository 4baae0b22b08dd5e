"""Room of the workers and what the teams use."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._model import Step, TaskKey, WorkerReport
from currantreach_jobs._progress import Run, Stage
from currantreach_telemetry import log_event
from currantreach_types import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from currantreach_jobs._model import Team

__all__ = ('TeamUse', 'WorkerState', 'whole_room_count')

# Three different jobs in a row fail on a sound worker once in some thousand
# times, as one task in twenty fails by its own fault.
_FAILURE_STREAK = 3
# A faulty worker is tried again after this time, as such faults last for
# seconds.
_FAILURE_PAUSE_S = 4


def whole_room_count(stage: Stage, room: Resources) -> int:
    """Return how many tasks of a stage fit into a room.

    Each round of decisions asks this for most workers and stages, so that it
    does without lists.
    """
    needed = stage.taken
    count = stage.step.task_count
    if needed.cpu_milli:
        count = min(count, room.cpu_milli // needed.cpu_milli)
    if needed.memory_mib:
        count = min(count, room.memory_mib // needed.memory_mib)
    if needed.accelerator_count:
        count = min(count, room.accelerator_count // needed.accelerator_count)
    return max(0, count)


@attrs.define(slots=True, kw_only=True, eq=False)
class WorkerState:
    """A worker, its runs and the room that is left.

    :ivar is_usable: whether its lists are known and it answers.
    :ivar orphans: runs on the worker that nobody wants any more; what they
        take is not known, so nothing is started beside them.
    :ivar quarantined: runs of jobs whose records cannot be read, with their
        teams and steps.
    :ivar is_listed: whether the platform lists the worker.
    :ivar reserved_by: stage for which freed room is kept.
    :ivar failing_until_s: end of the pause after a streak of failures.
    """

    report: WorkerReport
    free: Resources
    is_usable: bool = False
    failing_until_s: float = 0
    failed_jobs: set[str] = attrs.field(factory=set)
    runs: dict[tuple[TaskKey, int], Run] = attrs.field(factory=dict)
    orphans: set[tuple[TaskKey, int]] = attrs.field(factory=set)
    quarantined: dict[tuple[TaskKey, int], tuple[str, Step]] = attrs.field(
        factory=dict,
    )
    reserved_by: object | None = None
    reserved_until_s: float = 0
    is_listed: bool = True

    def add(self, run: Run) -> None:
        """Take the room of a run."""
        self.runs[run.task, run.attempt] = run
        self.free -= run.stage.taken

    def remove(self, run: Run) -> None:
        """Free the room of a run."""
        if self.runs.pop((run.task, run.attempt), None) is not None:
            self.free += run.stage.taken

    def note_failure(self, job_id: str, now_s: float) -> None:
        """Note a failed run; pause the worker after a streak of failures."""
        self.failed_jobs.add(job_id)
        if len(self.failed_jobs) >= _FAILURE_STREAK:
            self.failed_jobs.clear()
            self.failing_until_s = now_s + _FAILURE_PAUSE_S
            log_event(
                'worker_paused',
                worker=self.report.worker_id,
                for_s=_FAILURE_PAUSE_S,
            )

    def update(self, report: WorkerReport) -> None:
        """Take over a newer report of the same worker."""
        self.free = self.free + report.room - self.report.room
        self.report = report

    def count_of(self, stage: Stage) -> int:
        """Return how many more tasks of a stage fit."""
        return whole_room_count(stage, self.free)

    def is_open(self, now_s: float) -> bool:
        """Tell whether any task may be started on the worker."""
        if not self.is_usable or not self.is_listed or self.orphans:
            return False
        return not self.report.is_draining and now_s >= self.failing_until_s

    def is_reserved_for_other(self, stage: Stage, now_s: float) -> bool:
        """Tell whether freed room is kept for another stage."""
        if self.reserved_by is None or self.reserved_by is stage:
            return False
        return now_s < self.reserved_until_s

    def has_mixed_sharing(self, step: Step) -> bool:
        """Tell whether a step would fill beside tasks that serve."""
        if step.is_filling:
            return any(other.tail_target_ms for other in self._steps())
        if step.tail_target_ms:
            return any(other.is_filling for other in self._steps())
        return False

    def running(self) -> Iterable[Run]:
        """Return all runs on the worker."""
        return self.runs.values()

    def unconfirmed_runs(self, ordered: set[tuple[TaskKey, int]]) -> list[Run]:
        """Return the runs that have no answer and no order under way.

        :param ordered: runs with an order under way.
        """
        return [
            run
            for key, run in self.runs.items()
            if not run.confirmed_at_s and key not in ordered
        ]

    def _steps(self) -> Iterator[Step]:
        """Yield the steps of all runs, also of those that are left alone."""
        for run in self.running():
            yield run.stage.step
        for _, step in self.quarantined.values():
            yield step


class TeamUse:
    """What each team has running, against its limit."""

    def __init__(self) -> None:
        """Start with nothing in use."""
        self._used: dict[str, Resources] = collections.defaultdict(Resources)

    def add(self, team: str, taken: Resources) -> None:
        """Note that a run takes room."""
        self._used[team] += taken

    def remove(self, team: str, freed: Resources) -> None:
        """Note that a run has ended."""
        self._used[team] -= freed

    def room_for(self, team: Team | None, step: Step) -> int:
        """Return how many more tasks of a step the team may run."""
        if team is None:
            return step.task_count
        return _count_within(team, self._used[team.name], step)

    def whole_for(self, team: Team | None, step: Step) -> int:
        """Return how many tasks of a step a team may run at all."""
        if team is None:
            return step.task_count
        return _count_within(team, Resources(), step)


def _count_within(team: Team, used: Resources, step: Step) -> int:
    """Return how many tasks of a step fit into the limit of a team."""
    needed = step.needed
    counts = [
        (limit - have) // need
        for limit, have, need in (
            (team.limit.cpu_milli, used.cpu_milli, needed.cpu_milli),
            (team.limit.memory_mib, used.memory_mib, needed.memory_mib),
            (
                team.limit.accelerator_count,
                used.accelerator_count,
                needed.accelerator_count,
            ),
        )
        if limit and need
    ]
    return max(0, min(counts, default=step.task_count))
