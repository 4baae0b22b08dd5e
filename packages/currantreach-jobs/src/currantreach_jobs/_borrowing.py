"""Use of capacity that is reserved for another stage."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantreach_jobs._progress import Stage
    from currantreach_jobs._stage_durations import StageDurations
    from currantreach_jobs._usage import WorkerState

__all__ = (
    'has_waited_to_overtake',
    'is_imminent',
    'may_borrow',
    'may_overtake',
    'update_target',
)

# With capacity to spare, no work waits for much longer than this for the sake
# of a gang that cannot start soon.
_OVERTAKING_WAIT_S = 2
# A gang is not overtaken from this time before its expected start on.
_IMMINENT_START_S = 5
# If it has not started this long after, runs take longer than expected, and it
# is overtaken again until its next expected start.
_OVERDUE_START_S = 10


def may_borrow(
    stage: Stage,
    worker: WorkerState,
    now_s: float,
    durations: StageDurations | None,
    has_spare: bool,
) -> bool:
    """Tell whether tasks end before the capacity is needed by its stage.

    :param has_spare: whether the service has capacity to spare.
    """
    if durations is None or stage.step.is_lasting:
        return False
    if worker.is_reserved_strictly and not has_spare:
        return False
    # Cheap checks first: each stage meets all reserved workers in each round.
    if now_s >= worker.reserved_start_s:
        return False
    if worker.free.cpu_milli < stage.demand.cpu_milli:
        return False
    tail_s = durations.tail_s(stage, worker.report.worker_id)
    return worker.is_lendable(tail_s, now_s)


def may_overtake(
    stage: Stage, worker: WorkerState, now_s: float, has_spare: bool
) -> bool:
    """Tell whether a stage may use capacity although a gang waits for it.

    A service whose task has ended must not stay away for as long as the gang
    waits. Other work waits in vain if there is capacity to spare and the gang
    cannot start soon.

    :param has_spare: whether the service has capacity to spare.
    """
    if stage.step.is_lasting:
        return True
    if not has_spare or is_imminent(worker.reserved_target_s, now_s):
        return False
    return has_waited_to_overtake(stage, now_s)


def has_waited_to_overtake(stage: Stage, now_s: float) -> bool:
    """Tell whether a stage has waited long enough to overtake a gang."""
    return now_s - stage.wait_began_s >= _OVERTAKING_WAIT_S


def update_target(stage: Stage, start_s: float, now_s: float) -> float:
    """Return the time from which a stage must not be overtaken, and keep it.

    It is the earliest expected start, as work that overtakes the stage delays
    the later ones. Otherwise work that arrives all the time would keep it from
    starting.

    :param start_s: when the stage is expected to start by now, 0 if that is not
        known.
    """
    is_over = now_s > stage.target_start_s + _OVERDUE_START_S
    if not start_s or not stage.target_start_s or is_over:
        stage.target_start_s = start_s
    stage.target_start_s = min(stage.target_start_s, start_s)
    return stage.target_start_s


def is_imminent(target_s: float, now_s: float) -> bool:
    """Tell whether a stage must not be overtaken any more.

    :param target_s: its earliest expected start, 0 if it is not known.
    """
    return bool(target_s) and now_s >= target_s - _IMMINENT_START_S
