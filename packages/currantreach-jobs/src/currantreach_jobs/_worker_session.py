"""One worker under this daemon: its lease, its lists, starts and stops."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from currantreach_jobs._model import StartAnswer, StartOrder
from currantreach_jobs._orders import BackgroundOrders
from currantreach_jobs._progress import RunPhase
from currantreach_jobs._unacked import UnackedEnds
from currantreach_telemetry import log_event, log_warning
from currantreach_types.errors import PlatformError, WorkerUnavailableError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from currantreach_jobs._clients import RunClient
    from currantreach_jobs._cluster_state import ClusterState
    from currantreach_jobs._model import HoldReply, TaskKey
    from currantreach_jobs._progress import Run
    from currantreach_jobs._releases import Releases
    from currantreach_jobs._settings import JobSettings, Leadership
    from currantreach_jobs._usage import WorkerState
    from currantreach_types import Clock

__all__ = ('WorkerSession',)

_MS_PER_S = 1000
# Pause between two tries to reach a worker, a small part of its lease.
_RETRY_S = 0.3
# A commit takes some 15 ms; after this long the lease is extended again
# before the ends are acknowledged.
_UNWRITTEN_PAUSE_S = 0.3
# A slow store takes 0.25 s for a transaction. Nothing was ordered before the
# record is written, so waiting longer only keeps the room of the run.
_PLACED_TIMEOUT_S = 2
# With a deadline of 0.6 s each, the tries fit into the wait of a gang.
_START_TRIES = 3
# One lost answer is no reason to let the next extension wait for the store.
_RELEASE_FAILURES = 2
# A worker lists this many ends at a time; a full list may be incomplete.
_FULL_LIST = 500
_CLOSED_LOG = 'worker_closed'


class WorkerSession:
    """Holds one worker for as long as this daemon decides.

    :ivar leases_expire_at_s: time after which nothing that was ordered runs.
    """

    def __init__(
        self,
        worker_id: str,
        port: RunClient,
        cluster: ClusterState,
        leadership: Leadership,
        settings: JobSettings,
        clock: Clock,
        written: Callable[[Sequence[str]], Awaitable[None]],
        releases: Releases,
    ) -> None:
        """Prepare a session; :meth:`run` adopts and holds the worker.

        :param written: waits until all that was noted of some jobs is in
            the store.
        :param releases: whether this leader may order anything.
        """
        self.worker_id = worker_id
        self.is_adopted = False
        self.is_lost = False
        self._port = port
        self._cluster = cluster
        self._leadership = leadership
        self._settings = settings
        self._clock = clock
        self._written = written
        self._releases = releases
        self._unacked = UnackedEnds(cluster)
        self._is_silent = False
        self._born_unix_ms = 0
        self._clock_ms = 0
        self._clock_read_s: float = 0
        self._noted_through = 0
        self._acked_through = 0
        self._has_listed_ends = False
        # An earlier leader may still extend leases.
        self.leases_expire_at_s = (
            leadership.acquired_at_s
            + settings.predecessor_grace_s
            + settings.max_lease_s
        )
        self._failure_count = 0
        self._silent_since_s: float | None = None
        wait = releases.wait_for(worker_id)
        if wait is not None:
            self.leases_expire_at_s = min(self.leases_expire_at_s, wait.over_s)
            self._silent_since_s = wait.since_s
        self._orders = BackgroundOrders(worker_id, cluster.count_retry)

    @property
    def is_silent(self) -> bool:
        """Tell whether the last call to the worker had no answer."""
        return self._is_silent

    async def run(self) -> None:
        """Hold the worker until this daemon's tenure is over."""
        settings = self._settings
        while self._leadership.can_extend_leases(
            self._clock.now_s(), settings.lease_grace_s
        ):
            sent_at_s = self._clock.now_s()
            try:
                reply = await self._hold(sent_at_s)
            except PlatformError as error:
                self._note_silence(error)
                await asyncio.sleep(_RETRY_S)
                continue
            if reply.is_fenced:
                self._leadership.is_over = True
                log_event('worker_fenced', worker=self.worker_id)
                return
            self._absorb(reply, sent_at_s)
            await self._acknowledge()
            await self._releases.ended(self.worker_id, _RETRY_S)
        log_event(_CLOSED_LOG, worker=self.worker_id)

    def resume_after(self, failure: BaseException | None) -> None:
        """Prepare to run again after :meth:`run` has ended.

        The worker counts as silent meanwhile, so that a session that always
        fails extends no lease and its tasks run elsewhere in the end.
        """
        self._cluster.count_retry('session_reopened')
        log_warning(
            'worker_session_failed',
            worker=self.worker_id,
            error=repr(failure),
        )
        self._note_silence(
            WorkerUnavailableError('the session ended; it is opened again'),
        )

    async def close(self) -> None:
        """Cancel outstanding orders and close all connections."""
        await self._orders.close()
        await self._port.close()

    def start(self, run: Run, ticket: str) -> None:
        """Order a run in the background."""
        self._orders.send(run.task, run.attempt, self._start(run, ticket))

    def stop(self, run: Run) -> None:
        """Stop a run in the background."""
        self._orders.send(
            run.task,
            run.attempt,
            self._stop(run.task, run.attempt, run),
        )

    async def _hold(self, now_s: float) -> HoldReply:
        has_unacked = self._noted_through > self._acked_through
        may_order = self._releases.may_order(self.worker_id)
        is_calm = self.is_adopted and not self._is_silent and not has_unacked
        deadline_ms = 0
        acked_through = 0
        # Numbers and clock are those of one life of the worker; one that was
        # silent may have been born again. Ends that are not listed any more
        # need no acknowledgement.
        if self._born_unix_ms and not self._is_silent:
            if may_order:
                deadline_ms = self._new_deadline_ms(now_s)
            if self._has_listed_ends:
                acked_through = self._acked_through
        return await self._port.hold(
            self._leadership.epoch,
            acked_through,
            deadline_ms,
            self._settings.long_poll_s if is_calm and may_order else 0,
        )

    def _clock_at(self, now_s: float) -> int:
        """Return the estimated reading of the worker's clock."""
        elapsed_s = now_s - self._clock_read_s
        return self._clock_ms + round(elapsed_s * _MS_PER_S)

    def _new_deadline_ms(self, now_s: float) -> int:
        """Return the end of a new lease on the worker's clock."""
        lease_s = self._settings.run_lease_s
        self.leases_expire_at_s = max(
            self.leases_expire_at_s,
            now_s + self._settings.max_lease_s,
        )
        return self._clock_at(now_s) + round(lease_s * _MS_PER_S)

    def _note_silence(self, error: PlatformError) -> None:
        now_s = self._clock.now_s()
        worker = self._cluster.workers.get(self.worker_id)
        if not self._is_silent:
            log_event('worker_silent', worker=self.worker_id, error=error)
        self._is_silent = True
        self._failure_count += 1
        if self._silent_since_s is None:
            self._silent_since_s = now_s
        if worker is not None:
            worker.is_usable = False
        has_answered = bool(self._born_unix_ms)
        if not has_answered or self._failure_count >= _RELEASE_FAILURES:
            self._releases.release(
                self.worker_id,
                self._silent_since_s,
                self.leases_expire_at_s,
            )
        # Tasks that were placed there are known once all jobs are read.
        is_over = (
            now_s > self.leases_expire_at_s
            and self._cluster.jobs_loaded.is_set()
        )
        if is_over and not self.is_lost:
            self._note_loss(now_s - self._silent_since_s)

    def _note_loss(self, silent_s: float) -> None:
        """Give up the worker, as nothing that was ordered runs any more."""
        self.is_lost = True
        wait = self._releases.wait_for(self.worker_id)
        tenure_s = self._clock.now_s() - self._leadership.acquired_at_s
        log_event(
            'worker_lost',
            worker=self.worker_id,
            silent_s=round(silent_s, 3),
            release=wait.release_id if wait else '',
            tenure_s=round(tenure_s, 3),
        )
        self._cluster.mark_worker_lost(self.worker_id, silent_s)

    def _absorb(self, reply: HoldReply, sent_at_s: float) -> None:
        now_s = self._clock.now_s()
        if not self._born_unix_ms:
            # From here on the worker obeys no earlier leader.
            self.leases_expire_at_s = min(
                self.leases_expire_at_s,
                now_s + self._settings.max_lease_s,
            )
        if reply.born_unix_ms != self._born_unix_ms:
            self._note_birth(reply)
        self._clock_ms = reply.clock_ms
        self._clock_read_s = now_s
        self._has_listed_ends = bool(reply.ended)
        if self._is_silent:
            log_event('worker_answers', worker=self.worker_id)
        self._is_silent = False
        self.is_lost = False
        is_new = not self.is_adopted
        if is_new and self._cluster.jobs_loaded.is_set():
            self._adopt(reply)
        if self.is_adopted:
            self._note_ends(reply, is_new)
            if is_new:
                if not _is_whole(reply):
                    self._adopt_held()
                self._cluster.release_inherited(self.worker_id)
            self._compare(reply, sent_at_s)
        # Only now: a session that always fails keeps the worker released.
        self._failure_count = 0
        self._silent_since_s = None
        self._releases.end(self.worker_id)

    def _note_birth(self, reply: HoldReply) -> None:
        if self._born_unix_ms:
            log_event(
                'worker_reborn',
                worker=self.worker_id,
                born_unix_ms=reply.born_unix_ms,
            )
        self._born_unix_ms = reply.born_unix_ms
        self._noted_through = 0
        self._acked_through = 0
        self._unacked.clear()

    def _adopt(self, reply: HoldReply) -> None:
        """Take over what runs."""
        self.is_adopted = True
        for found in reply.running:
            self._cluster.adopt(self.worker_id, found)
        log_event(
            'worker_adopted',
            worker=self.worker_id,
            running=len(reply.running),
            ended=len(reply.ended),
        )

    def _adopt_held(self) -> None:
        """Take over runs of earlier owners that the lists may not show."""
        for progress in self._cluster.open_jobs.values():
            for hidden in progress.inherited_runs(self.worker_id):
                self._cluster.adopt(self.worker_id, hidden)

    def _note_ends(self, reply: HoldReply, is_new: bool) -> None:
        for ended in reply.ended:
            if ended.number > self._noted_through:
                self._noted_through = ended.number
                self._unacked.note(ended.number, ended.task.job_id)
                self._cluster.end_run(self.worker_id, ended, is_new)

    def _compare(self, reply: HoldReply, sent_at_s: float) -> None:
        """Find runs that are gone and runs that nobody wants."""
        worker = self._cluster.workers.get(self.worker_id)
        if worker is None:
            return
        worker.is_usable = self._releases.may_order(self.worker_id)
        listed = {(found.task, found.attempt): found for found in reply.running}
        self._stop_unwanted(worker, set(listed) - set(worker.runs))
        for run in worker.running():
            found_run = listed.get((run.task, run.attempt))
            if found_run is not None and found_run.checkpoint:
                task = run.stage.tasks[run.task.index]
                task.checkpoint = found_run.checkpoint
        if not _is_whole(reply):
            return
        for run in tuple(worker.running()):
            is_listed = (run.task, run.attempt) in listed
            if not is_listed and 0 < run.confirmed_at_s < sent_at_s:
                self._cluster.mark_run_lost(run)

    async def _acknowledge(self) -> None:
        """Let the worker forget ends once they are in the store.

        Ends that cannot be in the store for now stay listed, with all later
        ones, as long as these are few.
        """
        if not self.is_adopted:
            await self._wait_for_board()
        if not self._unacked:
            return
        ends, let_go = self._unacked.leading()
        if not ends:
            # A worker answers at once while it lists ends.
            await asyncio.sleep(_UNWRITTEN_PAUSE_S)
            return
        born = self._born_unix_ms
        jobs = tuple(set(ends.values()).difference(let_go))
        is_written = await self._is_written(jobs, _UNWRITTEN_PAUSE_S)
        if is_written and born == self._born_unix_ms:
            self._note_let_go(let_go)
            self._acked_through = max(ends)
            self._unacked.drop_through(self._acked_through)

    def _note_let_go(self, job_ids: Sequence[str]) -> None:
        """Note that the worker forgets ends that are not in the store."""
        for job_id in job_ids:
            self._cluster.count_retry('end_let_go')
            log_warning('end_let_go', job=job_id, worker=self.worker_id)

    async def _wait_for_board(self) -> None:
        """Wait before the next try to adopt the worker."""
        if self._cluster.jobs_loaded.is_set():
            await asyncio.sleep(_RETRY_S)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RETRY_S):
                await self._cluster.jobs_loaded.wait()

    async def _is_written(
        self,
        job_ids: Sequence[str],
        timeout_s: float,
    ) -> bool:
        """Wait for a while until the records of jobs are in the store."""
        try:
            await asyncio.wait_for(self._written(job_ids), timeout_s)
        except TimeoutError:
            log_event('unwritten', worker=self.worker_id, jobs=len(job_ids))
            return False
        return True

    async def _start(self, run: Run, ticket: str) -> None:
        # A successor has to know where each task may run.
        if not await self._is_written((run.task.job_id,), _PLACED_TIMEOUT_S):
            self._cluster.refuse_start(run, 'unwritten')
            return
        now_s = self._clock.now_s()
        if ticket and not run.stage.has_ticket(self.worker_id, now_s):
            self._cluster.refuse_start(run, 'ticket_expired')
            return
        is_unsure = False
        for _ in range(_START_TRIES):
            now_s = self._clock.now_s()
            if not self._may_start(run, now_s):
                break
            try:
                answer = await self._port.start(self._order(run, ticket, now_s))
            except WorkerUnavailableError:
                await asyncio.sleep(_RETRY_S / _START_TRIES)
            except PlatformError:
                is_unsure = True
            else:
                self._note_answer(run, answer, is_unsure)
                return
        self._give_up(run, is_unsure)

    def _may_start(self, run: Run, now_s: float) -> bool:
        is_wanted = run.phase is RunPhase.STARTING
        # The deadline is a reading of the clock of a known life.
        may_order = not self._is_silent and self._releases.may_order(
            self.worker_id,
        )
        return (
            is_wanted and may_order and self._leadership.can_start_runs(now_s)
        )

    def _give_up(self, run: Run, is_unsure: bool) -> None:
        """Note that a start got no answer."""
        if not is_unsure:
            self._cluster.refuse_start(run, 'unreachable')
            return
        log_event(
            'start_unsure',
            job=run.task.job_id,
            step=run.task.step,
            task=run.task.index,
            attempt=run.attempt,
            worker=self.worker_id,
        )
        self._cluster.stop(run, 'start_unsure')

    def _order(self, run: Run, ticket: str, now_s: float) -> StartOrder:
        task = run.stage.tasks[run.task.index]
        return StartOrder(
            task=run.task,
            attempt=run.attempt,
            payload=run.stage.owner.job.payload,
            worker_deadline_ms=self._new_deadline_ms(now_s),
            fencing_token=self._leadership.epoch,
            checkpoint=task.checkpoint,
            ticket=ticket,
        )

    def _note_answer(
        self,
        run: Run,
        answer: StartAnswer,
        is_unsure: bool,
    ) -> None:
        if answer is StartAnswer.STARTED:
            self._cluster.confirm_start(run)
        elif answer is StartAnswer.FENCED:
            self._leadership.is_over = True
        elif is_unsure:
            self._cluster.stop(run, 'start_unsure')
        else:
            self._cluster.refuse_start(run, answer)

    def _stop_unwanted(
        self,
        worker: WorkerState,
        listed: set[tuple[TaskKey, int]],
    ) -> None:
        """Stop runs that nobody wants or whose order had no answer.

        :param listed: listed runs that this daemon has not ordered.
        """
        quarantined = self._cluster.quarantined
        quarantined.update_runs(worker, listed)
        orphans = {run for run in listed if run[0].job_id not in quarantined}
        for orphan in self._orders.due_stops(orphans, self._clock.now_s()):
            task, attempt = orphan
            log_event(
                'orphan_stopped',
                job=task.job_id,
                step=task.step,
                task=task.index,
                attempt=attempt,
                worker=self.worker_id,
            )
            self._orders.send(task, attempt, self._stop(task, attempt, None))
        for run in worker.unconfirmed_runs(self._orders.runs()):
            # Its order failed, or ended while this daemon could not hold the
            # worker. What it has done is not known.
            if run not in self._cluster.pending_stops:
                self._cluster.count_retry('stop_unsettled')
                run.phase = RunPhase.STOPPING
                self.stop(run)

    async def _stop(
        self,
        task: TaskKey,
        attempt: int,
        run: Run | None,
    ) -> None:
        """Repeat a stop until the worker answers or nothing runs on it."""
        grace_s = self._settings.lease_grace_s
        while self._leadership.can_extend_leases(self._clock.now_s(), grace_s):
            try:
                has_obeyed = await self._port.stop(
                    task,
                    attempt,
                    self._leadership.epoch,
                )
            except PlatformError:
                if self.is_lost:
                    return
                await asyncio.sleep(_RETRY_S)
                continue
            if not has_obeyed:
                self._leadership.is_over = True
            elif run is not None:
                run.confirmed_at_s = self._clock.now_s()
            return


def _is_whole(reply: HoldReply) -> bool:
    """Tell whether the lists show all runs and all ends of a worker."""
    return not reply.is_partial and len(reply.ended) < _FULL_LIST
