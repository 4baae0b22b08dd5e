"""Resources in use by workers and teams."""

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

__all__ = (
    'TeamUsage',
    'WorkerState',
    'fitting_count_within',
    'services_with_spare_capacity',
)

# One task in twenty fails by its own fault, so three different jobs in a row
# fail on a healthy worker about once in several thousand cases.
_FAILURE_STREAK = 3
# A faulty worker is used again after this pause, as such faults last for a few
# seconds.
_FAILURE_PAUSE_S = 4
# Part of its capacity below which a service, or a team, has enough to spare.
_SPARE_SHARE = 0.5
# Time between the decision to start a task and its start on the worker, and
# between its end and the next decision.
_LENDING_MARGIN_S = 0.1
_NOTHING = Resources()


def fitting_count_within(stage: Stage, capacity: Resources) -> int:
    """Return how many tasks of a stage fit into a capacity.

    Each scheduling round calls this for most pairs of worker and stage, so it
    allocates no lists.
    """
    needed = stage.demand
    count = stage.step.task_count
    if needed.cpu_milli:
        count = min(count, capacity.cpu_milli // needed.cpu_milli)
    if needed.memory_mib:
        count = min(count, capacity.memory_mib // needed.memory_mib)
    if needed.accelerator_count:
        count = min(
            count, capacity.accelerator_count // needed.accelerator_count
        )
    return max(0, count)


@attrs.define(slots=True, kw_only=True, eq=False)
class WorkerState:
    """A worker, its runs and its free resources.

    :ivar free: resources that no known run uses.
    :ivar is_usable: whether it answers and its runs are known.
    :ivar failed_jobs: jobs with a failed run since the last success or pause.
    :ivar runs: runs of known jobs by task and attempt.
    :ivar orphans: unaccounted runs, which are listed but whose steps are not
        known. Their use of resources is not known either, so nothing is
        started beside them.
    :ivar quarantined: runs of quarantined jobs, with their teams and steps.
    :ivar is_listed: whether the platform lists the worker.
    :ivar is_evacuated: whether its failure domain is evacuated.
    :ivar reserved_by: stage for which capacity that becomes free is reserved.
    :ivar reserved_start_s: when that stage is expected to start, 0 if it is not
        known.
    :ivar reserved_target_s: earliest expected start of that stage so far, 0 if
        it is not known.
    :ivar is_reserved_strictly: whether other stages may use that capacity only
        while the service has capacity to spare.
    :ivar paused_until_s: end of the pause after a streak of failures.
    :ivar born_unix_ms: start time of the process that answers, 0 if it is not
        known.
    """

    report: WorkerReport
    free: Resources
    born_unix_ms: int = 0
    is_usable: bool = False
    paused_until_s: float = 0
    failed_jobs: set[str] = attrs.field(factory=set)
    runs: dict[tuple[TaskKey, int], Run] = attrs.field(factory=dict)
    orphans: set[tuple[TaskKey, int]] = attrs.field(factory=set)
    quarantined: dict[tuple[TaskKey, int], tuple[str, Step]] = attrs.field(
        factory=dict,
    )
    reserved_by: object | None = None
    reserved_until_s: float = 0
    reserved_start_s: float = 0
    reserved_target_s: float = 0
    is_reserved_strictly: bool = False
    is_listed: bool = True
    is_evacuated: bool = False

    def add(self, run: Run) -> None:
        """Allocate the resources of a run."""
        self.runs[run.task, run.attempt] = run
        self.free -= run.stage.demand

    def remove(self, run: Run) -> None:
        """Free the resources of a run."""
        if self.runs.pop((run.task, run.attempt), None) is not None:
            self.free += run.stage.demand

    def record_failure(self, job_id: str, now_s: float) -> None:
        """Count a failed run; pause the worker after a streak of failures."""
        self.failed_jobs.add(job_id)
        if len(self.failed_jobs) >= _FAILURE_STREAK:
            self.failed_jobs.clear()
            self.paused_until_s = now_s + _FAILURE_PAUSE_S
            log_event(
                'worker_paused',
                worker=self.report.worker_id,
                for_s=_FAILURE_PAUSE_S,
            )

    def update(self, report: WorkerReport) -> None:
        """Apply a newer report of the same worker."""
        self.free = self.free + report.room - self.report.room
        self.report = report

    def fitting_count(self, stage: Stage) -> int:
        """Return how many tasks of a stage fit into the free resources."""
        return fitting_count_within(stage, self.free)

    @property
    def has_current_report(self) -> bool:
        """Tell whether the newest report is of the process that answers.

        A worker that has restarted may have other resources and labels.
        """
        reported_unix_ms = self.report.born_unix_ms
        if not reported_unix_ms or not self.born_unix_ms:
            return True
        return reported_unix_ms == self.born_unix_ms

    @property
    def is_cold(self) -> bool:
        """Tell whether the worker reports that it is slow after its start."""
        return self.report.cold_remaining_s > 0

    @property
    def is_in_service(self) -> bool:
        """Tell whether the worker counts towards the capacity of the fleet.

        One that does not answer yet counts, as most of them are adopted soon
        after a takeover.
        """
        return (
            self.is_listed
            and not self.report.is_draining
            and not self.is_evacuated
        )

    def is_open(self, now_s: float) -> bool:
        """Tell whether any task may be started on the worker."""
        return not self.is_evacuated and self.is_available(now_s)

    def is_available(self, now_s: float) -> bool:
        """Tell whether the worker is open, apart from any evacuation."""
        if not self.is_usable or not self.has_current_report:
            return False
        if not self.is_listed or self.orphans:
            return False
        return not self.report.is_draining and now_s >= self.paused_until_s

    def is_reserved_for_other(self, stage: Stage, now_s: float) -> bool:
        """Tell whether freed capacity is reserved for another stage."""
        if self.reserved_by is None or self.reserved_by is stage:
            return False
        return now_s < self.reserved_until_s

    def is_lendable(self, tail_s: float, now_s: float) -> bool:
        """Tell whether reserved capacity may be used by a short task.

        :param tail_s: duration on the worker that few such tasks exceed, 0 if
            it is not known.
        """
        if tail_s <= 0:
            return False
        return now_s + tail_s + _LENDING_MARGIN_S <= self.reserved_start_s

    def would_disturb(self, step: Step) -> bool:
        """Tell whether a task of a step disturbs, or is disturbed, here.

        Best-effort tasks disturb services with a response time target.
        """
        if step.is_filling:
            return any(other.tail_target_ms for other in self._steps())
        if step.tail_target_ms:
            return self.has_filling()
        return False

    def has_filling(self) -> bool:
        """Tell whether any best-effort task runs on the worker."""
        return any(step.is_filling for step in self._steps())

    def steps_by_run(self) -> dict[tuple[TaskKey, int], Step]:
        """Return the steps of all runs, including those of quarantined jobs."""
        steps = {key: run.stage.step for key, run in self.runs.items()}
        for key, (_, step) in self.quarantined.items():
            steps[key] = step
        return steps

    def running(self) -> Iterable[Run]:
        """Return all runs on the worker."""
        return self.runs.values()

    def has_unlisted_runs(self) -> bool:
        """Tell whether there is a run that the worker has never listed."""
        return not all(run.is_listed for run in self.running())

    def unconfirmed_runs(
        self, in_flight: set[tuple[TaskKey, int]]
    ) -> list[Run]:
        """Return the runs that are unconfirmed and have no call in flight.

        :param in_flight: runs with a start or stop call in flight.
        """
        return [
            run
            for key, run in self.runs.items()
            if not run.confirmed_at_s and key not in in_flight
        ]

    def _steps(self) -> Iterator[Step]:
        """Yield the steps of all runs, including those of quarantined jobs."""
        for run in self.running():
            yield run.stage.step
        for _, step in self.quarantined.values():
            yield step


class TeamUsage:
    """Resources that the runs of each team use, compared with its limit."""

    def __init__(self) -> None:
        """Start with nothing in use."""
        self._used: dict[str, Resources] = collections.defaultdict(Resources)

    def add(self, team: str, used: Resources) -> None:
        """Add the resources of a run."""
        self._used[team] += used

    def remove(self, team: str, freed: Resources) -> None:
        """Subtract the resources of a run that has ended."""
        self._used[team] -= freed

    def free_task_count(
        self,
        team: Team | None,
        step: Step,
        freed: Resources = _NOTHING,
    ) -> int:
        """Return how many more tasks of a step the team may run.

        :param freed: resources that count as free, although they are in use.
        """
        if team is None:
            return step.task_count
        return _count_within(team, self._used[team.name] - freed, step)

    def has_spare(self, team: Team) -> bool:
        """Tell whether a team uses less than half of each of its limits."""
        used = self._used[team.name]
        return all(
            not limit or have < _SPARE_SHARE * limit
            for limit, have in (
                (team.limit.cpu_milli, used.cpu_milli),
                (team.limit.memory_mib, used.memory_mib),
                (team.limit.accelerator_count, used.accelerator_count),
            )
        )

    def max_task_count(self, team: Team | None, step: Step) -> int:
        """Return how many tasks of a step the team may run at the same time."""
        if team is None:
            return step.task_count
        return _count_within(team, Resources(), step)


def services_with_spare_capacity(
    workers: Iterable[WorkerState],
) -> frozenset[str]:
    """Return the services that use less than half of their capacity.

    :param workers: workers on which anything may be started.
    """
    cpu_milli: dict[str, float] = collections.defaultdict(float)
    memory_mib: dict[str, float] = collections.defaultdict(float)
    for worker in workers:
        service, room, free = (
            worker.report.service,
            worker.report.room,
            worker.free,
        )
        cpu_milli[service] += free.cpu_milli - _SPARE_SHARE * room.cpu_milli
        memory_mib[service] += free.memory_mib - _SPARE_SHARE * room.memory_mib
    return frozenset(
        service
        for service, beyond_milli in cpu_milli.items()
        if beyond_milli > 0 and memory_mib[service] > 0
    )


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
