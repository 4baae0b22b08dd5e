"""Choice of the stages to start, and of the workers for their tasks.

Some queues have a placement service. A call for advice asks it which workers a
step may use; a ticket is its permission to start a task of the step on one of
them. An adviser is a daemon that makes such a call for the leader.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._borrowing import (
    has_waited_to_overtake,
    is_imminent,
    update_target,
)
from currantreach_jobs._capacity_forecast import ForecastCalculator
from currantreach_jobs._job_paths import update_paths
from currantreach_jobs._lookahead import AdviceLookahead
from currantreach_jobs._packing import choose_free_share, free_cpu
from currantreach_jobs._placement import (
    assign,
    eligible_workers,
)
from currantreach_jobs._priority_boost import PriorityBoost
from currantreach_jobs._reservations import Reservations
from currantreach_jobs._slow_runs import SlowRuns
from currantreach_jobs._stage_advice import StageAdvice
from currantreach_jobs._urgency import is_first, urgency_key
from currantreach_jobs._usage import services_with_spare_capacity
from currantreach_jobs._wait_reasons import WaitReason
from currantreach_jobs._worker_ranking import (
    WorkerSpeeds,
    measure_speeds,
    read_slowdowns,
)
from currantreach_telemetry import log_event, log_warning

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Sequence

    from currantreach_jobs._advice import AdviceDispatcher
    from currantreach_jobs._cluster_state import ClusterState
    from currantreach_jobs._model import SiteConfig, Team
    from currantreach_jobs._packing import FreeShare
    from currantreach_jobs._progress import Run, Stage
    from currantreach_jobs._usage import WorkerState
    from currantreach_jobs._worker_ranking import SpeedOrder
    from currantreach_telemetry import Metrics
    from currantreach_types import Clock

__all__ = ('StageScheduler',)

# A stage that found no capacity searches all workers this often, to ask for
# advice or to reserve capacity; its tickets are tried in each round.
_SEARCH_INTERVAL_S = 0.05
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
        self._open_workers: dict[str, WorkerState] = {}
        self._free_share: FreeShare = free_cpu
        self._priority_boost = PriorityBoost()
        self._boosted_stage: Stage | None = None
        self._blocked_team = ''
        self._is_team_needed_soon = False
        self._spare_services: frozenset[str] = frozenset()
        self._speeds = WorkerSpeeds()
        self._slow_runs = SlowRuns()
        self._cluster = cluster
        self._stage_advice = StageAdvice(advice_dispatcher)
        self._forecasts = ForecastCalculator(cluster)
        self._reservations = Reservations(self._forecasts)
        self._lookahead = AdviceLookahead(
            cluster, self._stage_advice, self._forecasts
        )
        self._clock = clock
        self._launch = launch
        self._read_config = read_config
        self._metrics = metrics

    def schedule(self) -> None:
        """Run one scheduling round: start all tasks that can start now."""
        now_s = self._clock.now_s()
        self._reservations.begin_round(
            sum(
                not worker.is_evacuated
                for worker in self._cluster.workers.values()
            )
        )
        self._find_open_workers(now_s)
        self._spare_services = services_with_spare_capacity(
            self._open_workers.values()
        )
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
        self._blocked_team = ''
        if self._boosted_stage is not None and self._boosted_stage.waiting:
            self._schedule_stage(self._boosted_stage, now_s)
            self._block_team(self._boosted_stage, now_s)
        for stage in stages:
            if stage is not self._boosted_stage:
                self._schedule_unless_blocked(stage, now_s)
        self._ask_ahead(now_s)
        self._metrics.record_decision_round(self._clock.now_s() - now_s)

    def schedule_urgent(self) -> None:
        """Start the tasks of urgent stages, which come before all others.

        A full round would treat them in the same way, as they precede all
        other stages but a boosted one, whose reservations hold.
        """
        now_s = self._clock.now_s()
        self._find_open_workers(now_s)
        stages = [
            stage
            for stage in self._cluster.ready_stages(is_urgent=True)
            if is_first(stage, now_s) and stage is not self._boosted_stage
        ]
        stages.sort(key=lambda stage: urgency_key(stage, now_s))
        for urgent in stages:
            urgent.mark_startable(now_s)
            self._schedule_unless_blocked(urgent, now_s)

    def _find_open_workers(self, now_s: float) -> None:
        self._open_workers = {
            worker_id: worker
            for worker_id, worker in self._cluster.workers.items()
            if worker.is_open(now_s)
        }
        self._free_share = choose_free_share(self._open_workers.values())
        if now_s >= self._speeds.valid_until_s:
            self._measure_speeds(now_s)

    def _schedule_unless_blocked(self, stage: Stage, now_s: float) -> None:
        if self._is_team_blocked(stage, now_s):
            stage.wait_reason = WaitReason.TEAM_LIMIT
        else:
            self._schedule_stage(stage, now_s)

    def _is_team_blocked(self, stage: Stage, now_s: float) -> bool:
        """Tell whether a stage waits for the boosted one of its team."""
        blocked_team = self._blocked_team
        if not blocked_team or stage.job_progress.job.team != blocked_team:
            return False
        team = self._team_of(stage)
        if team is None or stage.step.is_lasting:
            return False
        if self._is_team_needed_soon or not self._cluster.teams.has_spare(team):
            return True
        return not has_waited_to_overtake(stage, now_s)

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

    def _ask_ahead(self, now_s: float) -> None:
        try:
            self._lookahead.ask_ahead(tuple(self._open_workers.values()), now_s)
        except Exception as error:
            # Calls in advance are of use, but nothing depends on them.
            self._metrics.record_retry('lookahead_failed')
            log_warning('lookahead_failed', error=repr(error))

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

    def _block_team(self, stage: Stage, now_s: float) -> None:
        """Let the other stages of a team wait for the boosted one.

        They wait only if the limit of the team is what keeps it from starting.
        """
        if stage.wait_reason is not WaitReason.TEAM_LIMIT or not stage.waiting:
            return
        team = self._team_of(stage)
        if team is None or (
            self._cluster.teams.max_task_count(team, stage.step)
            < stage.min_start_count
        ):
            return
        self._priority_boost.record_reservation(now_s)
        self._blocked_team = team.name
        start_s = self._forecasts.team_start_s(stage, team, now_s)
        target_s = update_target(stage, start_s, now_s)
        self._is_team_needed_soon = is_imminent(target_s, now_s)

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
        speed_order = self._speed_order(stage, now_s)
        candidates = self._eligible(stage, candidates, now_s, speed_order)
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
        is_boosted = stage is self._boosted_stage
        speed_order = self._speed_order(stage, now_s)
        workers = self._eligible(
            stage, self._open_workers.values(), now_s, speed_order
        )
        forecast = None
        if stage.step.is_gang or is_boosted:
            forecast = self._reservations.forecast(
                stage, workers, now_s, is_boosted
            )
        if now_s < stage.advice_deadline_s:
            wait_reason = WaitReason.ADVICE_PENDING
        elif advice is not None:
            wait_reason = self._stage_advice.ask(
                stage, workers, forecast, now_s, is_boosted, speed_order
            )
        if stage.step.is_gang or is_boosted:
            is_reserved = self._reservations.reserve(
                stage, workers, forecast, now_s, is_boosted
            )
            if is_reserved and is_boosted:
                self._priority_boost.record_reservation(now_s)
        return wait_reason

    def _eligible(
        self,
        stage: Stage,
        workers: Iterable[WorkerState],
        now_s: float,
        speed_order: SpeedOrder | None,
    ) -> list[WorkerState]:
        """Return the workers that may run tasks of a stage, best first."""
        return eligible_workers(
            stage,
            workers,
            now_s,
            stage is self._boosted_stage,
            speed_order,
            self._cluster.durations,
            self._free_share,
            stage.job_progress.job.queue.service in self._spare_services,
        )

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

    def _measure_speeds(self, now_s: float) -> None:
        workers = self._cluster.workers
        try:
            slowdowns = read_slowdowns(workers, self._cluster.durations)
            slowdowns.update(self._slow_runs.observe(workers, slowdowns, now_s))
            self._speeds = measure_speeds(slowdowns, now_s)
        except Exception as error:
            # All workers count as usual until the next measurement, as the
            # same error would end each round.
            self._metrics.record_retry('speeds_failed')
            log_warning('speeds_failed', error=repr(error))
            self._speeds = measure_speeds({}, now_s)

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
            borrowed=sum(
                1
                for _, worker in assigned
                if worker.is_reserved_for_other(stage, now_s)
            ),
            shared=sum(
                worker.would_disturb(stage.step) for _, worker in assigned
            ),
            workers=','.join(sorted(worker_ids)),
            waited_s=round(waited_s, 3),
            **self._speeds.log_fields(stage, worker_ids, now_s),
        )
