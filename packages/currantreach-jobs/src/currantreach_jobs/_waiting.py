"""Monitoring of stages that wait, and of workers that cannot be used."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._obstacles import Obstacle
from currantreach_jobs._placement import fitting_count, meets_requirements
from currantreach_jobs._progress import RunPhase
from currantreach_telemetry import log_event
from currantreach_types import unix_now_ms

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from currantreach_jobs._board import Board
    from currantreach_jobs._progress import Stage
    from currantreach_jobs._rooms import WorkerRoom
    from currantreach_jobs._worker_session import WorkerSession
    from currantreach_types import Clock

__all__ = ('WaitMonitor', 'WorkerState', 'count_workers', 'state_of_worker')

# Interval between two scans for long waits; a scan goes over all open jobs.
_SCAN_S = 0.5
# At most this many lines for a scan; with two scans a second, some 20 lines a
# second.
_MAX_LINES = 10
# Each line about a stage doubles the wait after which the next one is logged.
_REPORT_GROWTH = 2


class WorkerState(enum.StrEnum):
    """Whether anything may be started on a worker, and why not.

    :cvar OPEN: anything that fits may be started.
    :cvar UNLISTED: the platform does not list the worker.
    :cvar SILENT: its last call had no answer.
    :cvar UNADOPTED: its runs are not known, or it is recorded as released.
    :cvar DRAINING: it is about to leave.
    :cvar ORPHANS: it still runs something that no job needs any more.
    :cvar PAUSED: runs of several jobs in a row have failed on it.
    """

    OPEN = 'open'
    UNLISTED = 'unlisted'
    SILENT = 'silent'
    UNADOPTED = 'unadopted'
    DRAINING = 'draining'
    ORPHANS = 'orphans'
    PAUSED = 'paused'


@attrs.define(slots=True)
class _FittingCounts:
    """Numbers of tasks of a stage that fit on the open workers.

    :ivar open_count: number of these workers.
    :ivar free_count: tasks on workers not known to be forbidden.
    :ivar reserved_count: tasks on workers that are reserved for another stage.
    :ivar forbidden_count: tasks on workers that the placement service forbids.
    """

    open_count: int = 0
    free_count: int = 0
    reserved_count: int = 0
    forbidden_count: int = 0


class WaitMonitor:
    """Logs why stages wait for long, with a limited number of lines."""

    def __init__(
        self,
        board: Board,
        clock: Clock,
        sessions: Mapping[str, WorkerSession],
    ) -> None:
        """Create a monitor.

        :param sessions: sessions with all workers, by worker id.
        """
        self._board = board
        self._clock = clock
        self._sessions = sessions
        self._next_scan_s: float = 0
        self._block_reason: Obstacle | None = None

    def note_round(self, block_reason: Obstacle | None = None) -> None:
        """Log the stages that have waited longest, once per interval.

        :param block_reason: why this round could not start anything, if so.
        """
        self._block_reason = block_reason
        now_s = self._clock.now_s()
        if now_s < self._next_scan_s:
            return
        self._next_scan_s = now_s + _SCAN_S
        due: list[Stage] = []
        for stage in self._pending_stages():
            stage.mark_startable(now_s)
            if now_s >= stage.wait_began_s + stage.report_after_s:
                due.append(stage)
        due.sort(key=lambda stage: stage.wait_began_s)
        for reported in due[:_MAX_LINES]:
            self._report(reported, now_s)

    def counts(self) -> dict[str, float]:
        """Return the number of waiting stages by the reason of their wait.

        Checking all workers for each stage would take a tenth of a second for
        a thousand stages, so the reason that was logged last is used.
        """
        found: collections.Counter[str] = collections.Counter(
            dict.fromkeys(Obstacle, 0),
        )
        for stage in self._pending_stages():
            wait_reason = self._wait_reason_of(stage)
            if wait_reason is Obstacle.NO_ROOM:
                wait_reason = stage.capacity_wait_reason
            found[wait_reason] += 1
        return dict(found)

    def _pending_stages(self) -> Iterator[Stage]:
        unix_ms = unix_now_ms()
        for progress in self._board.open_jobs.values():
            yield from progress.pending_stages(unix_ms)

    def _report(self, stage: Stage, now_s: float) -> None:
        waited_s = now_s - stage.wait_began_s
        stage.report_after_s = _REPORT_GROWTH * waited_s
        wait_reason = self._wait_reason_of(stage)
        if wait_reason is Obstacle.HELD:
            fields = self._inherited_fields(stage, now_s)
        elif wait_reason is Obstacle.NO_ROOM:
            wait_reason, fields = self._explain_capacity(stage, now_s)
            stage.capacity_wait_reason = wait_reason
        else:
            fields = _fields_of(wait_reason, stage, now_s)
        running = sum(1 for task in stage.tasks if task.run is not None)
        log_event(
            'stage_waiting',
            job=stage.owner.job.job_id,
            step=stage.number,
            waiting=len(stage.waiting),
            held=len(stage.inherited),
            running=running,
            since_s=round(waited_s, 1),
            reason=wait_reason,
            **fields,
        )

    def _wait_reason_of(self, stage: Stage) -> Obstacle:
        if not stage.waiting or (stage.step.is_gang and stage.inherited):
            return Obstacle.HELD
        if stage.owner.is_unwritable:
            return Obstacle.RECORD_REJECTED
        return self._block_reason or stage.wait_reason

    def _inherited_fields(
        self, stage: Stage, now_s: float
    ) -> Mapping[str, object]:
        expiry_s: dict[str, float] = {}
        for place in stage.inherited.values():
            session = self._sessions.get(place.worker_id)
            expiry_s[place.worker_id] = session.lease_over_s if session else 0
        last = max(expiry_s, key=lambda worker_id: expiry_s[worker_id])
        return {'worker': last, 'for_s': round(expiry_s[last] - now_s, 1)}

    def _explain_capacity(
        self,
        stage: Stage,
        now_s: float,
    ) -> tuple[Obstacle, Mapping[str, object]]:
        needed_count = stage.step.task_count if stage.step.is_gang else 1
        found = _FittingCounts()
        for worker in self._board.rooms.values():
            if worker.is_open(now_s) and meets_requirements(stage, worker):
                _count(found, stage, worker, now_s)
        wait_reason = Obstacle.NO_ROOM
        fitting = found.free_count + found.reserved_count
        if found.free_count < needed_count <= fitting:
            wait_reason = Obstacle.RESERVED
        elif fitting < needed_count <= fitting + found.forbidden_count:
            wait_reason = Obstacle.NOT_ALLOWED
        return wait_reason, {
            'wanted': needed_count,
            'fitting': found.free_count,
            'reserved': found.reserved_count,
            'forbidden': found.forbidden_count,
            'open': found.open_count,
            'workers': len(self._board.rooms),
        }


def _count(
    found: _FittingCounts,
    stage: Stage,
    worker: WorkerRoom,
    now_s: float,
) -> None:
    """Add the tasks of a stage that fit on a worker."""
    found.open_count += 1
    count = fitting_count(stage, worker)
    if stage.allowed.get(worker.report.worker_id) is False:
        found.forbidden_count += count
    elif worker.is_reserved_for_other(stage, now_s):
        found.reserved_count += count
    else:
        found.free_count += count


def _fields_of(
    wait_reason: Obstacle,
    stage: Stage,
    now_s: float,
) -> Mapping[str, object]:
    """Return the log fields for a reason that lies in the stage itself."""
    if wait_reason is Obstacle.PAUSED:
        return {'for_s': round(stage.retry_at_s - now_s, 1)}
    if wait_reason is Obstacle.ADVICE_PENDING:
        return {'for_s': round(stage.advice_deadline_s - now_s, 1)}
    if wait_reason is Obstacle.TEAM_LIMIT:
        return {'team': stage.owner.job.team}
    runs = [task.run for task in stage.tasks if task.run is not None]
    if wait_reason is Obstacle.GANG_INCOMPLETE and runs:
        oldest = min(runs, key=lambda run: run.sent_at_s)
        stopping = sum(1 for run in runs if run.phase is RunPhase.STOPPING)
        return {
            'stopping': stopping,
            'worker': oldest.worker_id,
            'sent_s': round(now_s - oldest.sent_at_s, 1),
        }
    return {}


def state_of_worker(
    worker: WorkerRoom,
    is_silent: bool,
    is_adopted: bool,
    now_s: float,
) -> WorkerState:
    """Return whether anything may be started on a worker, and why not."""
    checks = (
        (worker.is_listed, WorkerState.UNLISTED),
        (not is_silent, WorkerState.SILENT),
        (is_adopted and worker.is_usable, WorkerState.UNADOPTED),
        (not worker.report.is_draining, WorkerState.DRAINING),
        (not worker.orphans, WorkerState.ORPHANS),
        (now_s >= worker.paused_until_s, WorkerState.PAUSED),
    )
    for is_passed, state in checks:
        if not is_passed:
            return state
    return WorkerState.OPEN


def count_workers(
    workers: Mapping[str, WorkerRoom],
    sessions: Mapping[str, WorkerSession],
    now_s: float,
) -> dict[str, float]:
    """Return the number of workers by their availability."""
    counts: collections.Counter[str] = collections.Counter(
        dict.fromkeys(WorkerState, 0),
    )
    for worker_id, session in sessions.items():
        state = state_of_worker(
            workers[worker_id],
            session.is_silent,
            session.is_adopted,
            now_s,
        )
        counts[state] += 1
    return dict(counts)
