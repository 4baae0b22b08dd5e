"""Which stage is started next, and where."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._placement import (
    assign,
    eligible_rooms,
    fitting_count,
    rooms_to_ask,
    rooms_to_learn,
    whole_count,
)
from currantreach_jobs._turns import Turns
from currantreach_jobs._wait_reasons import WaitReason
from currantreach_telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from currantreach_jobs._advice import AdviceDispatcher
    from currantreach_jobs._cluster_state import ClusterState
    from currantreach_jobs._model import AdviceConfig, SiteConfig, Team
    from currantreach_jobs._progress import Run, Stage
    from currantreach_jobs._usage import WorkerState
    from currantreach_telemetry import Metrics
    from currantreach_types import Clock

__all__ = ('StageScheduler',)

# At most this share of the workers is kept for gangs that wait.
_RESERVABLE_SHARE = 0.5
# A reservation is renewed by each round; the rounds are closer than this.
_RESERVATION_S = 0.3
# An urgent call may take this much longer to name more workers, some
# milliseconds on the queues of today.
_URGENT_STRETCH = 0.7
# A stage that found no room looks at all workers this often, to ask for
# advice or to reserve room; its tickets are tried in each round.
_LOOK_S = 0.05
# A ticket that outlasts a call by less than this would expire before the
# start that it is for.
_CALL_MARGIN_S = 0.3


class StageScheduler:
    """Starts what is most urgent on the workers that have room."""

    def __init__(
        self,
        cluster: ClusterState,
        advice_dispatcher: AdviceDispatcher,
        clock: Clock,
        launch: Callable[[Run, str], None],
        read_config: Callable[[], SiteConfig | None],
        metrics: Metrics,
    ) -> None:
        """Prepare to decide.

        :param launch: orders a run, with its ticket.
        """
        self._reservable_count = 0
        self._open_rooms: dict[str, WorkerState] = {}
        self._turns = Turns()
        self._first: Stage | None = None
        self._cluster = cluster
        self._advice_dispatcher = advice_dispatcher
        self._clock = clock
        self._launch = launch
        self._read_config = read_config
        self._metrics = metrics

    def schedule(self) -> None:
        """Start all that can be started now."""
        now_s = self._clock.now_s()
        self._reservable_count = round(
            _RESERVABLE_SHARE * len(self._cluster.workers),
        )
        self._open_rooms = {
            worker_id: room
            for worker_id, room in self._cluster.workers.items()
            if room.is_open(now_s)
        }
        stages = sorted(
            self._cluster.ready_stages(),
            key=lambda stage: _urgency(stage, now_s),
        )
        for pending in stages:
            pending.note_turn(now_s)
        self._first = self._turns.choose(
            stages,
            self._open_rooms.values(),
            now_s,
        )
        held_team = ''
        if self._first is not None and self._first.waiting:
            self._decide_on(self._first, now_s)
            held_team = self._team_to_hold(self._first, now_s)
        for stage in stages:
            if stage is self._first:
                continue
            if held_team and stage.owner.job.team == held_team:
                stage.obstacle = WaitReason.TEAM_LIMIT
            else:
                self._decide_on(stage, now_s)
        self._metrics.record_decision_round(self._clock.now_s() - now_s)

    def _decide_on(self, stage: Stage, now_s: float) -> None:
        obstacle = self._obstacle_before(stage, now_s)
        if obstacle is None:
            obstacle = self._try(stage, now_s)
        stage.obstacle = obstacle or stage.obstacle

    def _obstacle_before(self, stage: Stage, now_s: float) -> WaitReason | None:
        """Return what keeps a stage from being tried at all."""
        if now_s < stage.retry_at_s:
            return WaitReason.PAUSED
        # What is kept for a stage is kept while it waits for advice.
        may_keep = stage.step.is_gang or stage is self._first
        if not may_keep and stage.is_waiting_for_advice(now_s):
            return WaitReason.ADVICE_PENDING
        if stage.step.is_gang and len(stage.waiting) < stage.step.task_count:
            return WaitReason.GANG_INCOMPLETE
        return None

    def _team_to_hold(self, first: Stage, now_s: float) -> str:
        """Return the team whose other stages wait for the first one."""
        if first.obstacle is not WaitReason.TEAM_LIMIT or not first.waiting:
            return ''
        team = self._team_of(first)
        if self._cluster.teams.whole_for(team, first.step) < _wanted(first):
            return ''
        self._turns.note_kept(now_s)
        return first.owner.job.team

    def _try(self, stage: Stage, now_s: float) -> WaitReason | None:
        """Start what has room; return what keeps the rest, if it is news."""
        most = self._cluster.teams.room_for(self._team_of(stage), stage.step)
        if not most or (stage.step.is_gang and most < stage.step.task_count):
            return WaitReason.TEAM_LIMIT
        advice = stage.owner.job.queue.advice
        permitted = list(self._open_rooms.values())
        if advice is not None:
            permitted = self._rooms_with_tickets(stage, now_s)
        is_first = stage is self._first
        permitted = eligible_rooms(stage, permitted, now_s, is_first)
        assigned = assign(stage, permitted, most)
        self._start(stage, assigned)
        if assigned:
            is_limited = len(assigned) >= most
            return WaitReason.TEAM_LIMIT if is_limited else WaitReason.NO_ROOM
        if now_s < stage.next_look_s:
            return None
        return self._look(stage, now_s)

    def _look(self, stage: Stage, now_s: float) -> WaitReason:
        """Ask for advice or reserve room for a stage that found none."""
        advice = stage.owner.job.queue.advice
        obstacle = WaitReason.NO_ROOM
        stage.next_look_s = now_s + _LOOK_S
        workers = eligible_rooms(
            stage,
            self._open_rooms.values(),
            now_s,
            stage is self._first,
        )
        if now_s < stage.asked_until_s:
            obstacle = WaitReason.ADVICE_PENDING
        elif advice is not None:
            obstacle = self._ask(stage, advice, workers, now_s)
        if stage.step.is_gang or stage is self._first:
            self._reserve(stage, workers, now_s)
        return obstacle

    def _rooms_with_tickets(
        self,
        stage: Stage,
        now_s: float,
    ) -> list[WorkerState]:
        return [
            self._open_rooms[worker_id]
            for worker_id, (_, valid_until_s) in stage.tickets.items()
            if now_s < valid_until_s and worker_id in self._open_rooms
        ]

    def _reserve(
        self,
        stage: Stage,
        workers: Sequence[WorkerState],
        now_s: float,
    ) -> None:
        """Keep what becomes free on some workers for a stage that waits.

        Otherwise smaller tasks take each piece of room as it becomes free,
        and a wide gang never starts on a full fleet.
        """
        is_first = stage is self._first
        if stage.owner.is_worthless(now_s) and not is_first:
            return
        most = len(workers) if is_first else self._reservable_count
        wanted = _wanted(stage)
        kept: list[WorkerState] = []
        for room in sorted(workers, key=_free_cpu, reverse=True):
            if wanted <= 0 or len(kept) >= most:
                break
            if whole_count(stage, room) and _is_permitted(stage, room):
                kept.append(room)
                wanted -= whole_count(stage, room)
        if wanted > 0:
            return
        self._reservable_count -= len(kept)
        for reserved in kept:
            reserved.reserved_by = stage
            reserved.reserved_until_s = now_s + _RESERVATION_S
        if is_first:
            self._turns.note_kept(now_s)

    def _team_of(self, stage: Stage) -> Team | None:
        config = self._read_config()
        return config.teams.get(stage.owner.job.team) if config else None

    def _start(
        self,
        stage: Stage,
        assigned: Sequence[tuple[int, WorkerState]],
    ) -> None:
        if not assigned:
            return
        gang_attempt = stage.next_attempt() if stage.step.is_gang else 0
        for index, room in assigned:
            worker_id = room.report.worker_id
            code, _ = stage.tickets.get(worker_id, ('', 0))
            attempt = gang_attempt or stage.tasks[index].attempt_count + 1
            run = self._cluster.create_run(stage, index, worker_id, attempt)
            self._launch(run, code)
            if room.reserved_by is stage:
                room.reserved_by = None
        waited_s = self._clock.now_s() - stage.owner.accepted_at_s
        self._metrics.record_wait(stage.owner.job.queue.name, waited_s)
        log_event(
            'stage_started',
            job=stage.owner.job.job_id,
            step=stage.number,
            tasks=len(assigned),
            left=len(stage.waiting),
            workers=','.join(
                sorted({room.report.worker_id for _, room in assigned}),
            ),
            waited_s=round(waited_s, 3),
        )

    def _ask(
        self,
        stage: Stage,
        advice: AdviceConfig,
        workers: Sequence[WorkerState],
        now_s: float,
    ) -> WaitReason:
        """Ask for workers that are not known to be forbidden."""
        open_rooms = [
            room
            for room in workers
            if stage.allowed.get(room.report.worker_id, True)
        ]
        least = _least_named(stage, advice)
        wanted = _wanted(stage)
        fitting = sum(fitting_count(stage, room) for room in open_rooms)
        has_room = fitting >= wanted or least
        if not has_room and stage is not self._first:
            return WaitReason.NO_ROOM
        likelihood = self._advice_dispatcher.likelihood(
            stage.owner.job.queue.name
        )
        named: list[WorkerState] = []
        if has_room:
            named = rooms_to_ask(
                stage,
                open_rooms,
                likelihood,
                now_s + advice.fixed_s + _CALL_MARGIN_S,
                least,
            )
        if not named and stage is self._first:
            named = rooms_to_learn(stage, open_rooms, likelihood, wanted)
        if not named:
            return WaitReason.NO_ROOM
        is_asked = self._advice_dispatcher.ask(
            stage,
            advice,
            [room.report.worker_id for room in named],
        )
        if is_asked:
            return WaitReason.ADVICE_PENDING
        return WaitReason.NO_ADVISER_FREE


def _wanted(stage: Stage) -> int:
    """Return how many tasks of a stage start together."""
    return stage.step.task_count if stage.step.is_gang else 1


def _least_named(stage: Stage, advice: AdviceConfig) -> int:
    """Return of how many workers a stage should hold tickets.

    On a full fleet an urgent task needs its ticket before room becomes free,
    as others with tickets take the room while its call is under way.
    """
    if stage.owner.job.queue.priority or not advice.per_worker_s:
        return 0
    return round(_URGENT_STRETCH * advice.fixed_s / advice.per_worker_s)


def _urgency(
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
        progress.is_worthless(now_s),
        progress.is_excess,
        progress.job.queue.priority > 0,
        now_s > latest_start_s,
        latest_start_s,
    )


def _is_permitted(stage: Stage, room: WorkerState) -> bool:
    if stage.owner.job.queue.advice is None:
        return True
    return stage.allowed.get(room.report.worker_id, False)


def _free_cpu(room: WorkerState) -> int:
    return room.free.cpu_milli
