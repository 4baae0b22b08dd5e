"""Monitoring of stages that wait, and of workers that cannot be used."""

from __future__ import annotations

import collections
import enum
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._placement import fitting_count, meets_requirements
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

# Interval between two scans for long waits; a scan goes over all open jobs.
_SCAN_S = 0.5
# At most this many lines for a scan; with two scans a second, some 20 lines a
# second.
_MAX_LINES = 10
# Each line about a stage doubles the wait after which the next one is logged.
_LOG_GROWTH = 2


class WorkerAvailability(enum.StrEnum):
    """Whether anything may be started on a worker, and why not.

    :cvar OPEN: anything that fits may be started.
    :cvar UNLISTED: the platform does not list the worker.
    :cvar SILENT: its last call had no answer.
    :cvar UNADOPTED: its runs are not known, it is recorded as released, or the
        platform's report is of a former process.
    :cvar EVACUATED: its failure domain is evacuated.
    :cvar DRAINING: it is about to leave.
    :cvar ORPHANS: it runs something of which no step is known.
    :cvar PAUSED: runs of several jobs in a row have failed on it.
    """

    OPEN = 'open'
    UNLISTED = 'unlisted'
    SILENT = 'silent'
    UNADOPTED = 'unadopted'
    EVACUATED = 'evacuated'
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
    :ivar evacuated_count: tasks on evacuated workers that are not forbidden.
    :ivar has_evacuated: whether the service of the stage has evacuated workers.
    """

    open_count: int = 0
    free_count: int = 0
    reserved_count: int = 0
    forbidden_count: int = 0
    evacuated_count: int = 0
    has_evacuated: bool = False

    def explain(self, needed_count: int) -> WaitReason:
        """Return why a number of tasks finds no capacity."""
        fitting = self.free_count + self.reserved_count
        if self.free_count < needed_count <= fitting:
            return WaitReason.RESERVED
        if fitting < needed_count <= fitting + self.forbidden_count:
            return WaitReason.NOT_ALLOWED
        if fitting < needed_count <= fitting + self.evacuated_count:
            return WaitReason.EVACUATED
        if self.has_evacuated and not self.open_count:
            return WaitReason.EVACUATED
        return WaitReason.NO_ROOM


class WaitMonitor:
    """Logs why stages wait for long, with a limited number of lines."""

    def __init__(
        self,
        cluster: ClusterState,
        clock: Clock,
        sessions: Mapping[str, WorkerSession],
    ) -> None:
        """Create a monitor.

        :param sessions: sessions with all workers, by worker id.
        """
        self._cluster = cluster
        self._clock = clock
        self._sessions = sessions
        self._next_scan_s: float = 0
        self._global_wait_reason: WaitReason | None = None

    def log_waits(self, global_wait_reason: WaitReason | None = None) -> None:
        """Log the stages that have waited longest, once per interval.

        :param global_wait_reason: why this round could not start anything, if
            so.
        """
        self._global_wait_reason = global_wait_reason
        now_s = self._clock.now_s()
        if now_s < self._next_scan_s:
            return
        self._next_scan_s = now_s + _SCAN_S
        due: list[Stage] = []
        for stage in self._pending_stages():
            stage.mark_startable(now_s)
            if now_s >= stage.wait_began_s + stage.log_after_s:
                due.append(stage)
        due.sort(key=lambda stage: stage.wait_began_s)
        for reported in due[:_MAX_LINES]:
            self._log_wait(reported, now_s)

    def count_by_reason(self) -> dict[str, float]:
        """Return the number of waiting stages by the reason of their wait.

        Checking all workers for each stage would take a tenth of a second for
        a thousand stages, so the reason that was logged last is used.
        """
        found: collections.Counter[str] = collections.Counter(
            dict.fromkeys(WaitReason, 0),
        )
        for stage in self._pending_stages():
            wait_reason = self._wait_reason_of(stage)
            if wait_reason is WaitReason.NO_ROOM:
                wait_reason = stage.capacity_wait_reason
            found[wait_reason] += 1
        return dict(found)

    def _pending_stages(self) -> Iterator[Stage]:
        unix_ms = unix_now_ms()
        for progress in self._cluster.open_jobs.values():
            yield from progress.pending_stages(unix_ms)

    def _log_wait(self, stage: Stage, now_s: float) -> None:
        waited_s = now_s - stage.wait_began_s
        stage.log_after_s = _LOG_GROWTH * waited_s
        wait_reason = self._wait_reason_of(stage)
        if wait_reason is WaitReason.HELD:
            fields = self._inherited_fields(stage, now_s)
        elif wait_reason is WaitReason.NO_ROOM:
            wait_reason, fields = self._explain_capacity(stage, now_s)
            stage.capacity_wait_reason = wait_reason
        else:
            fields = _fields_of(wait_reason, stage, now_s)
        running = sum(1 for task in stage.tasks if task.run is not None)
        log_event(
            'stage_waiting',
            job=stage.job_progress.job.job_id,
            step=stage.step_number,
            waiting=len(stage.waiting),
            held=len(stage.inherited),
            running=running,
            since_s=round(waited_s, 1),
            reason=wait_reason,
            **fields,
        )

    def _wait_reason_of(self, stage: Stage) -> WaitReason:
        if not stage.waiting or (stage.step.is_gang and stage.inherited):
            return WaitReason.HELD
        if stage.job_progress.is_unwritable:
            return WaitReason.RECORD_REJECTED
        return self._global_wait_reason or stage.wait_reason

    def _inherited_fields(
        self, stage: Stage, now_s: float
    ) -> Mapping[str, object]:
        expiry_s: dict[str, float] = {}
        for placement in stage.inherited.values():
            session = self._sessions.get(placement.worker_id)
            expiry_s[placement.worker_id] = (
                session.leases_expire_at_s if session else 0
            )
        last = max(expiry_s, key=lambda worker_id: expiry_s[worker_id])
        return {'worker': last, 'for_s': round(expiry_s[last] - now_s, 1)}

    def _explain_capacity(
        self,
        stage: Stage,
        now_s: float,
    ) -> tuple[WaitReason, Mapping[str, object]]:
        needed_count = stage.min_start_count
        found = _FittingCounts()
        for worker in self._cluster.workers.values():
            if meets_requirements(stage, worker):
                _add_fitting(found, stage, worker, now_s)
        return found.explain(needed_count), {
            'wanted': needed_count,
            'fitting': found.free_count,
            'reserved': found.reserved_count,
            'forbidden': found.forbidden_count,
            'evacuated': found.evacuated_count,
            'open': found.open_count,
            'workers': len(self._cluster.workers),
            **_advice_fields(stage, now_s),
        }


def _add_fitting(
    found: _FittingCounts,
    stage: Stage,
    worker: WorkerState,
    now_s: float,
) -> None:
    """Add the tasks of a stage that fit on a worker, if it is available."""
    found.has_evacuated |= worker.is_evacuated
    if not worker.is_available(now_s):
        return
    count = fitting_count(stage, worker)
    is_forbidden = stage.allowed.get(worker.report.worker_id) is False
    if worker.is_evacuated:
        found.evacuated_count += 0 if is_forbidden else count
        return
    found.open_count += 1
    if is_forbidden:
        found.forbidden_count += count
    elif worker.is_reserved_for_other(stage, now_s):
        found.reserved_count += count
    else:
        found.free_count += count


def _advice_fields(stage: Stage, now_s: float) -> Mapping[str, object]:
    """Return what is known of the placement service and of the capacity."""
    fields: dict[str, object] = {}
    if stage.job_progress.job.queue.advice is not None:
        fields['calls'] = stage.advice_call_count
        fields['allowed'] = sum(stage.allowed.values())
    if stage.expected_start_s:
        fields['expected_s'] = round(stage.expected_start_s - now_s, 1)
    return fields


def _fields_of(
    wait_reason: WaitReason,
    stage: Stage,
    now_s: float,
) -> Mapping[str, object]:
    """Return the log fields for a reason that lies in the stage itself."""
    if wait_reason is WaitReason.PAUSED:
        return {'for_s': round(stage.retry_at_s - now_s, 1)}
    if wait_reason is WaitReason.ADVICE_PENDING:
        return {'for_s': round(stage.advice_deadline_s - now_s, 1)}
    if wait_reason is WaitReason.TEAM_LIMIT:
        return {'team': stage.job_progress.job.team}
    runs = [task.run for task in stage.tasks if task.run is not None]
    if wait_reason is WaitReason.GANG_INCOMPLETE and runs:
        oldest = min(runs, key=lambda run: run.created_at_s)
        stopping = sum(1 for run in runs if run.phase is RunPhase.STOPPING)
        return {
            'stopping': stopping,
            'worker': oldest.worker_id,
            'sent_s': round(now_s - oldest.created_at_s, 1),
        }
    return {}


def availability_of(
    worker: WorkerState,
    is_silent: bool,
    is_adopted: bool,
    now_s: float,
) -> WorkerAvailability:
    """Return whether anything may be started on a worker, and why not."""
    checks = (
        (worker.is_listed, WorkerAvailability.UNLISTED),
        (not is_silent, WorkerAvailability.SILENT),
        (is_adopted and worker.is_usable, WorkerAvailability.UNADOPTED),
        (worker.has_current_report, WorkerAvailability.UNADOPTED),
        (not worker.is_evacuated, WorkerAvailability.EVACUATED),
        (not worker.report.is_draining, WorkerAvailability.DRAINING),
        (not worker.orphans, WorkerAvailability.ORPHANS),
        (now_s >= worker.paused_until_s, WorkerAvailability.PAUSED),
    )
    for is_passed, availability in checks:
        if not is_passed:
            return availability
    return WorkerAvailability.OPEN


def count_workers(
    workers: Mapping[str, WorkerState],
    sessions: Mapping[str, WorkerSession],
    now_s: float,
) -> dict[str, float]:
    """Return the number of workers by their availability."""
    counts: collections.Counter[str] = collections.Counter(
        dict.fromkeys(WorkerAvailability, 0),
    )
    for worker_id, session in sessions.items():
        availability = availability_of(
            workers[worker_id],
            session.is_silent,
            session.is_adopted,
            now_s,
        )
        counts[availability] += 1
    return dict(counts)
