"""Which stage is started next, and where."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._obstacles import Obstacle
from currantreach_jobs._placement import (
    assign,
    eligible_workers,
    fitting_count,
    max_fitting_count,
    workers_to_probe,
    workers_to_query,
)
from currantreach_jobs._priority_boost import PriorityBoost
from currantreach_telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from currantreach_jobs._advisor import Advisor
    from currantreach_jobs._board import Board
    from currantreach_jobs._model import Advice, SiteConfig, Team
    from currantreach_jobs._progress import Run, Stage
    from currantreach_jobs._rooms import WorkerRoom
    from currantreach_telemetry import Metrics
    from currantreach_types import Clock

__all__ = ('Decider',)

# At most this share of the workers is kept for gangs that wait.
_RESERVABLE_SHARE = 0.5
# A reservation is renewed by each round; the rounds are closer than this.
_RESERVATION_S = 0.3
# An urgent call may take this much longer to name more workers, some
# milliseconds on the queues of today.
_URGENT_CALL_GROWTH = 0.7
# A stage that found no room looks at all workers this often, to ask for
# advice or to reserve room; its tickets are tried in each round.
_SEARCH_INTERVAL_S = 0.05
# A ticket that outlasts a call by less than this would expire before the
# start that it is for.
_CALL_MARGIN_S = 0.3


class Decider:
    """Starts what is most urgent on the workers that have room."""

    def __init__(
        self,
        board: Board,
        advisor: Advisor,
        clock: Clock,
        launch: Callable[[Run, str], None],
        read_config: Callable[[], SiteConfig | None],
        metrics: Metrics,
    ) -> None:
        """Prepare to decide.

        :param launch: orders a run, with its ticket.
        """
        self._reservable_count = 0
        self._open_workers: dict[str, WorkerRoom] = {}
        self._boost = PriorityBoost()
        self._boosted: Stage | None = None
        self._board = board
        self._advisor = advisor
        self._clock = clock
        self._launch = launch
        self._read_config = read_config
        self._metrics = metrics

    def decide(self) -> None:
        """Start all that can be started now."""
        now_s = self._clock.now_s()
        self._reservable_count = round(
            _RESERVABLE_SHARE * len(self._board.rooms),
        )
        self._open_workers = {
            worker_id: worker
            for worker_id, worker in self._board.rooms.items()
            if worker.is_open(now_s)
        }
        stages = sorted(
            self._board.ready_stages(),
            key=lambda stage: _urgency_key(stage, now_s),
        )
        for pending in stages:
            pending.mark_startable(now_s)
        self._boosted = self._boost.select(
            stages,
            self._open_workers.values(),
            now_s,
        )
        blocked_team = ''
        if self._boosted is not None and self._boosted.waiting:
            self._schedule_stage(self._boosted, now_s)
            blocked_team = self._team_to_block(self._boosted, now_s)
        for stage in stages:
            if stage is self._boosted:
                continue
            if blocked_team and stage.owner.job.team == blocked_team:
                stage.wait_reason = Obstacle.TEAM_LIMIT
            else:
                self._schedule_stage(stage, now_s)
        self._metrics.decided(self._clock.now_s() - now_s)

    def _schedule_stage(self, stage: Stage, now_s: float) -> None:
        wait_reason = self._precheck(stage, now_s)
        if wait_reason is None:
            wait_reason = self._place(stage, now_s)
        stage.wait_reason = wait_reason or stage.wait_reason

    def _precheck(self, stage: Stage, now_s: float) -> Obstacle | None:
        """Return what keeps a stage from being tried at all."""
        if now_s < stage.retry_at_s:
            return Obstacle.PAUSED
        # What is kept for a stage is kept while it waits for advice.
        may_keep = stage.step.is_gang or stage is self._boosted
        if not may_keep and stage.is_waiting_for_advice(now_s):
            return Obstacle.ADVICE_PENDING
        if stage.step.is_gang and len(stage.waiting) < stage.step.task_count:
            return Obstacle.GANG_INCOMPLETE
        return None

    def _team_to_block(self, stage: Stage, now_s: float) -> str:
        """Return the team whose other stages wait for the first one."""
        if stage.wait_reason is not Obstacle.TEAM_LIMIT or not stage.waiting:
            return ''
        team = self._team_of(stage)
        if self._board.teams.max_task_count(
            team, stage.step
        ) < _min_start_count(stage):
            return ''
        self._boost.record_reservation(now_s)
        return stage.owner.job.team

    def _place(self, stage: Stage, now_s: float) -> Obstacle | None:
        """Start what has room; return what keeps the rest, if it is news."""
        max_count = self._board.teams.free_task_count(
            self._team_of(stage), stage.step
        )
        if not max_count or (
            stage.step.is_gang and max_count < stage.step.task_count
        ):
            return Obstacle.TEAM_LIMIT
        advice = stage.owner.job.queue.advice
        permitted = list(self._open_workers.values())
        if advice is not None:
            permitted = self._workers_with_tickets(stage, now_s)
        is_boosted = stage is self._boosted
        permitted = eligible_workers(stage, permitted, now_s, is_boosted)
        assigned = assign(stage, permitted, max_count)
        self._start(stage, assigned)
        if assigned:
            is_limited = len(assigned) >= max_count
            return Obstacle.TEAM_LIMIT if is_limited else Obstacle.NO_ROOM
        if now_s < stage.next_search_s:
            return None
        return self._search(stage, now_s)

    def _search(self, stage: Stage, now_s: float) -> Obstacle:
        """Ask for advice or reserve room for a stage that found none."""
        advice = stage.owner.job.queue.advice
        wait_reason = Obstacle.NO_ROOM
        stage.next_search_s = now_s + _SEARCH_INTERVAL_S
        workers = eligible_workers(
            stage,
            self._open_workers.values(),
            now_s,
            stage is self._boosted,
        )
        if now_s < stage.advice_deadline_s:
            wait_reason = Obstacle.ADVICE_PENDING
        elif advice is not None:
            wait_reason = self._ask(stage, advice, workers, now_s)
        if stage.step.is_gang or stage is self._boosted:
            self._reserve(stage, workers, now_s)
        return wait_reason

    def _workers_with_tickets(
        self,
        stage: Stage,
        now_s: float,
    ) -> list[WorkerRoom]:
        return [
            self._open_workers[worker_id]
            for worker_id, (_, valid_until_s) in stage.tickets.items()
            if now_s < valid_until_s and worker_id in self._open_workers
        ]

    def _reserve(
        self,
        stage: Stage,
        workers: Sequence[WorkerRoom],
        now_s: float,
    ) -> None:
        """Keep what becomes free on some workers for a stage that waits.

        Otherwise smaller tasks take each piece of room as it becomes free,
        and a wide gang never starts on a full fleet.
        """
        is_boosted = stage is self._boosted
        if stage.owner.is_past_deadline(now_s) and not is_boosted:
            return
        max_count = len(workers) if is_boosted else self._reservable_count
        wanted = _min_start_count(stage)
        reserved_workers: list[WorkerRoom] = []
        for worker in sorted(workers, key=_free_cpu, reverse=True):
            if wanted <= 0 or len(reserved_workers) >= max_count:
                break
            if max_fitting_count(stage, worker) and _is_permitted(
                stage, worker
            ):
                reserved_workers.append(worker)
                wanted -= max_fitting_count(stage, worker)
        if wanted > 0:
            return
        self._reservable_count -= len(reserved_workers)
        for reserved_worker in reserved_workers:
            reserved_worker.reserved_by = stage
            reserved_worker.reserved_until_s = now_s + _RESERVATION_S
        if is_boosted:
            self._boost.record_reservation(now_s)

    def _team_of(self, stage: Stage) -> Team | None:
        config = self._read_config()
        return config.teams.get(stage.owner.job.team) if config else None

    def _start(
        self,
        stage: Stage,
        assigned: Sequence[tuple[int, WorkerRoom]],
    ) -> None:
        if not assigned:
            return
        gang_attempt = stage.next_attempt() if stage.step.is_gang else 0
        for index, worker in assigned:
            worker_id = worker.report.worker_id
            code, _ = stage.tickets.get(worker_id, ('', 0))
            attempt = gang_attempt or stage.tasks[index].attempt_count + 1
            run = self._board.begin(stage, index, worker_id, attempt)
            self._launch(run, code)
            if worker.reserved_by is stage:
                worker.reserved_by = None
        waited_s = self._clock.now_s() - stage.owner.accepted_at_s
        self._metrics.waited(stage.owner.job.queue.name, waited_s)
        log_event(
            'stage_started',
            job=stage.owner.job.job_id,
            step=stage.number,
            tasks=len(assigned),
            left=len(stage.waiting),
            workers=','.join(
                sorted({worker.report.worker_id for _, worker in assigned}),
            ),
            waited_s=round(waited_s, 3),
        )

    def _ask(
        self,
        stage: Stage,
        advice: Advice,
        workers: Sequence[WorkerRoom],
        now_s: float,
    ) -> Obstacle:
        """Ask for workers that are not known to be forbidden."""
        open_workers = [
            worker
            for worker in workers
            if stage.allowed.get(worker.report.worker_id, True)
        ]
        min_count = _min_queried_count(stage, advice)
        wanted = _min_start_count(stage)
        fitting = sum(fitting_count(stage, worker) for worker in open_workers)
        has_room = fitting >= wanted or min_count
        if not has_room and stage is not self._boosted:
            return Obstacle.NO_ROOM
        allowed_fraction = self._advisor.allowed_fraction(
            stage.owner.job.queue.name
        )
        queried: list[WorkerRoom] = []
        if has_room:
            queried = workers_to_query(
                stage,
                open_workers,
                allowed_fraction,
                now_s + advice.fixed_s + _CALL_MARGIN_S,
                min_count,
            )
        if not queried and stage is self._boosted:
            queried = workers_to_probe(
                stage, open_workers, allowed_fraction, wanted
            )
        if not queried:
            return Obstacle.NO_ROOM
        is_asked = self._advisor.ask(
            stage,
            advice,
            [worker.report.worker_id for worker in queried],
        )
        if is_asked:
            return Obstacle.ADVICE_PENDING
        return Obstacle.NO_ADVISER_FREE


def _min_start_count(stage: Stage) -> int:
    """Return how many tasks of a stage start together."""
    return stage.step.task_count if stage.step.is_gang else 1


def _min_queried_count(stage: Stage, advice: Advice) -> int:
    """Return of how many workers a stage should hold tickets.

    On a full fleet an urgent task needs its ticket before room becomes free,
    as others with tickets take the room while its call is under way.
    """
    if stage.owner.job.queue.priority or not advice.per_worker_s:
        return 0
    return round(_URGENT_CALL_GROWTH * advice.fixed_s / advice.per_worker_s)


def _urgency_key(
    stage: Stage,
    now_s: float,
) -> tuple[bool, bool, bool, bool, float]:
    """Return a sort key: what its callers lose first comes first.

    Among jobs of one priority those that can still be in time come before
    those that are late already and have lost most of their worth. The earliest
    due time alone would let one late job after another delay all the others.
    """
    progress = stage.owner
    latest_start_s = stage.latest_start_s()
    return (
        progress.is_past_deadline(now_s),
        progress.is_over_share,
        progress.job.queue.priority > 0,
        now_s > latest_start_s,
        latest_start_s,
    )


def _is_permitted(stage: Stage, worker: WorkerRoom) -> bool:
    if stage.owner.job.queue.advice is None:
        return True
    return stage.allowed.get(worker.report.worker_id, False)


def _free_cpu(worker: WorkerRoom) -> int:
    return worker.free.cpu_milli
