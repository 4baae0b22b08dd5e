"""Placement of the tasks of a stage on workers."""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING

from currantreach_jobs._advice_planning import MAX_QUERIED, planned_count
from currantreach_jobs._borrowing import may_borrow, may_overtake
from currantreach_jobs._packing import free_cpu
from currantreach_jobs._usage import fitting_count_within

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantreach_jobs._packing import FreeShare
    from currantreach_jobs._progress import Stage
    from currantreach_jobs._stage_durations import StageDurations
    from currantreach_jobs._usage import WorkerState
    from currantreach_jobs._worker_ranking import SpeedOrder

__all__ = (
    'assign',
    'eligible_workers',
    'fits',
    'fitting_count',
    'max_fitting_count',
    'meets_requirements',
    'workers_to_probe',
    'workers_to_query',
)

# Other tasks may take part of the free capacity while a call is in flight.
_RACE_MARGIN = 1.25


def eligible_workers(
    stage: Stage,
    workers: Iterable[WorkerState],
    now_s: float,
    is_boosted: bool = False,
    speed_order: SpeedOrder | None = None,
    durations: StageDurations | None = None,
    free_share: FreeShare = free_cpu,
    has_spare: bool = False,
) -> list[WorkerState]:
    """Return the workers that may run tasks of a stage, best first.

    :param workers: workers on which anything may be started.
    :param is_boosted: whether capacity reserved for other stages may be used.
    :param speed_order: order of the speeds of workers, if they differ.
    :param durations: expected durations, by which a task may use capacity that
        is reserved for a later time.
    :param free_share: measure of the free capacity of a worker.
    :param has_spare: whether the service has enough capacity to spare that no
        stage need wait for long for the sake of another one.

    Cold workers come last, and after them those that a service with a response
    time target would share with best-effort tasks. Among equally fast workers,
    those with less free capacity come first (best fit), so that emptier ones
    stay available for large tasks and gangs.
    """
    # Each round runs this for most pairs of worker and stage, so the usual case
    # of a worker without a reservation needs no further call.
    fitting: list[WorkerState] = []
    reserved: list[WorkerState] = []
    for candidate in workers:
        if not meets_requirements(stage, candidate):
            continue
        if (
            is_boosted
            or candidate.reserved_by is None
            or not candidate.is_reserved_for_other(stage, now_s)
            or may_borrow(stage, candidate, now_s, durations, has_spare)
        ):
            fitting.append(candidate)
        else:
            reserved.append(candidate)
    if reserved and not _fits_allowed(stage, fitting):
        fitting.extend(
            worker
            for worker in reserved
            if may_overtake(stage, worker, now_s, has_spare)
        )
    step = stage.step
    # The sort is stable: the last key takes precedence over the earlier ones.
    fitting.sort(key=free_share)
    if speed_order is not None:
        fitting.sort(
            key=lambda worker: speed_order.rank(worker.report.worker_id),
        )
    rack = step.data_rack
    if rack:
        fitting.sort(key=lambda worker: rack not in worker.report.labels)
    fitting.sort(key=_is_cold)
    if step.is_filling or step.tail_target_ms:
        fitting.sort(key=lambda worker: worker.would_disturb(step))
    return fitting


def fitting_count(stage: Stage, worker: WorkerState) -> int:
    """Return how many more tasks of a stage a worker may run now."""
    # Most workers of a full fleet have too few free cores for a waiting gang.
    needed_milli = stage.demand.cpu_milli
    if needed_milli and worker.free.cpu_milli < needed_milli:
        return 0
    count = worker.fitting_count(stage)
    limit = stage.step.max_per_worker
    if not limit:
        return count
    running_count = sum(1 for run in worker.running() if run.stage is stage)
    return max(0, min(count, limit - running_count))


def fits(
    stage: Stage, workers: Iterable[WorkerState], needed_count: int
) -> bool:
    """Tell whether a number of tasks fits on some workers now."""
    for worker in workers:
        needed_count -= fitting_count(stage, worker)
        if needed_count <= 0:
            return True
    return False


def _fits_allowed(stage: Stage, workers: Iterable[WorkerState]) -> bool:
    """Tell whether a start fits on workers that are not known as forbidden."""
    allowed = (
        worker
        for worker in workers
        if stage.allowed.get(worker.report.worker_id, True)
    )
    return fits(stage, allowed, stage.min_start_count)


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
    speed_order: SpeedOrder | None = None,
) -> list[tuple[int, WorkerState]]:
    """Assign waiting tasks to workers.

    :param workers: eligible workers, best first.
    :param max_count: number of tasks that the limit of the team allows.
    :param speed_order: order of the speeds of workers, if they differ.
    :returns: pairs of a task's index and its worker; empty for a gang whose
        tasks do not all fit.
    """
    if stage.step.is_gang and speed_order is not None:
        workers = _gang_workers(stage, workers, speed_order)
    elif stage.step.is_rack_local:
        workers = _warm_rack_first(stage, workers)
    indices = sorted(stage.waiting)[:max_count]
    assigned: list[tuple[int, WorkerState]] = []
    for worker in workers:
        first = len(assigned)
        if first >= len(indices):
            break
        count = fitting_count(stage, worker)
        if count:
            chosen = indices[first : first + count]
            assigned.extend((index, worker) for index in chosen)
    if stage.step.is_gang and len(assigned) < stage.step.task_count:
        return []
    return assigned


def workers_to_query(
    stage: Stage,
    workers: Sequence[WorkerState],
    allowed_fraction: float,
    ticket_until_s: float,
    min_count: int = 0,
    speed_order: SpeedOrder | None = None,
) -> list[WorkerState]:
    """Return the workers to query in a call to the placement service.

    Each queried worker makes the call longer, and a call that finds too few
    allowed workers is repeated; the number of queried workers follows from
    both. Workers whose tickets stay valid count towards the need, but are not
    queried again.

    :param workers: workers that are not known to be forbidden, best first.
    :param allowed_fraction: expected fraction of allowed workers among those
        with an unknown answer.
    :param ticket_until_s: time until which a ticket has to be valid.
    :param min_count: number of workers to have tickets for, whether or not
        they have free capacity.
    :param speed_order: order of the speeds of workers, if they differ.
    """
    ordered = _in_query_order(stage, workers, speed_order)
    needed = _needed_workers(stage, ordered, allowed_fraction)
    queried: list[WorkerState] = []
    for candidate in ordered:
        worker_id = candidate.report.worker_id
        if worker_id not in needed and min_count <= 0:
            continue
        min_count -= 1
        if not stage.has_ticket(worker_id, ticket_until_s):
            queried.append(candidate)
    return queried[:MAX_QUERIED]


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
        elif max_fitting_count(stage, worker):
            unknown.append(worker)
    unknown.sort(key=lambda worker: (worker.is_cold, -worker.free.cpu_milli))
    fitting = [max_fitting_count(stage, worker) for worker in unknown]
    count = _unknown_count(stage, fitting, allowed_fraction, missing)
    return unknown[:count]


def _needed_workers(
    stage: Stage,
    ordered: Iterable[WorkerState],
    allowed_fraction: float,
) -> set[str]:
    """Return the workers that the waiting tasks are expected to need.

    :param ordered: workers in query order, those without capacity last.
    """
    missing: float = len(stage.waiting)
    known_count = 0
    needed: set[str] = set()
    unknown: dict[str, int] = {}
    for worker in ordered:
        worker_id = worker.report.worker_id
        count = fitting_count(stage, worker)
        if not count:
            break
        if worker_id not in stage.allowed:
            unknown[worker_id] = count
        elif missing > 0:
            missing -= count / _RACE_MARGIN
            known_count += count
            needed.add(worker_id)
    if known_count >= len(stage.waiting):
        # The margin is not worth more verdicts.
        return needed
    unknown_count = _unknown_count(
        stage, tuple(unknown.values()), allowed_fraction, missing
    )
    needed.update(itertools.islice(unknown, unknown_count))
    return needed


def _unknown_count(
    stage: Stage,
    fitting_counts: Sequence[int],
    allowed_fraction: float,
    missing: float,
) -> int:
    """Return how many workers with an unknown answer to query.

    :param fitting_counts: how many tasks fit on each of them.
    :param missing: number of tasks for which no worker is known yet.
    """
    advice = stage.job_progress.job.queue.advice
    if advice is None or missing <= 0:
        return 0
    return planned_count(
        advice,
        allowed_fraction,
        fitting_counts,
        math.ceil(missing),
    )


def _in_query_order(
    stage: Stage,
    workers: Sequence[WorkerState],
    speed_order: SpeedOrder | None,
) -> list[WorkerState]:
    """Return workers with capacity first, and queried ones first among them.

    For a gang, the workers that fit most of its tasks come first among those
    of similar speed.
    """
    return sorted(
        workers,
        key=lambda worker: _query_rank(stage, worker, speed_order),
    )


def _query_rank(
    stage: Stage,
    worker: WorkerState,
    speed_order: SpeedOrder | None,
) -> tuple[bool, bool, bool, int, int]:
    count = fitting_count(stage, worker)
    worker_id = worker.report.worker_id
    speed_rank = 0
    if stage.step.is_gang and speed_order is not None:
        speed_rank = speed_order.rank(worker_id)
    return (
        not count,
        worker.is_cold,
        worker_id not in stage.allowed,
        speed_rank,
        -count if stage.step.is_gang else 0,
    )


def _gang_workers(
    stage: Stage,
    workers: Sequence[WorkerState],
    speed_order: SpeedOrder,
) -> Sequence[WorkerState]:
    """Return workers of similar speed that fit a gang, if there are any.

    Cold workers are slow for a moment only, so warm ones come first even where
    a gang has time for slower ones.
    """
    task_count = stage.step.task_count
    warm = [worker for worker in workers if not worker.is_cold]
    near = _near_workers(stage, workers)
    for candidates in (_near_workers(stage, warm), warm, near, workers):
        fitting = [
            (worker, fitting_count(stage, worker)) for worker in candidates
        ]
        if sum(count for _, count in fitting) >= task_count:
            return speed_order.gang_members(fitting, task_count)
    return ()


def _near_workers(
    stage: Stage,
    workers: Sequence[WorkerState],
) -> Sequence[WorkerState]:
    """Return the workers near each other or near the data, if that matters."""
    if stage.step.is_rack_local:
        return _single_rack(stage, workers)
    rack = stage.step.data_rack
    if not rack:
        return ()
    return [worker for worker in workers if rack in worker.report.labels]


def _is_cold(worker: WorkerState) -> bool:
    return worker.is_cold


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
    rack = _single_rack(stage, workers)
    if not rack:
        return workers
    return [*rack, *(worker for worker in workers if worker not in rack)]


def _single_rack(
    stage: Stage,
    workers: Sequence[WorkerState],
) -> Sequence[WorkerState]:
    """Return the workers of a rack that fits all tasks, if there is one."""
    labels = {label for worker in workers for label in worker.report.labels}
    for label in sorted(labels):
        rack = [worker for worker in workers if label in worker.report.labels]
        if len(rack) == len(workers):
            continue
        count = sum(fitting_count(stage, worker) for worker in rack)
        if count >= len(stage.waiting):
            return rack
    return ()
