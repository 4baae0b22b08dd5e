"""Choice of the workers for the tasks of a stage."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._usage import whole_room_count

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from currantreach_jobs._progress import Stage
    from currantreach_jobs._usage import WorkerState

__all__ = (
    'assign',
    'can_ever_take',
    'eligible_rooms',
    'fitting_count',
    'rooms_to_ask',
    'rooms_to_learn',
    'whole_count',
)

# The placement service names at most this many workers at a time.
_MOST_NAMED = 100
# Verdicts scatter: with a quarter of the workers allowed, naming 1.6 times the
# workers that are needed on average leaves one call in twelve short of room.
_NAMING_MARGIN = 1.6
# Other work may take a part of the room while a call is under way.
_RACE_MARGIN = 1.25


def eligible_rooms(
    stage: Stage,
    workers: Iterable[WorkerState],
    now_s: float,
    is_first: bool = False,
) -> list[WorkerState]:
    """Return the workers that may take tasks of a stage, most wanted first.

    :param workers: workers on which anything may be started.
    :param is_first: whether what is kept for others may be used.

    Fuller workers come first, so that large tasks and gangs find room.
    """
    fitting = [
        room for room in workers if _may_take(stage, room, now_s, is_first)
    ]
    rack = stage.step.data_rack
    fitting.sort(
        key=lambda room: (
            bool(rack) and rack not in room.report.labels,
            room.free.cpu_milli,
        ),
    )
    return fitting


def fitting_count(stage: Stage, room: WorkerState) -> int:
    """Return how many tasks of a stage a worker may take."""
    count = room.count_of(stage)
    most = stage.step.max_per_worker
    if not most:
        return count
    there = sum(1 for run in room.running() if run.stage is stage)
    return max(0, min(count, most - there))


def whole_count(stage: Stage, room: WorkerState) -> int:
    """Return how many tasks of a stage a worker holds, once it is free.

    Tasks that last never leave it.
    """
    room_there = room.report.room
    for run in room.running():
        if run.stage.step.is_lasting:
            room_there -= run.stage.taken
    count = whole_room_count(stage, room_there)
    most = stage.step.max_per_worker
    return min(count, most) if most else count


def can_ever_take(stage: Stage, room: WorkerState) -> bool:
    """Tell whether a worker has the service and label of a stage."""
    report = room.report
    if report.service != stage.owner.job.queue.service:
        return False
    label = stage.step.required_label
    return not label or label in report.labels


def assign(
    stage: Stage,
    workers: Sequence[WorkerState],
    most: int,
) -> list[tuple[int, WorkerState]]:
    """Assign waiting tasks to workers.

    :param workers: workers, most wanted first.
    :param most: number of tasks that the team may start.
    :returns: pairs of a task's index and its worker; empty for a gang that
        does not fit as a whole.
    """
    if stage.step.is_rack_local:
        workers = _one_rack_first(stage, workers)
    indices = sorted(stage.waiting)[:most]
    assigned: list[tuple[int, WorkerState]] = []
    for room in workers:
        left = indices[len(assigned) :]
        if not left:
            break
        count = fitting_count(stage, room)
        assigned.extend((index, room) for index in left[:count])
    if stage.step.is_gang and len(assigned) < stage.step.task_count:
        return []
    return assigned


def rooms_to_ask(
    stage: Stage,
    workers: Sequence[WorkerState],
    likelihood: float,
    ticket_until_s: float,
    least: int = 0,
) -> list[WorkerState]:
    """Return the workers to name in a call to the placement service.

    Each worker that is named makes the call longer, so that only as many are
    named as the waiting tasks probably need. Workers whose tickets stay valid
    are counted, but not named again.

    :param workers: workers that are not known to be forbidden, most wanted
        first.
    :param likelihood: part of the unknown workers that is allowed.
    :param ticket_until_s: time until which a ticket has to be valid.
    :param least: number of workers to hold tickets of, with room or without.
    """
    missing: float = len(stage.waiting)
    named: list[WorkerState] = []
    for room in _in_order_of_asking(stage, workers):
        if missing <= 0 and least <= 0:
            break
        count = fitting_count(stage, room)
        if not count and least <= 0:
            continue
        least -= 1
        worker_id = room.report.worker_id
        if stage.allowed.get(worker_id, False):
            missing -= count / _RACE_MARGIN
        else:
            missing -= count * likelihood / _NAMING_MARGIN
        if not stage.has_ticket(worker_id, ticket_until_s):
            named.append(room)
    return named[:_MOST_NAMED]


def rooms_to_learn(
    stage: Stage,
    workers: Iterable[WorkerState],
    likelihood: float,
    wanted: int,
) -> list[WorkerState]:
    """Return workers to name so that enough are known to be allowed.

    Room can be kept on workers only whose verdicts are known, while they are
    still full.

    :param workers: workers that are not known to be forbidden.
    :param wanted: number of tasks that start together.
    """
    missing: float = wanted
    unknown: list[WorkerState] = []
    for room in workers:
        if stage.allowed.get(room.report.worker_id, False):
            missing -= whole_count(stage, room)
        else:
            unknown.append(room)
    unknown.sort(key=lambda room: room.free.cpu_milli, reverse=True)
    named: list[WorkerState] = []
    for unsure in unknown:
        if missing <= 0:
            break
        count = whole_count(stage, unsure)
        if count:
            named.append(unsure)
            missing -= count * likelihood / _NAMING_MARGIN
    return named[:_MOST_NAMED]


def _in_order_of_asking(
    stage: Stage,
    workers: Sequence[WorkerState],
) -> list[WorkerState]:
    """Return workers with room first, and allowed ones first among them.

    A gang asks for the emptiest workers.
    """
    return sorted(
        workers,
        key=lambda room: _rank_of_asking(stage, room),
    )


def _rank_of_asking(stage: Stage, room: WorkerState) -> tuple[bool, bool, int]:
    count = fitting_count(stage, room)
    return (
        not count,
        room.report.worker_id not in stage.allowed,
        -count if stage.step.is_gang else 0,
    )


def _may_take(
    stage: Stage,
    room: WorkerState,
    now_s: float,
    is_first: bool,
) -> bool:
    if not can_ever_take(stage, room):
        return False
    if room.reserved_by is not None and not is_first:
        if room.is_reserved_for_other(stage, now_s):
            return False
    return not room.has_mixed_sharing(stage.step)


def _one_rack_first(
    stage: Stage,
    workers: Sequence[WorkerState],
) -> Sequence[WorkerState]:
    """Put the workers of a rack that holds all tasks first, if there is one."""
    labels = {label for room in workers for label in room.report.labels}
    for label in sorted(labels):
        rack = [room for room in workers if label in room.report.labels]
        if len(rack) == len(workers):
            continue
        count = sum(fitting_count(stage, room) for room in rack)
        if count >= len(stage.waiting):
            return [*rack, *(room for room in workers if room not in rack)]
    return workers
