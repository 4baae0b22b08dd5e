"""Placement of the tasks of a stage on workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._usage import fitting_count_within

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantreach_jobs._progress import Stage
    from currantreach_jobs._usage import WorkerState

__all__ = (
    'assign',
    'eligible_workers',
    'fitting_count',
    'max_fitting_count',
    'meets_requirements',
    'workers_to_probe',
    'workers_to_query',
)

# The placement service accepts at most this many workers in one call.
_MAX_QUERIED = 100
# The number of allowed workers varies between calls: with a quarter of the
# workers allowed, querying 1.6 times the average need still leaves one call in
# twelve without enough capacity.
_QUERY_MARGIN = 1.6
# Other tasks may take part of the free capacity while a call is in flight.
_RACE_MARGIN = 1.25


def eligible_workers(
    stage: Stage,
    workers: Iterable[WorkerState],
    now_s: float,
    is_boosted: bool = False,
) -> list[WorkerState]:
    """Return the workers that may run tasks of a stage, best first.

    :param workers: workers on which anything may be started.
    :param is_boosted: whether capacity reserved for other stages may be used.

    Cold workers come last. Workers with less free processor time come first
    (best fit), so that emptier ones stay available for large tasks and gangs.
    """
    fitting = [
        worker
        for worker in workers
        if _is_eligible(stage, worker, now_s, is_boosted)
    ]
    rack = stage.step.data_rack
    fitting.sort(
        key=lambda worker: (
            worker.is_cold,
            bool(rack) and rack not in worker.report.labels,
            worker.free.cpu_milli,
        ),
    )
    return fitting


def fitting_count(stage: Stage, worker: WorkerState) -> int:
    """Return how many more tasks of a stage a worker may run now."""
    count = worker.fitting_count(stage)
    limit = stage.step.max_per_worker
    if not limit:
        return count
    running_count = sum(1 for run in worker.running() if run.stage is stage)
    return max(0, min(count, limit - running_count))


def max_fitting_count(stage: Stage, worker: WorkerState) -> int:
    """Return how many tasks of a stage fit once other tasks have ended.

    Long-running tasks keep their resources, as they never end by themselves.
    """
    capacity = worker.report.room
    for run in worker.running():
        if run.stage.step.is_lasting:
            capacity -= run.stage.demand
    count = fitting_count_within(stage, capacity)
    limit = stage.step.max_per_worker
    return min(count, limit) if limit else count


def meets_requirements(stage: Stage, worker: WorkerState) -> bool:
    """Tell whether a worker has the service and label a stage requires."""
    report = worker.report
    if report.service != stage.job_progress.job.queue.service:
        return False
    label = stage.step.required_label
    return not label or label in report.labels


def assign(
    stage: Stage,
    workers: Sequence[WorkerState],
    max_count: int,
) -> list[tuple[int, WorkerState]]:
    """Assign waiting tasks to workers.

    :param workers: eligible workers, best first.
    :param max_count: number of tasks that the limit of the team allows.
    :returns: pairs of a task's index and its worker; empty for a gang whose
        tasks do not all fit.
    """
    if stage.step.is_rack_local:
        workers = _warm_rack_first(stage, workers)
    indices = sorted(stage.waiting)[:max_count]
    assigned: list[tuple[int, WorkerState]] = []
    for worker in workers:
        remaining = indices[len(assigned) :]
        if not remaining:
            break
        count = fitting_count(stage, worker)
        assigned.extend((index, worker) for index in remaining[:count])
    if stage.step.is_gang and len(assigned) < stage.step.task_count:
        return []
    return assigned


def workers_to_query(
    stage: Stage,
    workers: Sequence[WorkerState],
    allowed_fraction: float,
    ticket_until_s: float,
    min_count: int = 0,
) -> list[WorkerState]:
    """Return the workers to query in a call to the placement service.

    Each queried worker makes the call longer, so only as many are queried as
    the waiting tasks are expected to need. Workers whose tickets stay valid
    count towards the need, but are not queried again.

    :param workers: workers that are not known to be forbidden, best first.
    :param allowed_fraction: expected fraction of allowed workers among those
        with an unknown answer.
    :param ticket_until_s: time until which a ticket has to be valid.
    :param min_count: number of workers to have tickets for, whether or not
        they have free capacity.
    """
    missing: float = len(stage.waiting)
    queried: list[WorkerState] = []
    for worker in _in_query_order(stage, workers):
        if missing <= 0 and min_count <= 0:
            break
        count = fitting_count(stage, worker)
        if not count and min_count <= 0:
            continue
        min_count -= 1
        worker_id = worker.report.worker_id
        if stage.allowed.get(worker_id, False):
            missing -= count / _RACE_MARGIN
        else:
            missing -= count * allowed_fraction / _QUERY_MARGIN
        if not stage.has_ticket(worker_id, ticket_until_s):
            queried.append(worker)
    return queried[:_MAX_QUERIED]


def workers_to_probe(
    stage: Stage,
    workers: Iterable[WorkerState],
    allowed_fraction: float,
    task_count: int,
) -> list[WorkerState]:
    """Return workers to query so that enough are known to be allowed.

    Capacity can be reserved only on workers that are known to be allowed, so
    they are queried while they are still full.

    :param workers: workers that are not known to be forbidden.
    :param task_count: number of tasks that start together.
    """
    missing: float = task_count
    unknown: list[WorkerState] = []
    for worker in workers:
        if stage.allowed.get(worker.report.worker_id, False):
            missing -= max_fitting_count(stage, worker)
        else:
            unknown.append(worker)
    unknown.sort(key=lambda worker: (worker.is_cold, -worker.free.cpu_milli))
    queried: list[WorkerState] = []
    for candidate in unknown:
        if missing <= 0:
            break
        count = max_fitting_count(stage, candidate)
        if count:
            queried.append(candidate)
            missing -= count * allowed_fraction / _QUERY_MARGIN
    return queried[:_MAX_QUERIED]


def _in_query_order(
    stage: Stage,
    workers: Sequence[WorkerState],
) -> list[WorkerState]:
    """Return workers with capacity first, and queried ones first among them.

    For a gang, the workers that fit most of its tasks come first.
    """
    return sorted(
        workers,
        key=lambda worker: _query_rank(stage, worker),
    )


def _query_rank(
    stage: Stage, worker: WorkerState
) -> tuple[bool, bool, bool, int]:
    count = fitting_count(stage, worker)
    return (
        not count,
        worker.is_cold,
        worker.report.worker_id not in stage.allowed,
        -count if stage.step.is_gang else 0,
    )


def _is_eligible(
    stage: Stage,
    worker: WorkerState,
    now_s: float,
    is_boosted: bool,
) -> bool:
    if not meets_requirements(stage, worker):
        return False
    if worker.reserved_by is not None and not is_boosted:
        if worker.is_reserved_for_other(stage, now_s):
            return False
    return not worker.has_colocation_conflict(stage.step)


def _warm_rack_first(
    stage: Stage,
    workers: Sequence[WorkerState],
) -> Sequence[WorkerState]:
    """Put a single rack first, among the warm workers if these suffice."""
    warm = [worker for worker in workers if not worker.is_cold]
    count = sum(fitting_count(stage, worker) for worker in warm)
    if count < len(stage.waiting):
        return _single_rack_first(stage, workers)
    cold = [worker for worker in workers if worker.is_cold]
    return [*_single_rack_first(stage, warm), *cold]


def _single_rack_first(
    stage: Stage,
    workers: Sequence[WorkerState],
) -> Sequence[WorkerState]:
    """Put the workers of a rack that fits all tasks first, if there is one."""
    labels = {label for worker in workers for label in worker.report.labels}
    for label in sorted(labels):
        rack = [worker for worker in workers if label in worker.report.labels]
        if len(rack) == len(workers):
            continue
        count = sum(fitting_count(stage, worker) for worker in rack)
        if count >= len(stage.waiting):
            return [
                *rack,
                *(worker for worker in workers if worker not in rack),
            ]
    return workers
