"""Why stages whose turn has come are not started."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._placement import can_ever_take, fitting_count
from currantreach_jobs._progress import RunPhase
from currantreach_jobs._wait_reasons import WaitReason
from currantreach_telemetry import log_event
from currantreach_types import unix_now_ms

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from currantreach_jobs._cluster_state import ClusterState
    from currantreach_jobs._progress import Stage
    from currantreach_jobs._usage import WorkerState
    from currantreach_jobs._worker_session import WorkerSession
    from currantreach_types import Clock

__all__ = (
    'WaitMonitor',
    'WorkerAvailability',
    'availability_of',
    'count_workers',
)

# Waits are looked at this often; a look goes over all open jobs.
_SCAN_S = 0.5
# With two looks a second, some 20 lines a second at most.
_MOST_LINES = 10
# Each line of a stage doubles the wait until its next one.
_REPORT_GROWTH = 2


class WorkerAvailability(enum.StrEnum):
    """Whether anything may be started on a worker, and why not."""

    OPEN = 'open'
    UNLISTED = 'unlisted'
    SILENT = 'silent'
    UNADOPTED = 'unadopted'
    DRAINING = 'draining'
    ORPHANS = 'orphans'
    PAUSED = 'paused'


@attrs.define(slots=True)
class _Fitting:
    """Tasks of a stage that fit on open workers, by what else is needed.

    :ivar free_count: on workers that may take them, as far as is known.
    :ivar reserved_count: on workers that are kept for another stage.
    :ivar forbidden_count: on workers that the queue forbids.
    """

    open_count: int = 0
    free_count: int = 0
    reserved_count: int = 0
    forbidden_count: int = 0


class WaitMonitor:
    """Reports stages that have waited for long, bounded in volume."""

    def __init__(
        self,
        cluster: ClusterState,
        clock: Clock,
        sessions: Mapping[str, WorkerSession],
    ) -> None:
        """Start with nothing reported.

        :param sessions: sessions with all workers by their ids.
        """
        self._cluster = cluster
        self._clock = clock
        self._sessions = sessions
        self._next_scan_s: float = 0
        self._gate: WaitReason | None = None

    def log_waits(self, gate: WaitReason | None = None) -> None:
        """Write a line for the stages that have waited longest.

        :param gate: what kept this round from starting anything.
        """
        self._gate = gate
        now_s = self._clock.now_s()
        if now_s < self._next_scan_s:
            return
        self._next_scan_s = now_s + _SCAN_S
        due: list[Stage] = []
        for stage in self._pending_stages():
            stage.note_turn(now_s)
            if now_s >= stage.wait_began_s + stage.report_after_s:
                due.append(stage)
        due.sort(key=lambda stage: stage.wait_began_s)
        for reported in due[:_MOST_LINES]:
            self._report(reported, now_s)

    def count_by_reason(self) -> dict[str, float]:
        """Return the number of waiting stages by their obstacle.

        Going over all workers for each stage would take a tenth of a second
        for a thousand stages, so that the reason last logged is used.
        """
        found: collections.Counter[str] = collections.Counter(
            dict.fromkeys(WaitReason, 0),
        )
        for stage in self._pending_stages():
            obstacle = self._obstacle_of(stage)
            if obstacle is WaitReason.NO_ROOM:
                obstacle = stage.room_obstacle
            found[obstacle] += 1
        return dict(found)

    def _pending_stages(self) -> Iterator[Stage]:
        unix_ms = unix_now_ms()
        for progress in self._cluster.open_jobs.values():
            yield from progress.pending_stages(unix_ms)

    def _report(self, stage: Stage, now_s: float) -> None:
        waited_s = now_s - stage.wait_began_s
        stage.report_after_s = _REPORT_GROWTH * waited_s
        obstacle = self._obstacle_of(stage)
        if obstacle is WaitReason.HELD:
            inputs = self._held_inputs(stage, now_s)
        elif obstacle is WaitReason.NO_ROOM:
            obstacle, inputs = self._explain_room(stage, now_s)
            stage.room_obstacle = obstacle
        else:
            inputs = _inputs_of(obstacle, stage, now_s)
        running = sum(1 for task in stage.tasks if task.run is not None)
        log_event(
            'stage_waiting',
            job=stage.owner.job.job_id,
            step=stage.number,
            waiting=len(stage.waiting),
            held=len(stage.held),
            running=running,
            since_s=round(waited_s, 1),
            reason=obstacle,
            **inputs,
        )

    def _obstacle_of(self, stage: Stage) -> WaitReason:
        if not stage.waiting or (stage.step.is_gang and stage.held):
            return WaitReason.HELD
        if stage.owner.is_unwritable:
            return WaitReason.RECORD_REJECTED
        return self._gate or stage.obstacle

    def _held_inputs(self, stage: Stage, now_s: float) -> Mapping[str, object]:
        over_s: dict[str, float] = {}
        for place in stage.held.values():
            session = self._sessions.get(place.worker_id)
            over_s[place.worker_id] = (
                session.leases_expire_at_s if session else 0
            )
        last = max(over_s, key=lambda worker_id: over_s[worker_id])
        return {'worker': last, 'for_s': round(over_s[last] - now_s, 1)}

    def _explain_room(
        self,
        stage: Stage,
        now_s: float,
    ) -> tuple[WaitReason, Mapping[str, object]]:
        wanted = stage.step.task_count if stage.step.is_gang else 1
        found = _Fitting()
        for room in self._cluster.workers.values():
            if room.is_open(now_s) and can_ever_take(stage, room):
                _count(found, stage, room, now_s)
        obstacle = WaitReason.NO_ROOM
        fitting = found.free_count + found.reserved_count
        if found.free_count < wanted <= fitting:
            obstacle = WaitReason.RESERVED
        elif fitting < wanted <= fitting + found.forbidden_count:
            obstacle = WaitReason.NOT_ALLOWED
        return obstacle, {
            'wanted': wanted,
            'fitting': found.free_count,
            'reserved': found.reserved_count,
            'forbidden': found.forbidden_count,
            'open': found.open_count,
            'workers': len(self._cluster.workers),
        }


def _count(
    found: _Fitting,
    stage: Stage,
    room: WorkerState,
    now_s: float,
) -> None:
    """Count the tasks of a stage that fit on a worker."""
    found.open_count += 1
    count = fitting_count(stage, room)
    if stage.allowed.get(room.report.worker_id) is False:
        found.forbidden_count += count
    elif room.is_reserved_for_other(stage, now_s):
        found.reserved_count += count
    else:
        found.free_count += count


def _inputs_of(
    obstacle: WaitReason,
    stage: Stage,
    now_s: float,
) -> Mapping[str, object]:
    """Return the inputs of an obstacle that lies in the stage itself."""
    if obstacle is WaitReason.PAUSED:
        return {'for_s': round(stage.retry_at_s - now_s, 1)}
    if obstacle is WaitReason.ADVICE_PENDING:
        return {'for_s': round(stage.asked_until_s - now_s, 1)}
    if obstacle is WaitReason.TEAM_LIMIT:
        return {'team': stage.owner.job.team}
    runs = [task.run for task in stage.tasks if task.run is not None]
    if obstacle is WaitReason.GANG_INCOMPLETE and runs:
        oldest = min(runs, key=lambda run: run.sent_at_s)
        stopping = sum(1 for run in runs if run.phase is RunPhase.STOPPING)
        return {
            'stopping': stopping,
            'worker': oldest.worker_id,
            'sent_s': round(now_s - oldest.sent_at_s, 1),
        }
    return {}


def availability_of(
    room: WorkerState,
    is_silent: bool,
    is_adopted: bool,
    now_s: float,
) -> WorkerAvailability:
    """Return whether anything may be started on a worker, and why not."""
    checks = (
        (room.is_listed, WorkerAvailability.UNLISTED),
        (not is_silent, WorkerAvailability.SILENT),
        (is_adopted and room.is_usable, WorkerAvailability.UNADOPTED),
        (not room.report.is_draining, WorkerAvailability.DRAINING),
        (not room.orphans, WorkerAvailability.ORPHANS),
        (now_s >= room.failing_until_s, WorkerAvailability.PAUSED),
    )
    for is_passed, state in checks:
        if not is_passed:
            return state
    return WorkerAvailability.OPEN


def count_workers(
    workers: Mapping[str, WorkerState],
    sessions: Mapping[str, WorkerSession],
    now_s: float,
) -> dict[str, float]:
    """Return the number of workers by their state."""
    counts: collections.Counter[str] = collections.Counter(
        dict.fromkeys(WorkerAvailability, 0),
    )
    for worker_id, session in sessions.items():
        state = availability_of(
            workers[worker_id],
            session.is_silent,
            session.is_adopted,
            now_s,
        )
        counts[state] += 1
    return dict(counts)
