"""Priority boost for stages that have waited too long."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_telemetry import log_event
from currantreach_types import Resources

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from currantreach_jobs._progress import Stage
    from currantreach_jobs._usage import WorkerState

__all__ = ('PriorityBoost',)

# Up to this wait, stages are ordered by urgency alone. A takeover delays all
# stages for about as long.
_MAX_WAIT_S = 5
# A boost ends early if the stage reserves nothing for this long, as it cannot
# start at present.
_MAX_IDLE_BOOST_S = 3
# The longest tasks of today's deployments end within half of this time, so a
# boost outlasts the tasks that run on the reserved workers.
_MAX_BOOST_S = 30
# Boosted stages together use at most this fraction of the fleet over time; the
# rest is assigned by urgency.
_BOOSTED_FLEET_SHARE = 0.25


class PriorityBoost:
    """Prevents starvation by boosting one overdue stage at a time.

    With the order by urgency alone, a late job waits for as long as other jobs
    arrive. With one boosted stage at a time, the others are delayed by that
    stage at most. The next boost begins once the last one has used no more
    than its share of the fleet since it began.
    """

    def __init__(self) -> None:
        """Start without a boosted stage."""
        self._stage: Stage | None = None
        self._began_s: float = 0
        self._idle_at_s: float = 0
        self._next_boost_s: float = 0
        self._has_reserved = False

    def select(
        self,
        stages: Iterable[Stage],
        workers: Collection[WorkerState],
        now_s: float,
    ) -> Stage | None:
        """Return the boosted stage, if any.

        :param stages: startable stages with waiting tasks.
        :param workers: workers on which anything may be started.
        """
        if self._is_active(now_s):
            return self._stage
        if self._stage is not None:
            self._end_boost(self._stage, workers, now_s)
        if now_s < self._next_boost_s or not workers:
            return None
        self._stage = min(
            (stage for stage in stages if _is_overdue(stage, now_s)),
            key=_wait_order,
            default=None,
        )
        self._began_s = now_s
        self._idle_at_s = now_s + _MAX_IDLE_BOOST_S
        self._has_reserved = False
        if self._stage is not None:
            _log_boost('stage_boosted', self._stage, now_s)
        return self._stage

    def record_reservation(self, now_s: float) -> None:
        """Record that capacity is reserved for the boosted stage."""
        self._has_reserved = True
        self._idle_at_s = now_s + _MAX_IDLE_BOOST_S

    def _is_active(self, now_s: float) -> bool:
        stage = self._stage
        if stage is None or stage.job_progress.state.is_final:
            return False
        if now_s >= min(self._began_s + _MAX_BOOST_S, self._idle_at_s):
            return False
        # A start that a worker refuses must not end the boost.
        is_confirmed = stage.wait_began_s >= self._began_s
        return bool(stage.waiting) or not is_confirmed

    def _end_boost(
        self,
        stage: Stage,
        workers: Iterable[WorkerState],
        now_s: float,
    ) -> None:
        self._stage = None
        if stage.waiting:
            _log_boost('stage_boost_ended', stage, now_s)
        stage.last_boost_ended_at_s = now_s
        used_s = now_s - self._began_s if self._has_reserved else 0
        if not stage.waiting:
            used_s += stage.step.estimate_s
        rest_s = used_s * _fleet_share(stage, workers) / _BOOSTED_FLEET_SHARE
        self._next_boost_s = self._began_s + min(rest_s, _MAX_BOOST_S)


def _can_start(stage: Stage) -> bool:
    if stage.step.is_gang:
        return len(stage.waiting) == stage.step.task_count
    return bool(stage.waiting)


def _log_boost(event: str, stage: Stage, now_s: float) -> None:
    log_event(
        event,
        job=stage.job_progress.job.job_id,
        step=stage.step_number,
        waiting=len(stage.waiting),
        since_s=round(now_s - stage.wait_began_s, 1),
        reason=stage.wait_reason,
    )


def _fleet_share(stage: Stage, workers: Iterable[WorkerState]) -> float:
    """Return the fraction of processors or memory that a stage uses."""
    total = sum((worker.report.room for worker in workers), Resources())
    needed = stage.step.needed
    share = max(
        needed.cpu_milli / max(1, total.cpu_milli),
        needed.memory_mib / max(1, total.memory_mib),
    )
    return min(1, share * stage.step.task_count)


def _is_overdue(stage: Stage, now_s: float) -> bool:
    since_s = max(stage.wait_began_s, stage.last_boost_ended_at_s)
    return now_s - since_s > _MAX_WAIT_S and _can_start(stage)


def _wait_order(stage: Stage) -> tuple[float, float]:
    since_s = max(stage.wait_began_s, stage.last_boost_ended_at_s)
    return since_s, stage.job_progress.accepted_at_s
