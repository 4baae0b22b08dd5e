"""Scheduling by the leader, from recovery to the end of its leadership."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from currantreach_jobs._advice import AdviceDispatcher, AdviceService
from currantreach_jobs._cluster_state import ClusterState
from currantreach_jobs._committer import Committer
from currantreach_jobs._decider import StageScheduler
from currantreach_jobs._duration_recorder import DurationRecorder
from currantreach_jobs._job_watcher import JobWatcher, read_jobs, read_progress
from currantreach_jobs._load import Load, measure_load
from currantreach_jobs._records import (
    FLEET_KEY,
    LEADER_KEY,
    FleetRecord,
    ProgressRecord,
    cancel_key,
    job_key,
    progress_key,
)
from currantreach_jobs._releases import WorkerReleases
from currantreach_jobs._rounds import SchedulingRounds
from currantreach_jobs._supervision import failure_of, keep_running
from currantreach_jobs._wait_monitor import WaitMonitor, count_workers
from currantreach_jobs._wait_reasons import WaitReason
from currantreach_jobs._worker_session import WorkerSession
from currantreach_platform import Write
from currantreach_telemetry import log_event, log_warning
from currantreach_types import decode_msgpack, encode_msgpack, unix_now_ms
from currantreach_types.errors import (
    MalformedMessageError,
    PlatformError,
    TransactionConflictError,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping, Sequence

    from currantreach_jobs._clients import DaemonDependencies
    from currantreach_jobs._coordinator import Coordinator
    from currantreach_jobs._links import Links
    from currantreach_jobs._model import Job, WorkerReport
    from currantreach_jobs._progress import Run
    from currantreach_jobs._settings import JobSettings, Leadership
    from currantreach_types import Clock

__all__ = ('JobScheduler',)

# Nothing is scheduled while records wait longer than this for their write: a
# start order would wait behind them, and its tickets would expire.
_MAX_WRITE_LAG_S = 0.6
# Pause after a failed write of the fleet record; no new worker is used until it
# is written.
_RETRY_S = 0.2
# Interval of the cleanup of records, a small fraction of the retention time of
# ended jobs.
_CLEANUP_INTERVAL_S = 5
# A leader checks this often whether another host is better suited to lead, as
# it may have been elected while no such host was a member.
_CANDIDATE_CHECK_S = 4
# A measured load is reused for this long, as all daemons ask the leader for it.
_LOAD_MAX_AGE_S = 0.4
# Workers whose directory entries expired during a store outage are listed again
# within two seconds.
_UNLISTED_GRACE_S = 3
# Attempt numbers of a run start at the epoch times this factor, so that those
# of an earlier leader are lower.
_ATTEMPTS_PER_EPOCH = 1000
# A worker in another failure domain answers its first call within some 40 ms. A
# leader that ends before the call's timeout has then stored which workers did
# not answer.
_FIRST_ANSWER_S = 0.25
_MS_PER_S = 1000


class JobScheduler:
    """Schedules all jobs of the cell while this daemon is the leader.

    :ivar is_ready: whether all jobs are recovered and scheduling has begun.
    """

    def __init__(
        self,
        leadership: Leadership,
        coordinator: Coordinator,
        dependencies: DaemonDependencies,
        links: Links,
        advice_service: AdviceService,
        settings: JobSettings,
        clock: Clock,
    ) -> None:
        """Create an empty state; :meth:`run` recovers the jobs."""
        self.is_ready = False
        self.leadership = leadership
        self._coordinator = coordinator
        self._dependencies = dependencies
        self._store = dependencies.store
        self._settings = settings
        self._clock = clock
        self._rounds = SchedulingRounds(
            clock,
            self._run_round,
            self._run_urgent_round,
            dependencies.metrics.record_retry,
        )
        self._committer = Committer(
            dependencies.store,
            leadership,
            clock,
            dependencies.metrics,
        )
        self.cluster = ClusterState(
            clock,
            self._committer.mark_dirty,
            self._rounds.request,
            dependencies.metrics,
        )
        self._committer.jobs = self.cluster.jobs
        self.cluster.memory.limit_bytes = coordinator.job_memory_bytes()
        self.cluster.evacuations.follow(
            dependencies.source, settings.max_evacuation_view_age_s
        )
        self._sessions: dict[str, WorkerSession] = {}
        self.wait_monitor = WaitMonitor(self.cluster, clock, self._sessions)
        self._advice_dispatcher = AdviceDispatcher(
            coordinator,
            links,
            advice_service,
            clock,
            self._rounds.request,
            dependencies.metrics,
        )
        self._stage_scheduler = StageScheduler(
            self.cluster,
            self._advice_dispatcher,
            clock,
            self._order_start,
            lambda: dependencies.source.config,
            dependencies.metrics,
        )
        self._session_tasks: dict[str, asyncio.Task[None]] = {}
        self._unlisted_since_s: dict[str, float] = {}
        self._load = Load()
        self._load_measured_at_s: float = 0
        self._releases = WorkerReleases(
            dependencies.store, leadership, clock, coordinator.releases
        )
        self._duration_recorder = DurationRecorder(
            dependencies.store, leadership, clock, self.cluster
        )
        self._fleet_revision = 0
        self._stored_fleet: frozenset[str] = frozenset()
        self._has_opened_fleet = asyncio.Event()

    async def run(self) -> None:
        """Recover the jobs and schedule them until the leadership ends."""
        background = [
            self._start_part(
                'lease',
                lambda: self._coordinator.maintain_lease(self.leadership),
            ),
            # Releases of silent workers are written while the jobs are read.
            self._start_part('releases', self._releases.run),
            self._start_part('durations', self._duration_recorder.run),
            self._start_part(
                'first_answers',
                lambda: _release_unanswered(
                    self._has_opened_fleet, self._sessions
                ),
            ),
        ]
        try:
            await self._recover_and_schedule()
        finally:
            self.leadership.is_over = True
            await self._close(background)
        log_event('leadership_ended', epoch=self.leadership.epoch)

    def load(self) -> Load:
        """Return the load of the fleet, measured at most a moment ago."""
        now_s = self._clock.now_s()
        if now_s > self._load_measured_at_s + _LOAD_MAX_AGE_S:
            self._load_measured_at_s = now_s
            self.cluster.memory.limit_bytes = (
                self._coordinator.job_memory_bytes()
            )
            self._load = measure_load(self.cluster, now_s)
        return self._load

    def add_accepted_job(self, job: Job) -> None:
        """Add a job that this or another daemon has accepted."""
        self._add_job(job, weight=self._team_weight(job))

    def worker_counts(self) -> dict[str, float]:
        """Return the number of workers by their state."""
        return count_workers(
            self.cluster.workers,
            self._sessions,
            self._clock.now_s(),
        )

    async def resign(self) -> None:
        """Write the pending records and give up the leadership."""
        if self.leadership.is_over:
            return
        try:
            await asyncio.wait_for(self._committer.flush(), 1)
        except (TimeoutError, PlatformError) as error:
            log_event('resigned_with_pending_writes', error=error)
        self.leadership.is_over = True
        await self._coordinator.resign()

    async def _recover_and_schedule(self) -> None:
        try:
            revision = await self._recover()
        except PlatformError as error:
            log_warning('recovery_failed', error=error)
            return
        watcher = JobWatcher(
            self._store, self.add_accepted_job, self.cluster.cancel
        )
        watcher.begin_after(revision)
        parts = {
            'committer': self._committer.run,
            'jobs': watcher.follow,
            'directory': self._dependencies.directory.follow,
            'workers': self._follow_directory,
            'cleanup': self._clean_up_records,
            'candidates': self._yield_to_better_candidate,
        }
        tasks = [self._start_part(name, run) for name, run in parts.items()]
        self.is_ready = True
        try:
            await self._rounds.run(lambda: self._is_over())
        finally:
            self.is_ready = False
            await _cancel_all(tasks)

    def _start_part(
        self,
        name: str,
        run: Callable[[], Coroutine[object, object, None]],
    ) -> asyncio.Task[None]:
        return asyncio.create_task(
            keep_running(name, run, self.cluster.count_retry)
        )

    def _run_round(self) -> None:
        self.cluster.durations.refresh(self._clock.now_s())
        self.cluster.evacuations.update()
        wait_reason = self._global_wait_reason()
        if wait_reason is None:
            self._stage_scheduler.schedule()
        self.wait_monitor.log_waits(wait_reason)
        self._send_stops()

    def _run_urgent_round(self) -> None:
        if self._global_wait_reason() is None:
            self._stage_scheduler.schedule_urgent()
        self._send_stops()

    def _global_wait_reason(self) -> WaitReason | None:
        """Return what prevents the start of any run at present, if anything."""
        if self._dependencies.source.config is None:
            return WaitReason.NO_CONFIGURATION
        if self._committer.lag_s() > _MAX_WRITE_LAG_S:
            return WaitReason.RECORDS_UNWRITTEN
        now_s = self._clock.now_s()
        if not self.leadership.can_start_runs(now_s):
            return WaitReason.NO_LEASE
        if not self.cluster.evacuations.is_view_current():
            return WaitReason.EVACUATIONS_UNKNOWN
        return None

    def _is_over(self) -> bool:
        now_s = self._clock.now_s()
        grace_s = self._settings.lease_grace_s
        return not self.leadership.can_extend_leases(now_s, grace_s)

    async def _recover(self) -> int:
        """Read all workers and jobs; return the revision of the job list."""
        attempt_base = self.leadership.epoch * _ATTEMPTS_PER_EPOCH
        # The leases of the workers are renewed while the jobs are read, as they
        # would expire otherwise. Nothing else writes progress or removes jobs
        # once this daemon is the leader.
        await self._recover_fleet()
        accepted, stored = await asyncio.gather(
            read_jobs(self._store),
            read_progress(self._store),
        )
        for unreadable_id in stored.unreadable.union(accepted.unreadable):
            _quarantine(
                self.cluster,
                unreadable_id,
                accepted.jobs.get(unreadable_id),
            )
        for job_id, (record, revision) in stored.records.items():
            self._committer.set_revision(job_id, revision)
            if job_id in accepted.jobs:
                self._add_job(accepted.jobs.pop(job_id), record, attempt_base)
        for job in accepted.jobs.values():
            self._add_job(job, None, attempt_base)
        for cancelled_id in accepted.cancelled:
            self.cluster.cancel(cancelled_id)
        self.cluster.drop_inherited_of_unknown_workers()
        self.cluster.jobs_loaded.set()
        log_event(
            'recovered',
            epoch=self.leadership.epoch,
            jobs=len(self.cluster.jobs),
            open=len(self.cluster.open_jobs),
            workers=len(self._sessions),
        )
        return accepted.revision

    def _add_job(
        self,
        job: Job,
        record: ProgressRecord | None = None,
        attempt_base: int = 0,
        weight: int = 0,
    ) -> None:
        """Add a job, or quarantine it if its record does not match it."""
        try:
            self.cluster.add_job(job, record, attempt_base, weight)
        except Exception as error:
            # Whatever the error, the next leader would meet it again.
            log_warning('job_unusable', job=job.job_id, error=error)
            _quarantine(self.cluster, job.job_id, job)

    async def _recover_fleet(self) -> None:
        await self._releases.read()
        found = await self._store.get(FLEET_KEY)
        if found is None:
            return
        self._fleet_revision = found.revision
        try:
            fleet = decode_msgpack(found.stored, FleetRecord)
        except MalformedMessageError as error:
            log_warning('fleet_unreadable', error=error)
            self.cluster.count_retry('fleet_unreadable')
            # Without the record it is not known which workers run tasks, so
            # wait until all their leases have expired.
            await asyncio.sleep(self._settings.inherited_stray_lease_s)
            return
        self._releases.retain(
            {report.worker_id for report in fleet.workers},
        )
        for report in fleet.workers:
            self._open_session(report)
        self._stored_fleet = frozenset(self._sessions)
        self._has_opened_fleet.set()

    def _team_weight(self, job: Job) -> int:
        config = self._dependencies.source.config
        team = config.teams.get(job.team) if config else None
        return team.weight if team else 0

    async def _follow_directory(self) -> None:
        while True:
            self._reopen_sessions()
            await self._sync_workers()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1):
                    await self._dependencies.directory.changed()

    async def _sync_workers(self) -> None:
        """Add listed workers and remove those that are gone for good."""
        reports = dict(self._dependencies.directory.reports)
        now_s = self._clock.now_s()
        for report in reports.values():
            if report.worker_id in self.cluster.workers:
                self._update_listed(report)
        self._forget_unlisted(reports, now_s)
        worker_ids = frozenset(reports) | frozenset(self._sessions)
        if worker_ids != self._stored_fleet:
            if not await self._write_fleet(worker_ids, reports):
                return
        for new_report in reports.values():
            if new_report.worker_id not in self._sessions:
                self._open_session(new_report)

    def _update_listed(self, report: WorkerReport) -> None:
        worker = self.cluster.workers[report.worker_id]
        worker.is_listed = True
        self._unlisted_since_s.pop(report.worker_id, None)
        if report == worker.report:
            return
        if report.is_draining and not worker.report.is_draining:
            log_event('worker_draining', worker=report.worker_id)
        self.cluster.add_worker(report)

    def _forget_unlisted(
        self,
        reports: dict[str, WorkerReport],
        now_s: float,
    ) -> None:
        for worker_id, worker in tuple(self.cluster.workers.items()):
            if worker_id in reports:
                continue
            since_s = self._unlisted_since_s.setdefault(worker_id, now_s)
            if now_s < since_s + _UNLISTED_GRACE_S:
                continue
            worker.is_listed = False
            session = self._sessions[worker_id]
            if not worker.is_usable and session.has_no_runs_left(now_s):
                self._drop_session(worker_id)

    def _drop_session(self, worker_id: str) -> None:
        log_event('worker_gone', worker=worker_id)
        task = self._session_tasks.pop(worker_id)
        task.cancel()
        session = self._sessions.pop(worker_id)
        self._releases.end_release(worker_id)
        self._unlisted_since_s.pop(worker_id, None)
        self.cluster.remove_worker(worker_id)
        closing = asyncio.create_task(session.close())
        closing.add_done_callback(_log_close_failure)

    async def _write_fleet(
        self,
        worker_ids: frozenset[str],
        reports: dict[str, WorkerReport],
    ) -> bool:
        """Store the list of workers before anything runs on them."""
        known = {
            worker_id: worker.report
            for worker_id, worker in self.cluster.workers.items()
        }
        known.update(reports)
        record = FleetRecord(
            workers=tuple(known[worker_id] for worker_id in sorted(worker_ids)),
        )
        try:
            self._fleet_revision = await self._store.commit(
                {
                    LEADER_KEY: self.leadership.revision,
                    FLEET_KEY: self._fleet_revision,
                },
                [Write(key=FLEET_KEY, stored=encode_msgpack(record))],
            )
        except TransactionConflictError as conflict:
            if conflict.revisions.get(LEADER_KEY) != self.leadership.revision:
                log_warning('leadership_lost', found_by='fleet')
                self.leadership.is_over = True
            self._fleet_revision = conflict.revisions.get(FLEET_KEY, 0)
            return False
        except PlatformError as error:
            log_event('fleet_write_failed', error=error)
            await asyncio.sleep(_RETRY_S)
            return False
        self._stored_fleet = worker_ids
        return True

    def _open_session(self, report: WorkerReport) -> None:
        self.cluster.add_worker(report)
        session = WorkerSession(
            report.worker_id,
            self._dependencies.make_run_client(report),
            self.cluster,
            self.leadership,
            self._settings,
            self._clock,
            self._committer.wait_written,
            self._releases,
        )
        self._sessions[report.worker_id] = session
        self._session_tasks[report.worker_id] = asyncio.create_task(
            session.run(),
        )

    def _reopen_sessions(self) -> None:
        """Restart worker sessions that ended while this daemon still leads.

        A session also ends when the leader lease cannot be renewed for a while;
        the leadership continues if a renewal is answered right after that.
        """
        grace_s = self._settings.lease_grace_s
        if not self.leadership.can_extend_leases(self._clock.now_s(), grace_s):
            return
        for worker_id, task in tuple(self._session_tasks.items()):
            if task.done():
                session = self._sessions[worker_id]
                session.resume_after(failure_of(task))
                self._session_tasks[worker_id] = asyncio.create_task(
                    session.run(),
                )

    def _order_start(self, run: Run, ticket: str) -> None:
        self._sessions[run.worker_id].start(run, ticket)

    def _send_stops(self) -> None:
        for run in self.cluster.pop_pending_stops():
            session = self._sessions.get(run.worker_id)
            if session is not None:
                session.stop(run)

    async def _yield_to_better_candidate(self) -> None:
        """Resign once a host that is better suited to lead is a member."""
        while True:
            await asyncio.sleep(_CANDIDATE_CHECK_S)
            if self._coordinator.has_better_candidate():
                log_event('resigned_to_stronger', epoch=self.leadership.epoch)
                await self.resign()

    async def _clean_up_records(self) -> None:
        """Store unrecorded starts, and remove ended jobs from the store."""
        while True:
            await asyncio.sleep(_CLEANUP_INTERVAL_S)
            for progress in self.cluster.open_jobs.values():
                if progress.has_unrecorded_start():
                    self._committer.mark_dirty(progress.job.job_id)
            keep_ms = round(self._settings.ended_job_retention_s * _MS_PER_S)
            limit_ms = unix_now_ms() - keep_ms
            ended = [
                job_id
                for job_id, progress in self.cluster.jobs.items()
                if progress.durable_state.is_final
                and progress.ended_unix_ms < limit_ms
            ]
            for job_id in ended:
                await self._remove_job(job_id)

    async def _remove_job(self, job_id: str) -> None:
        try:
            await self._store.commit(
                {LEADER_KEY: self.leadership.revision},
                [],
                [job_key(job_id), cancel_key(job_id), progress_key(job_id)],
            )
        except PlatformError as error:
            log_event('job_removal_failed', job=job_id, error=error)
            return
        self.cluster.jobs.pop(job_id, None)
        self._committer.discard(job_id)

    async def _close(self, background: list[asyncio.Task[None]]) -> None:
        await _cancel_all([*background, *self._session_tasks.values()])
        self._committer.close()
        await asyncio.gather(
            *(session.close() for session in self._sessions.values()),
            return_exceptions=True,
        )
        await self._advice_dispatcher.close()


async def _release_unanswered(
    has_opened_fleet: asyncio.Event,
    sessions: Mapping[str, WorkerSession],
) -> None:
    """Release the workers that do not answer soon after the election."""
    await has_opened_fleet.wait()
    await asyncio.sleep(_FIRST_ANSWER_S)
    for session in tuple(sessions.values()):
        session.release_unanswered()


async def _cancel_all(tasks: Sequence[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _quarantine(cluster: ClusterState, job_id: str, job: Job | None) -> None:
    """Quarantine a job, as its runs and ends are not known."""
    cluster.unreadable.add(job_id)
    cluster.quarantined.add(job_id, job)
    cluster.count_retry('job_unreadable')


def _log_close_failure(closing: asyncio.Task[None]) -> None:
    failure = failure_of(closing)
    if failure is not None:
        log_warning('worker_close_failed', error=repr(failure))
