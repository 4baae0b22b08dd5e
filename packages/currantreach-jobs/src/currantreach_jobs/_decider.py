"""Choice of the stages to start, and of the workers for their tasks.

Some queues have a placement service. A call for advice asks it which workers a
step may use; a ticket is its permission to start a task of the step on one of
them. An adviser is a daemon that makes such a call for the leader.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._job_paths import update_paths
from currantreach_jobs._placement import (
    assign,
    eligible_workers,
    fitting_count,
    max_fitting_count,
    workers_to_probe,
    workers_to_query,
)
from currantreach_jobs._priority_boost import PriorityBoost
from currantreach_jobs._slow_runs import SlowRuns
from currantreach_jobs._urgency import urgency_key
from currantreach_jobs._wait_reasons import WaitReason
from currantreach_jobs._worker_ranking import (
    WorkerSpeeds,
    measure_speeds,
    read_slowdowns,
)
from currantreach_telemetry import log_event, log_warning

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from currantreach_jobs._advice import AdviceDispatcher
    from currantreach_jobs._cluster_state import ClusterState
    from currantreach_jobs._model import AdviceConfig, SiteConfig, Team
    from currantreach_jobs._progress import Run, Stage
    from currantreach_jobs._usage import WorkerState
    from currantreach_jobs._worker_ranking import SpeedOrder
    from currantreach_telemetry import Metrics
    from currantreach_types import Clock

__all__ = ('StageScheduler',)

# At most this share of the workers is reserved for waiting gangs.
_RESERVABLE_SHARE = 0.5
# Each scheduling round renews the reservations; the interval between rounds is
# shorter than this.
_RESERVATION_S = 0.3
# Fraction of ``AdviceConfig.fixed_s`` by which an urgent call may be longer, to
# query more workers; some milliseconds for the queues in use.
_URGENT_CALL_GROWTH = 0.7
# A stage that found no capacity searches all workers this often, to ask for
# advice or to reserve capacity; its tickets are tried in each round.
_SEARCH_INTERVAL_S = 0.05
# A ticket that stays valid for less than this after an advice call would
# expire before the start it is used for.
_CALL_MARGIN_S = 0.3
# Pause of a stage that cannot be scheduled because of an error.
_FAILED_STAGE_PAUSE_S = 1


class StageScheduler:
    """Starts the most urgent stages on the workers with free capacity."""

    def __init__(
        self,
        cluster: ClusterState,
        advice_dispatcher: AdviceDispatcher,
        clock: Clock,
        launch: Callable[[Run, str], None],
        read_config: Callable[[], SiteConfig | None],
        metrics: Metrics,
    ) -> None:
        """Create a scheduler of stages.

        :param launch: starts a run with its ticket.
        """
        self._reservable_count = 0
        self._open_workers: dict[str, WorkerState] = {}
        self._priority_boost = PriorityBoost()
        self._boosted_stage: Stage | None = None
        self._speeds = WorkerSpeeds()
        self._slow_runs = SlowRuns()
        self._cluster = cluster
        self._advice_dispatcher = advice_dispatcher
        self._clock = clock
        self._launch = launch
        self._read_config = read_config
        self._metrics = metrics

    def schedule(self) -> None:
        """Run one scheduling round: start all tasks that can start now."""
        now_s = self._clock.now_s()
        self._reservable_count = round(
            _RESERVABLE_SHARE * len(self._cluster.workers),
        )
        self._open_workers = {
            worker_id: worker
            for worker_id, worker in self._cluster.workers.items()
            if worker.is_open(now_s)
        }
        if now_s >= self._speeds.valid_until_s:
            self._measure_speeds(now_s)
        ready_stages = list(self._cluster.ready_stages())
        update_paths(ready_stages, self._cluster.durations, now_s)
        stages = sorted(
            ready_stages, key=lambda stage: urgency_key(stage, now_s)
        )
        for pending in stages:
            pending.mark_startable(now_s)
        self._boosted_stage = self._priority_boost.select(
            stages,
            self._open_workers.values(),
            now_s,
        )
        blocked_team = ''
        if self._boosted_stage is not None and self._boosted_stage.waiting:
            self._schedule_stage(self._boosted_stage, now_s)
            blocked_team = self._team_to_block(self._boosted_stage, now_s)
        for stage in stages:
            if stage is self._boosted_stage:
                continue
            if blocked_team and stage.job_progress.job.team == blocked_team:
                stage.wait_reason = WaitReason.TEAM_LIMIT
            else:
                self._schedule_stage(stage, now_s)
        self._metrics.record_decision_round(self._clock.now_s() - now_s)

    def _schedule_stage(self, stage: Stage, now_s: float) -> None:
        try:
            wait_reason = self._precheck(stage, now_s)
            if wait_reason is None:
                wait_reason = self._place(stage, now_s)
        except Exception as error:
            # The stages behind it are still scheduled.
            wait_reason = WaitReason.PAUSED
            stage.retry_at_s = now_s + _FAILED_STAGE_PAUSE_S
            self._metrics.record_retry('stage_failed')
            log_warning(
                'stage_failed',
                job=stage.job_progress.job.job_id,
                step=stage.step_number,
                error=repr(error),
            )
        stage.wait_reason = wait_reason or stage.wait_reason

    def _precheck(self, stage: Stage, now_s: float) -> WaitReason | None:
        """Return why a stage cannot be placed in this round, if so."""
        if now_s < stage.retry_at_s:
            return WaitReason.PAUSED
        # A stage keeps its reservations while it waits for advice.
        may_reserve = stage.step.is_gang or stage is self._boosted_stage
        if not may_reserve and stage.is_waiting_for_advice(now_s):
            return WaitReason.ADVICE_PENDING
        if stage.step.is_gang and len(stage.waiting) < stage.step.task_count:
            return WaitReason.GANG_INCOMPLETE
        return None

    def _team_to_block(self, stage: Stage, now_s: float) -> str:
        """Return the team whose other stages wait for the boosted one."""
        if stage.wait_reason is not WaitReason.TEAM_LIMIT or not stage.waiting:
            return ''
        team = self._team_of(stage)
        if self._cluster.teams.max_task_count(
            team, stage.step
        ) < _min_start_count(stage):
            return ''
        self._priority_boost.record_reservation(now_s)
        return stage.job_progress.job.team

    def _place(self, stage: Stage, now_s: float) -> WaitReason | None:
        """Start the tasks that fit; return why the others wait.

        :returns: nothing if the reason of the last search still holds.
        """
        max_count = self._cluster.teams.free_task_count(
            self._team_of(stage), stage.step
        )
        if not max_count or (
            stage.step.is_gang and max_count < stage.step.task_count
        ):
            return WaitReason.TEAM_LIMIT
        advice = stage.job_progress.job.queue.advice
        candidates = list(self._open_workers.values())
        if advice is not None:
            candidates = self._workers_with_tickets(stage, now_s)
        is_boosted = stage is self._boosted_stage
        speed_order = self._speed_order(stage, now_s)
        candidates = eligible_workers(
            stage, candidates, now_s, is_boosted, speed_order
        )
        assigned = assign(stage, candidates, max_count, speed_order)
        self._start(stage, assigned)
        if assigned:
            is_limited = len(assigned) >= max_count
            return WaitReason.TEAM_LIMIT if is_limited else WaitReason.NO_ROOM
        if now_s < stage.next_search_at_s:
            return None
        return self._search(stage, now_s)

    def _search(self, stage: Stage, now_s: float) -> WaitReason:
        """Ask for advice or reserve capacity for a stage that found none."""
        advice = stage.job_progress.job.queue.advice
        wait_reason = WaitReason.NO_ROOM
        stage.next_search_at_s = now_s + _SEARCH_INTERVAL_S
        workers = eligible_workers(
            stage,
            self._open_workers.values(),
            now_s,
            stage is self._boosted_stage,
            self._speed_order(stage, now_s),
        )
        if now_s < stage.advice_deadline_s:
            wait_reason = WaitReason.ADVICE_PENDING
        elif advice is not None:
            wait_reason = self._ask(stage, advice, workers, now_s)
        if stage.step.is_gang or stage is self._boosted_stage:
            self._reserve(stage, workers, now_s)
        return wait_reason

    def _workers_with_tickets(
        self,
        stage: Stage,
        now_s: float,
    ) -> list[WorkerState]:
        return [
            self._open_workers[worker_id]
            for worker_id, (_, valid_until_s) in stage.tickets.items()
            if now_s < valid_until_s and worker_id in self._open_workers
        ]

    def _reserve(
        self,
        stage: Stage,
        workers: Sequence[WorkerState],
        now_s: float,
    ) -> None:
        """Reserve capacity that becomes free for a waiting stage.

        Otherwise smaller tasks take all capacity as soon as it becomes free,
        and a large gang never starts on a full fleet.
        """
        is_boosted = stage is self._boosted_stage
        if stage.job_progress.is_past_deadline(now_s) and not is_boosted:
            return
        max_count = len(workers) if is_boosted else self._reservable_count
        missing_count = _min_start_count(stage)
        reserved_workers: list[WorkerState] = []
        for worker in sorted(workers, key=_free_cpu, reverse=True):
            if missing_count <= 0 or len(reserved_workers) >= max_count:
                break
            if max_fitting_count(stage, worker) and _is_allowed(stage, worker):
                reserved_workers.append(worker)
                missing_count -= max_fitting_count(stage, worker)
        if missing_count > 0:
            return
        self._reservable_count -= len(reserved_workers)
        for reserved_worker in reserved_workers:
            reserved_worker.reserved_by = stage
            reserved_worker.reserved_until_s = now_s + _RESERVATION_S
        if is_boosted:
            self._priority_boost.record_reservation(now_s)

    def _measure_speeds(self, now_s: float) -> None:
        workers = self._cluster.workers
        slowdowns = read_slowdowns(workers, self._cluster.durations)
        slowdowns.update(self._slow_runs.observe(workers, slowdowns, now_s))
        self._speeds = measure_speeds(slowdowns, now_s)

    def _speed_order(self, stage: Stage, now_s: float) -> SpeedOrder | None:
        return self._speeds.order_for(stage, now_s)

    def _team_of(self, stage: Stage) -> Team | None:
        config = self._read_config()
        return config.teams.get(stage.job_progress.job.team) if config else None

    def _start(
        self,
        stage: Stage,
        assigned: Sequence[tuple[int, WorkerState]],
    ) -> None:
        if not assigned:
            return
        gang_attempt = stage.next_attempt() if stage.step.is_gang else 0
        for index, worker in assigned:
            worker_id = worker.report.worker_id
            code, _ = stage.tickets.get(worker_id, ('', 0))
            attempt = gang_attempt or stage.tasks[index].last_attempt + 1
            run = self._cluster.create_run(stage, index, worker_id, attempt)
            self._launch(run, code)
            if worker.reserved_by is stage:
                worker.reserved_by = None
        now_s = self._clock.now_s()
        waited_s = now_s - stage.job_progress.accepted_at_s
        worker_ids = {worker.report.worker_id for _, worker in assigned}
        self._metrics.record_wait(stage.job_progress.job.queue.name, waited_s)
        log_event(
            'stage_started',
            job=stage.job_progress.job.job_id,
            step=stage.step_number,
            tasks=len(assigned),
            left=len(stage.waiting),
            workers=','.join(sorted(worker_ids)),
            waited_s=round(waited_s, 3),
            **self._speeds.log_fields(stage, worker_ids, now_s),
        )

    def _ask(
        self,
        stage: Stage,
        advice: AdviceConfig,
        workers: Sequence[WorkerState],
        now_s: float,
    ) -> WaitReason:
        """Ask for tickets of workers that are not known to be forbidden."""
        candidates = [
            worker
            for worker in workers
            if stage.allowed.get(worker.report.worker_id, True)
        ]
        min_count = _min_queried_count(stage, advice)
        needed_count = _min_start_count(stage)
        fitting = sum(fitting_count(stage, worker) for worker in candidates)
        should_query = fitting >= needed_count or min_count
        if not should_query and stage is not self._boosted_stage:
            return WaitReason.NO_ROOM
        allowed_fraction = self._advice_dispatcher.allowed_fraction(
            stage.job_progress.job.queue.name
        )
        queried: list[WorkerState] = []
        if should_query:
            queried = workers_to_query(
                stage,
                candidates,
                allowed_fraction,
                now_s + advice.fixed_s + _CALL_MARGIN_S,
                min_count,
                self._speed_order(stage, now_s),
            )
        if not queried and stage is self._boosted_stage:
            queried = workers_to_probe(
                stage, candidates, allowed_fraction, needed_count
            )
        if not queried:
            return WaitReason.NO_ROOM
        is_asked = self._advice_dispatcher.ask(
            stage,
            advice,
            [worker.report.worker_id for worker in queried],
        )
        if is_asked:
            return WaitReason.ADVICE_PENDING
        return WaitReason.NO_ADVISER_FREE


def _min_start_count(stage: Stage) -> int:
    """Return how many tasks of a stage have to start together."""
    return stage.step.task_count if stage.step.is_gang else 1


def _min_queried_count(stage: Stage, advice: AdviceConfig) -> int:
    """Return for how many workers a stage should have tickets in advance.

    On a full fleet an urgent task needs its ticket before capacity becomes
    free, as tasks that have tickets take the capacity while its call is in
    flight.
    """
    if stage.job_progress.job.queue.priority or not advice.per_worker_s:
        return 0
    return round(_URGENT_CALL_GROWTH * advice.fixed_s / advice.per_worker_s)


def _is_allowed(stage: Stage, worker: WorkerState) -> bool:
    if stage.job_progress.job.queue.advice is None:
        return True
    return stage.allowed.get(worker.report.worker_id, False)


def _free_cpu(worker: WorkerState) -> int:
    return worker.free.cpu_milli
