"""Which stage goes first because it has waited too long."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_telemetry import log_event
from currantreach_types import Resources

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from currantreach_jobs._progress import Stage
    from currantreach_jobs._usage import WorkerState

__all__ = ('Turns',)

# The order by worth decides within this time. A takeover holds all stages up
# for about as long.
_LONGEST_WAIT_S = 5
# A stage that keeps no room for itself meanwhile cannot start at present.
_IDLE_TURN_S = 3
# The longest tasks of today's deployments end within half of this time, so
# that a turn outlasts what runs on the workers that are kept.
_LONGEST_TURN_S = 30
# Turns take this part of the fleet at most while there are many of them; the
# rest goes by worth.
_FLEET_SHARE = 0.25


class Turns:
    """Lets stages that have waited too long go first, one at a time.

    The order by worth alone leaves a late job waiting for as long as others
    come. With one such stage in front at a time the others are delayed by
    that stage at most. The next turn begins when the last one has used no more
    than its share of the fleet since it began.
    """

    def __init__(self) -> None:
        """Start with nobody in front."""
        self._stage: Stage | None = None
        self._began_s: float = 0
        self._idle_at_s: float = 0
        self._next_turn_s: float = 0
        self._has_kept = False

    def choose(
        self,
        stages: Iterable[Stage],
        workers: Collection[WorkerState],
        now_s: float,
    ) -> Stage | None:
        """Return the stage that goes first, if any.

        :param stages: stages with waiting tasks whose turn has come.
        :param workers: workers on which anything may be started.
        """
        if self._has_turn(now_s):
            return self._stage
        if self._stage is not None:
            self._end_turn(self._stage, workers, now_s)
        if now_s < self._next_turn_s or not workers:
            return None
        self._stage = min(
            (stage for stage in stages if _is_overdue(stage, now_s)),
            key=_order,
            default=None,
        )
        self._began_s = now_s
        self._idle_at_s = now_s + _IDLE_TURN_S
        self._has_kept = False
        if self._stage is not None:
            _log_turn('turn_given', self._stage, now_s)
        return self._stage

    def note_kept(self, now_s: float) -> None:
        """Note that something is kept for the stage in front."""
        self._has_kept = True
        self._idle_at_s = now_s + _IDLE_TURN_S

    def _has_turn(self, now_s: float) -> bool:
        stage = self._stage
        if stage is None or stage.owner.state.is_final:
            return False
        if now_s >= min(self._began_s + _LONGEST_TURN_S, self._idle_at_s):
            return False
        # A start that a worker refuses must not cost the turn.
        is_confirmed = stage.wait_began_s >= self._began_s
        return bool(stage.waiting) or not is_confirmed

    def _end_turn(
        self,
        stage: Stage,
        workers: Iterable[WorkerState],
        now_s: float,
    ) -> None:
        self._stage = None
        if stage.waiting:
            _log_turn('turn_over', stage, now_s)
        stage.last_turn_s = now_s
        used_s = now_s - self._began_s if self._has_kept else 0
        if not stage.waiting:
            used_s += stage.step.estimate_s
        rest_s = used_s * _part_of_fleet(stage, workers) / _FLEET_SHARE
        self._next_turn_s = self._began_s + min(rest_s, _LONGEST_TURN_S)


def _can_begin(stage: Stage) -> bool:
    if stage.step.is_gang:
        return len(stage.waiting) == stage.step.task_count
    return bool(stage.waiting)


def _log_turn(event: str, stage: Stage, now_s: float) -> None:
    log_event(
        event,
        job=stage.owner.job.job_id,
        step=stage.number,
        waiting=len(stage.waiting),
        since_s=round(now_s - stage.wait_began_s, 1),
        reason=stage.obstacle,
    )


def _part_of_fleet(stage: Stage, workers: Iterable[WorkerState]) -> float:
    """Return the part of the processors or memory that a stage takes."""
    whole = sum((room.report.room for room in workers), Resources())
    needed = stage.step.needed
    part = max(
        needed.cpu_milli / max(1, whole.cpu_milli),
        needed.memory_mib / max(1, whole.memory_mib),
    )
    return min(1, part * stage.step.task_count)


def _is_overdue(stage: Stage, now_s: float) -> bool:
    since_s = max(stage.wait_began_s, stage.last_turn_s)
    return now_s - since_s > _LONGEST_WAIT_S and _can_begin(stage)


def _order(stage: Stage) -> tuple[float, float]:
    since_s = max(stage.wait_began_s, stage.last_turn_s)
    return since_s, stage.owner.accepted_at_s
