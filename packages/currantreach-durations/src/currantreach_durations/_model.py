"""Model of durations with two factors: the step and the worker."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from currantreach_durations._bounded import Average
from currantreach_durations._doubts import DoubtfulRuns
from currantreach_durations._lengths import MAX_NAME_LENGTH, StepLengths
from currantreach_durations._limits import ModelLimits
from currantreach_durations._records import (
    DurationRecord,
    QueueRecord,
    TeamRecord,
    is_within,
)
from currantreach_durations._speeds import WorkerSpeeds
from currantreach_durations._work import Estimate

if TYPE_CHECKING:
    from collections.abc import Mapping

    from currantreach_durations._lengths import Prediction
    from currantreach_durations._work import FinishedRun, Work

__all__ = ('DurationModel',)

# Shorter times are those of the calls around a run.
_MIN_RUN_S = 0.001
# A run that takes this many times longer than expected was measured wrongly,
# for example because a host was suspended, unless the next one agrees with it:
# then the declared duration is far off, or the queue has changed.
_MAX_FACTOR = 100
# 0.9 quantile of the standard normal distribution.
_TAIL_QUANTILE = 1.2816
# The spread counts in full after a few runs; a declared duration alone has
# none.
_SPREAD_PRIOR_RUNS = 3
# A record of this size takes a few kilobytes.
_MAX_RECORDED_QUEUES = 16
_MAX_RECORDED_TEAMS = 48
_MAX_RECORDED_WORKERS = 128
# Slowdowns outside these bounds are no speed of a worker.
_MIN_SLOWDOWN = 0.01
_MAX_SLOWDOWN = 100
_DIGITS = 3


class DurationModel:
    """Learns how long steps are and by how much each worker is slower.

    The duration of a run is the product of the length of its step, the
    slowdown of its worker and noise. The model has no clock: callers pass
    the times of one clock.

    :param limits: what it keeps and learns from.
    """

    def __init__(self, limits: ModelLimits | None = None) -> None:
        """Start without runs."""
        limits = limits or ModelLimits()
        self._max_run_s = limits.max_run_s
        self._lengths = StepLengths(limits)
        self._speeds = WorkerSpeeds(limits.max_workers)
        self._doubts = DoubtfulRuns(limits.max_doubts)
        self._last_end_s: float = 0

    def learn(self, run: FinishedRun) -> bool:
        """Learn from a run; return whether it taught anything."""
        is_measured = 0 < run.run_s <= self._max_run_s
        if not is_measured or not math.isfinite(run.ended_at_s):
            return False
        run_log = math.log(max(_MIN_RUN_S, run.run_s))
        prediction = self._lengths.predict(run.work)
        if prediction is not None:
            expected_log = prediction.length_log + self._speeds.relative_log(
                run.worker_id, run.ended_at_s
            )
            if run_log > expected_log + math.log(_MAX_FACTOR):
                return self._learn_doubtful(run, run_log, prediction)
            self._doubts.clear(run.work)
            self._learn_speed(run, run_log, prediction)
        self._last_end_s = run.ended_at_s
        worker_log = self._speeds.relative_log(run.worker_id, run.ended_at_s)
        self._lengths.learn(run.work, run_log - worker_log, prediction)
        return True

    def estimate(self, work: Work, now_s: float) -> Estimate:
        """Return the expected duration of a task on a usual worker."""
        prediction = self._lengths.predict(work)
        if prediction is None or not prediction.run_count:
            declared_s = work.declared_s if work.has_declared else 0
            return Estimate(declared_s, declared_s)
        run_count = prediction.run_count
        share = run_count / (run_count + _SPREAD_PRIOR_RUNS)
        variance = share * prediction.variance
        spread_log = math.sqrt(variance)
        return Estimate(
            math.exp(prediction.length_log + variance / 2),
            math.exp(prediction.length_log + _TAIL_QUANTILE * spread_log),
            run_count,
        )

    def slowdown(self, worker_id: str, now_s: float) -> float:
        """Return the factor of the duration on a worker, 1 if unknown.

        A factor that does not differ from 1 by more than its noise is 1.
        """
        return self._speeds.slowdown(worker_id, now_s)

    def slowdowns(self, now_s: float) -> dict[str, float]:
        """Return the factors of all workers with another one than 1."""
        return self._speeds.slow_workers(now_s)

    def forget_worker(self, worker_id: str) -> None:
        """Forget a worker that is gone or has been replaced."""
        self._speeds.forget(worker_id)

    def key_counts(self) -> dict[str, int]:
        """Return the number of learned keys by their kind."""
        return {
            'queues': len(self._lengths.queues),
            'teams': len(self._lengths.teams),
            'steps': len(self._lengths.steps),
            'workers': len(self._speeds),
        }

    def record(self) -> DurationRecord:
        """Return a record of the most recently used keys but the steps."""
        queues = list(self._lengths.queues.newest_first())
        teams = list(self._lengths.teams.newest_first())
        slowdowns = list(self._speeds.slow_workers(self._last_end_s).items())
        return DurationRecord(
            queues=tuple(
                QueueRecord(
                    queue=queue,
                    runs=_rounded(state.ratio_log.run_count),
                    ratio_log=_rounded(state.ratio_log.mean),
                    undeclared_runs=_rounded(state.length_log.run_count),
                    length_log=_rounded(state.length_log.mean),
                    total_variance=_rounded(state.total_variance.mean),
                    noise_variance=_rounded(state.noise_variance.mean),
                )
                for queue, state in queues[:_MAX_RECORDED_QUEUES]
            ),
            teams=tuple(
                TeamRecord(
                    queue=queue,
                    team=team,
                    runs=_rounded(ratio.run_count),
                    ratio_log=_rounded(ratio.mean),
                )
                for (queue, team), ratio in teams[:_MAX_RECORDED_TEAMS]
            ),
            slowdowns={
                worker_id: _rounded(factor)
                for worker_id, factor in slowdowns[:_MAX_RECORDED_WORKERS]
            },
        )

    def restore(self, record: DurationRecord, now_s: float = 0) -> int:
        """Add what an earlier model has learned; return the number of keys.

        Entries out of bounds are ignored, and what this model has learned
        itself takes precedence.

        :param now_s: time from which the slowdowns of workers age.
        """
        return (
            sum(map(self._restore_queue, reversed(record.queues)))
            + sum(map(self._restore_team, reversed(record.teams)))
            + self._restore_workers(record.slowdowns, now_s)
        )

    def _learn_doubtful(
        self,
        run: FinishedRun,
        run_log: float,
        prediction: Prediction,
    ) -> bool:
        """Learn from a run that took far too long if it is not the first.

        It tells nothing about its worker.
        """
        if not self._doubts.confirm(run.work, run_log):
            return False
        self._last_end_s = run.ended_at_s
        worker_log = self._speeds.relative_log(run.worker_id, run.ended_at_s)
        self._lengths.learn_confirmed(
            run.work, run_log - worker_log, prediction
        )
        return True

    def _learn_speed(
        self,
        run: FinishedRun,
        run_log: float,
        prediction: Prediction,
    ) -> None:
        if run.worker_id and len(run.worker_id) <= MAX_NAME_LENGTH:
            self._speeds.learn(
                run.worker_id,
                run.work.step_id,
                run_log - prediction.length_log,
                prediction,
                run.ended_at_s,
            )

    def _restore_queue(self, found: QueueRecord) -> bool:
        queues = self._lengths.queues
        is_usable = found.is_valid and len(found.queue) <= MAX_NAME_LENGTH
        if not is_usable or queues.get(found.queue) is not None:
            return False
        queue = queues.use(found.queue)
        queue.ratio_log = Average(found.runs, found.ratio_log)
        queue.length_log = Average(found.undeclared_runs, found.length_log)
        if found.runs or found.undeclared_runs:
            run_count = max(1, found.runs, found.undeclared_runs)
            queue.total_variance = Average(run_count, found.total_variance)
            queue.noise_variance = Average(run_count, found.noise_variance)
        return True

    def _restore_team(self, found: TeamRecord) -> bool:
        key = (found.queue, found.team)
        is_usable = found.is_valid and max(map(len, key)) <= MAX_NAME_LENGTH
        if not is_usable or self._lengths.teams.get(key) is not None:
            return False
        team = self._lengths.teams.use(key)
        team.run_count = found.runs
        team.mean = found.ratio_log
        return True

    def _restore_workers(
        self, slowdowns: Mapping[str, float], now_s: float
    ) -> int:
        usable = {
            worker_id: slowdown
            for worker_id, slowdown in reversed(tuple(slowdowns.items()))
            if is_within(slowdown, _MIN_SLOWDOWN, _MAX_SLOWDOWN)
            and 0 < len(worker_id) <= MAX_NAME_LENGTH
        }
        for worker_id, slowdown in usable.items():
            self._speeds.restore(worker_id, slowdown, now_s)
        return len(usable)


def _rounded(found: float) -> float:
    return round(found, _DIGITS)
