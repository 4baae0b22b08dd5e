"""The leader's session with one worker: leases, reports, starts and stops."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from currantreach_jobs._inherited import (
    adopt_inherited,
    inherited_on,
    may_have_unlisted_runs,
)
from currantreach_jobs._model import StartAnswer, StartOrder
from currantreach_jobs._orders import BackgroundOrders
from currantreach_jobs._pacing import PaceOrders
from currantreach_jobs._pending_acks import PendingAcks
from currantreach_jobs._progress import RunPhase, drop_tickets
from currantreach_jobs._worker_process import WorkerProcess
from currantreach_telemetry import log_event, log_warning
from currantreach_types.errors import PlatformError, WorkerUnavailableError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence

    from currantreach_jobs._clients import RunClient
    from currantreach_jobs._cluster_state import ClusterState
    from currantreach_jobs._model import HoldReply, TaskKey
    from currantreach_jobs._progress import Run
    from currantreach_jobs._releases import WorkerReleases
    from currantreach_jobs._settings import JobSettings, Leadership
    from currantreach_jobs._usage import WorkerState
    from currantreach_types import Clock

__all__ = ('WorkerSession',)

# Pause between two attempts to reach a worker, a small part of its lease.
_RETRY_S = 0.3
# A commit takes some 15 ms. If it takes longer than this, the lease is renewed
# again before the ends are acknowledged.
_WRITE_WAIT_S = 0.3
# A slow store takes 0.25 s for a transaction. Nothing is ordered before the
# record is written, so waiting longer only occupies the resources of the run.
_PLACEMENT_WRITE_TIMEOUT_S = 2
# With a timeout of 0.6 s each, the attempts fit into the wait of a gang.
_MAX_START_TRIES = 3
# After a single lost answer the worker is not released yet, as its next lease
# renewal would then have to wait for the store.
_FAILURES_BEFORE_RELEASE = 2
# A worker lists at most this many ends; a list of this length may be truncated.
_LIST_LIMIT = 500
# A stop takes at most 0.9 s on the platform.
_STOP_SETTLED_S = 2
_CLOSED_EVENT = 'worker_closed'


class WorkerSession:
    """Renews the leases of one worker and reconciles its runs.

    :ivar is_adopted: whether the runs on the worker are known.
    :ivar is_lost: whether the leases of all runs that the worker has listed
        expired without an answer.
    """

    def __init__(
        self,
        worker_id: str,
        client: RunClient,
        cluster: ClusterState,
        leadership: Leadership,
        settings: JobSettings,
        clock: Clock,
        wait_until_written: Callable[[Sequence[str]], Awaitable[None]],
        releases: WorkerReleases,
    ) -> None:
        """Prepare a session; :meth:`run` adopts the worker.

        :param wait_until_written: waits until all recorded changes of some
            jobs are in the store.
        :param releases: tells whether this leader may send orders.
        """
        self.worker_id = worker_id
        self.is_adopted = False
        self.is_lost = False
        # Whether the runs that were never listed are kept after the others.
        self._keeps_unlisted = False
        self._client = client
        self._cluster = cluster
        self._leadership = leadership
        self._settings = settings
        self._clock = clock
        self._wait_until_written = wait_until_written
        self._releases = releases
        self._pending_acks = PendingAcks(cluster)
        self._is_silent = False
        self._recorded_through = 0
        self._acked_through = 0
        self._has_listed_ends = False
        # An earlier leader may still renew leases.
        leases_expire_at_s = (
            leadership.acquired_at_s + settings.inherited_lease_s
        )
        strays_expire_at_s = (
            leadership.acquired_at_s + settings.inherited_stray_lease_s
        )
        self._consecutive_failures = 0
        self._silent_since_s: float | None = None
        released = releases.get(worker_id)
        if released is not None:
            leases_expire_at_s = min(
                leases_expire_at_s, released.leases_expire_at_s
            )
            strays_expire_at_s = min(
                strays_expire_at_s, released.leases_expire_at_s
            )
            self._silent_since_s = released.silent_since_s
        self._process = WorkerProcess(
            leadership, settings, leases_expire_at_s, strays_expire_at_s
        )
        self._orders = BackgroundOrders(worker_id, cluster.count_retry)
        self._paces = PaceOrders(
            worker_id,
            client,
            cluster,
            self._orders,
            clock,
            self._handle_refused_token,
        )

    @property
    def leases_expire_at_s(self) -> float:
        """Return the time after which no run that was listed is active."""
        return self._process.leases_expire_at_s

    @property
    def is_silent(self) -> bool:
        """Tell whether the last call to the worker failed."""
        return self._is_silent

    def has_no_runs_left(self, now_s: float) -> bool:
        """Tell whether no run on the worker can be active or unknown."""
        if now_s <= self.leases_expire_at_s:
            return False
        worker = self._cluster.workers.get(self.worker_id)
        if worker is not None and worker.runs:
            return False
        jobs = self._cluster.open_jobs.values()
        return not any(inherited_on(jobs, self.worker_id))

    async def run(self) -> None:
        """Renew the leases of the worker until the leadership ends."""
        settings = self._settings
        while self._leadership.can_extend_leases(
            self._clock.now_s(), settings.lease_grace_s
        ):
            sent_at_s = self._clock.now_s()
            try:
                reply = await self._hold(sent_at_s)
            except PlatformError as error:
                self._handle_silence(error)
                await asyncio.sleep(_RETRY_S)
                continue
            if reply.is_fenced:
                self._handle_refused_token(self._process.token)
                return
            self._process_reply(reply, sent_at_s)
            await self._acknowledge_ends()
            await self._releases.wait_until_permitted(self.worker_id, _RETRY_S)
        log_event(_CLOSED_EVENT, worker=self.worker_id)

    def release_unanswered(self) -> None:
        """Release the worker unless it has answered this leader.

        An earlier leader may have ordered runs there. Once the release is
        stored, the wait for their leases survives the end of this leader.
        """
        if self._process.born_unix_ms:
            return
        if self._silent_since_s is None:
            self._silent_since_s = self._leadership.acquired_at_s
        self._release(self._silent_since_s)

    def resume_after(self, failure: BaseException | None) -> None:
        """Prepare to run again after :meth:`run` has ended.

        The worker counts as silent until its next answer. A session that fails
        every time thus renews no lease, and its tasks finally run elsewhere.
        """
        self._cluster.count_retry('session_reopened')
        log_warning(
            'worker_session_failed',
            worker=self.worker_id,
            error=repr(failure),
        )
        self._handle_silence(
            WorkerUnavailableError('the session failed and is restarted'),
        )

    async def close(self) -> None:
        """Cancel the orders in flight and close all connections."""
        await self._orders.close()
        await self._client.close()

    def start(self, run: Run, ticket: str) -> None:
        """Send the start order of a run in the background.

        The run was placed by the report of the present process.
        """
        self._orders.send(
            run.task,
            run.attempt,
            self._start(run, ticket, self._process.born_unix_ms),
        )

    def stop(self, run: Run) -> None:
        """Send the stop order of a run in the background."""
        self._orders.send(
            run.task,
            run.attempt,
            self._stop(run.task, run.attempt, run),
        )

    async def _hold(self, now_s: float) -> HoldReply:
        has_pending_acks = self._recorded_through > self._acked_through
        can_send_orders = self._releases.can_send_orders(self.worker_id)
        can_long_poll = (
            self.is_adopted
            and self._process.is_token_seen
            and not self._is_silent
            and not has_pending_acks
        )
        wait_s: float = 0
        if can_long_poll and can_send_orders:
            wait_s = self._paces.poll_s(self._settings.long_poll_s)
        deadline_ms = 0
        acked_through = 0
        # Clock readings and numbers of ends are valid for one process of the
        # worker only, and a silent worker may have restarted. Ends that are no
        # longer listed need no acknowledgement.
        if self._process.born_unix_ms and not self._is_silent:
            if can_send_orders:
                deadline_ms = self._process.extend_lease(now_s, wait_s)
            if self._has_listed_ends:
                acked_through = self._acked_through
        return await self._client.hold(
            self._process.token,
            acked_through,
            deadline_ms,
            wait_s,
        )

    def _handle_silence(self, error: PlatformError) -> None:
        now_s = self._clock.now_s()
        worker = self._cluster.workers.get(self.worker_id)
        if not self._is_silent:
            log_event('worker_silent', worker=self.worker_id, error=error)
        self._is_silent = True
        self._consecutive_failures += 1
        if self._silent_since_s is None:
            self._silent_since_s = now_s
        if worker is not None:
            worker.is_usable = False
        has_answered = bool(self._process.born_unix_ms)
        if (
            not has_answered
            or self._consecutive_failures >= _FAILURES_BEFORE_RELEASE
        ):
            self._release(self._silent_since_s)
        # The tasks placed on the worker are known once all jobs are read.
        if self._cluster.jobs_loaded.is_set():
            self._give_up_expired_runs(now_s, now_s - self._silent_since_s)

    def _release(self, silent_since_s: float) -> None:
        """Release the worker until no run that it may have is active."""
        self._releases.release(
            self.worker_id,
            silent_since_s,
            self._process.all_leases_expire_at_s
            if may_have_unlisted_runs(self._cluster, self.worker_id)
            else self.leases_expire_at_s,
        )

    def _give_up_expired_runs(self, now_s: float, silent_s: float) -> None:
        """Give up the runs on the worker whose leases have expired."""
        if now_s <= self.leases_expire_at_s:
            return
        keeps_unlisted = now_s <= self._process.all_leases_expire_at_s
        if self.is_lost:
            if self._keeps_unlisted and not keeps_unlisted:
                self._cluster.mark_worker_lost(self.worker_id)
            self._keeps_unlisted = keeps_unlisted
            return
        self.is_lost = True
        self._keeps_unlisted = keeps_unlisted
        released = self._releases.get(self.worker_id)
        leadership_s = self._clock.now_s() - self._leadership.acquired_at_s
        log_event(
            'worker_lost',
            worker=self.worker_id,
            silent_s=round(silent_s, 3),
            release=released.release_id if released else '',
            tenure_s=round(leadership_s, 3),
        )
        self._cluster.mark_worker_lost(self.worker_id, silent_s, keeps_unlisted)

    def _process_reply(self, reply: HoldReply, sent_at_s: float) -> None:
        now_s = self._clock.now_s()
        former_unix_ms = self._process.born_unix_ms
        expected_ms = self._process.clock_ms(now_s)
        if self._process.observe(reply, now_s):
            self._recorded_through = 0
            self._acked_through = 0
            self._pending_acks.clear()
            if former_unix_ms:
                self._orders.forget_stops()
                drop_tickets(self._cluster.open_jobs.values(), self.worker_id)
                log_event(
                    'worker_restarted',
                    worker=self.worker_id,
                    born_unix_ms=reply.born_unix_ms,
                    clock_ms=reply.clock_ms,
                    expected_ms=expected_ms,
                )
        self._has_listed_ends = bool(reply.ended)
        if self._is_silent:
            log_event('worker_answers', worker=self.worker_id)
        self._is_silent = False
        self.is_lost = False
        is_first_reply = not self.is_adopted
        if is_first_reply and self._cluster.jobs_loaded.is_set():
            self._adopt_listed(reply)
        if self.is_adopted:
            self._record_ends(reply, is_first_reply)
            if is_first_reply:
                if not _is_complete(reply):
                    adopt_inherited(self._cluster, self.worker_id)
                self._cluster.drop_inherited(self.worker_id)
            self._reconcile(reply, sent_at_s)
            self._paces.update(reply.running, self._process.token)
        # This comes last, so that a worker stays released if its replies cannot
        # be processed.
        self._consecutive_failures = 0
        self._silent_since_s = None
        self._releases.end_release(self.worker_id)

    def _adopt_listed(self, reply: HoldReply) -> None:
        """Adopt the runs that the worker lists."""
        self.is_adopted = True
        for found in reply.running:
            self._cluster.adopt(self.worker_id, found)
        self._paces.adopt(reply.running)
        log_event(
            'worker_adopted',
            worker=self.worker_id,
            running=len(reply.running),
            ended=len(reply.ended),
        )

    def _record_ends(self, reply: HoldReply, is_first_reply: bool) -> None:
        for ended in reply.ended:
            if ended.number > self._recorded_through:
                self._recorded_through = ended.number
                self._pending_acks.add(ended.number, ended.task.job_id)
                self._cluster.end_run(self.worker_id, ended, is_first_reply)

    def _reconcile(self, reply: HoldReply, sent_at_s: float) -> None:
        """Compare the listed runs with the expected ones."""
        worker = self._cluster.workers.get(self.worker_id)
        if worker is None:
            return
        worker.is_usable = self._can_send_starts()
        worker.born_unix_ms = reply.born_unix_ms
        listed = {(found.task, found.attempt): found for found in reply.running}
        self._stop_orphans_and_unconfirmed(
            worker, set(listed) - set(worker.runs)
        )
        has_usual_lease = self._process.has_usual_lease(self._clock.now_s())
        for run in worker.running():
            found_run = listed.get((run.task, run.attempt))
            if found_run is None:
                continue
            self._cluster.mark_listed(run, has_usual_lease)
            if found_run.checkpoint:
                task = run.stage.tasks[run.task.index]
                task.checkpoint = found_run.checkpoint
        if not self._process.is_token_seen:
            # An order for the former process may still be carried out after
            # this list.
            return
        for expected in tuple(worker.running()):
            is_listed = (expected.task, expected.attempt) in listed
            if not is_listed and _is_gone(expected, reply, sent_at_s):
                self._cluster.mark_run_lost(expected)

    async def _acknowledge_ends(self) -> None:
        """Acknowledge stored ends, so that the worker drops them.

        Ends that cannot be written to the store at present stay listed, and so
        do all later ones, unless there are too many.
        """
        if not self.is_adopted:
            await self._wait_for_recovery()
        if not self._pending_acks:
            return
        ends, unstored = self._pending_acks.acknowledgeable()
        if not ends:
            # A worker answers at once while it lists ends, so this pause limits
            # the rate of the calls.
            await asyncio.sleep(_WRITE_WAIT_S)
            return
        born_unix_ms = self._process.born_unix_ms
        jobs = tuple(set(ends.values()).difference(unstored))
        has_written = await self._wait_written(jobs, _WRITE_WAIT_S)
        if has_written and born_unix_ms == self._process.born_unix_ms:
            _log_unstored_ends(self._cluster, self.worker_id, unstored)
            self._acked_through = max(ends)
            self._pending_acks.discard_through(self._acked_through)

    async def _wait_for_recovery(self) -> None:
        """Wait before the next attempt to adopt the worker."""
        if self._cluster.jobs_loaded.is_set():
            await asyncio.sleep(_RETRY_S)
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_RETRY_S):
                await self._cluster.jobs_loaded.wait()

    async def _wait_written(
        self,
        job_ids: Sequence[str],
        timeout_s: float,
    ) -> bool:
        """Wait until the records of some jobs are in the store.

        :returns: whether they were written before the timeout.
        """
        try:
            await asyncio.wait_for(self._wait_until_written(job_ids), timeout_s)
        except TimeoutError:
            log_event('write_pending', worker=self.worker_id, jobs=len(job_ids))
            return False
        return True

    async def _start(self, run: Run, ticket: str, born_unix_ms: int) -> None:
        # The placement has to be stored first, so that a successor knows on
        # which worker each task may run.
        if not await self._wait_written(
            (run.task.job_id,), _PLACEMENT_WRITE_TIMEOUT_S
        ):
            self._cluster.abandon_start(run, 'unwritten')
            return
        now_s = self._clock.now_s()
        if ticket and not run.stage.has_ticket(self.worker_id, now_s):
            self._cluster.abandon_start(run, 'ticket_expired')
            return
        is_outcome_unknown = False
        for _ in range(_MAX_START_TRIES):
            now_s = self._clock.now_s()
            if not self._can_start(run, born_unix_ms, now_s):
                break
            order = self._build_start_order(run, ticket, now_s)
            try:
                answer = await self._client.start(order)
            except WorkerUnavailableError:
                await asyncio.sleep(_RETRY_S / _MAX_START_TRIES)
            except PlatformError:
                is_outcome_unknown = True
            else:
                self._handle_answer(run, order, answer, is_outcome_unknown)
                return
        self._handle_unanswered_start(run, is_outcome_unknown)

    def _can_start(self, run: Run, born_unix_ms: int, now_s: float) -> bool:
        # A later process may have other resources and labels.
        if born_unix_ms != self._process.born_unix_ms:
            return False
        # The end of a gang counts for all members, also for one whose start has
        # not been answered yet.
        is_wanted = (
            run.phase is RunPhase.STARTING
            and not run.stage.tasks[run.task.index].is_done
        )
        # The deadline is a reading of the worker's clock, which a silent worker
        # may have restarted.
        if not is_wanted or self._is_silent or not self._can_send_starts():
            return False
        if not self._leadership.can_start_runs(now_s):
            return False
        return self._cluster.evacuations.obstacle_to_start(run) is None

    def _can_send_starts(self) -> bool:
        """Tell whether the worker refuses stray orders and is not released."""
        return self._process.is_token_seen and self._releases.can_send_orders(
            self.worker_id
        )

    def _handle_unanswered_start(
        self, run: Run, is_outcome_unknown: bool
    ) -> None:
        """Record that a start order got no answer."""
        if not is_outcome_unknown:
            obstacle = self._cluster.evacuations.obstacle_to_start(run)
            self._cluster.abandon_start(run, obstacle or 'unreachable')
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

    def _build_start_order(
        self, run: Run, ticket: str, now_s: float
    ) -> StartOrder:
        task = run.stage.tasks[run.task.index]
        return StartOrder(
            task=run.task,
            attempt=run.attempt,
            payload=run.stage.job_progress.job.payload,
            worker_deadline_ms=self._process.extend_lease(now_s),
            fencing_token=self._process.token,
            born_unix_ms=self._process.born_unix_ms,
            checkpoint=task.checkpoint,
            ticket=ticket,
        )

    def _handle_answer(
        self,
        run: Run,
        order: StartOrder,
        answer: StartAnswer,
        is_outcome_unknown: bool,
    ) -> None:
        if answer is StartAnswer.FENCED:
            self._handle_refused_token(order.fencing_token)
        if order.checkpoint:
            # A late end may have had it after the run was created.
            run.is_whole = False
        if answer is StartAnswer.STARTED:
            self._cluster.confirm_start(run)
        elif is_outcome_unknown:
            self._cluster.stop(run, 'start_unsure')
        else:
            self._cluster.abandon_start(run, answer)

    def _stop_orphans_and_unconfirmed(
        self,
        worker: WorkerState,
        unexpected: set[tuple[TaskKey, int]],
    ) -> None:
        """Stop runs that no job needs and runs whose order had no answer.

        :param unexpected: listed runs that this leader neither started nor
            adopted.
        """
        quarantined = self._cluster.quarantined
        quarantined.update_runs(worker, unexpected)
        orphans = {
            run for run in unexpected if run[0].job_id not in quarantined
        }
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
        for run in worker.unconfirmed_runs(self._orders.in_flight()):
            # Its order failed, or ended while this daemon could not renew the
            # leases of the worker. Its effect is not known.
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
        """Repeat a stop order until the worker answers or is lost."""
        grace_s = self._settings.lease_grace_s
        while self._leadership.can_extend_leases(self._clock.now_s(), grace_s):
            token = self._process.token
            try:
                is_obeyed = await self._client.stop(task, attempt, token)
            except PlatformError:
                if self.is_lost:
                    return
                await asyncio.sleep(_RETRY_S)
                continue
            if not is_obeyed:
                self._handle_refused_token(token)
                continue
            if run is not None:
                run.confirmed_at_s = self._clock.now_s()
            return

    def _handle_refused_token(self, token: int) -> None:
        """End the leadership, unless this leader has used a higher token."""
        if token == self._process.token:
            self._leadership.is_over = True
            log_event('worker_fenced', worker=self.worker_id)


def _log_unstored_ends(
    cluster: ClusterState, worker_id: str, job_ids: Iterable[str]
) -> None:
    """Log ends that are acknowledged unstored."""
    for job_id in job_ids:
        cluster.count_retry('end_let_go')
        log_warning('end_let_go', job=job_id, worker=worker_id)


def _is_gone(run: Run, reply: HoldReply, sent_at_s: float) -> bool:
    """Tell whether a run that a reply does not list is certainly gone.

    An unreadable row may be any run, except one whose stop was answered long
    enough ago: the worker has ended that run and starts it no more.
    """
    if not run.confirmed_at_s:
        return False
    if _is_complete(reply):
        return run.confirmed_at_s < sent_at_s
    if run.phase is not RunPhase.STOPPING or len(reply.ended) >= _LIST_LIMIT:
        return False
    return run.confirmed_at_s + _STOP_SETTLED_S < sent_at_s


def _is_complete(reply: HoldReply) -> bool:
    """Tell whether a reply lists all runs and all ends of a worker."""
    return not reply.is_partial and len(reply.ended) < _LIST_LIMIT
