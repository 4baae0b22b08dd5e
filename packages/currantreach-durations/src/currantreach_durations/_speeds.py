"""Speeds of workers, as logarithms of the factor of the durations there."""

from __future__ import annotations

import math
import statistics
from typing import TYPE_CHECKING

import attrs

from currantreach_durations._bounded import BoundedStates
from currantreach_durations._lengths import USUAL_VARIANCE

if TYPE_CHECKING:
    from currantreach_durations._lengths import Prediction

__all__ = ('WorkerSpeeds',)

# A worker counts as usual until its runs outweigh two of a usual worker.
_PRIOR_RUNS = 2
# With this many runs a factor of 1.3 differs from 1 by more than its noise;
# older runs fade, so that a gradual change is followed.
_MAX_RUNS = 40
# With 4.5 times the noise, 2 of 25 simulated fleets of equal workers had a slow
# one now and then, as the errors of declared durations add to the noise.
_CERTAIN_MULTIPLE = 6.5
# Where a tenth of the workers, and at least two, are likely to differ, this
# multiple is enough for all of them. Waiting for the first ones to differ
# certainly took 23 runs of a worker instead of 13, and gave as many wrong
# slowdowns in simulated fleets of equal workers.
_LIKELY_MULTIPLE = 4
_DIFFERING_DIVISOR = 10
_MIN_DIFFERING = 2
# Smaller differences matter less than the spread of a single run.
_MIN_SLOWDOWN = 1.2
# Workers turn slow for 6 s, so what was learned holds fully for a moment and is
# gone after some ten seconds without runs.
_FULL_AGE_S = 2
_MAX_AGE_S = 10
# A lasting speed is remembered for longer and holds again once a run agrees, as
# workers of a fleet with little work have a run in several seconds only.
_MEMORY_S = 60
# A deviation beyond three times its spread, and by at least a factor of two, is
# a task of unusual length or a change of the worker; the second one tells.
_SURPRISE = 3
_MIN_SURPRISE = 2
# By chance a task is several times longer than expected, but not several times
# shorter. So one run beyond twice the spread ends a slowdown of that factor.
_RECOVERY = 2
# Workers turn 5 to 8 times slower at once. Two runs that are off by less than
# this factor on average occur on equal workers, so they count as any others.
_MIN_CHANGE = 3
# Weight of a change that is known from two runs: the prior is about the spread
# of unchanged workers, so it hardly applies.
_CHANGE_RUNS = 6
# The first steps of a queue show how far its declared durations are off. With 8
# of them, a fleet of equal workers had a slow one now and then.
_MIN_QUEUE_RUNS = 24
# From this many finished siblings on, a deviation is not that of the step.
_MIN_SIBLINGS = 3
# Two workers do not tell which of them is the usual one.
_MIN_WORKERS = 3
# The median of all workers is computed again after this part of them has
# learned something.
_MEDIAN_DIVISOR = 8
# Runs of one step share its deviation, so only the first of them on a worker
# counts for its speed. This many steps alternate on a worker.
_RECENT_STEPS = 4


@attrs.define(slots=True, eq=False, weakref_slot=False)
class _Speed:
    """Speed of one worker.

    :ivar run_count: weight of its runs, in runs of the usual spread.
    :ivar slowdown_log: their average deviation from the predicted lengths.
    :ivar surprise_log: deviation of its last run if it was unexpected, else 0.
    """

    run_count: float = 0
    slowdown_log: float = 0
    updated_at_s: float = 0
    surprise_log: float = 0
    recent_steps: tuple[str, ...] = ()

    def runs_at(self, now_s: float) -> float:
        """Return the weight of the runs after the time without new ones."""
        age_s = now_s - self.updated_at_s
        if age_s <= _FULL_AGE_S:
            return self.run_count
        span_s = _MAX_AGE_S - _FULL_AGE_S
        return self.run_count * max(0, (_MAX_AGE_S - age_s) / span_s)

    def age(self, now_s: float, usual_log: float) -> None:
        """Apply the time without runs when the next one has ended."""
        age_s = now_s - self.updated_at_s
        self.updated_at_s = now_s
        if age_s <= _MAX_AGE_S:
            return
        self.surprise_log = 0
        difference_log = self.slowdown_log - usual_log
        if age_s > _MEMORY_S or difference_log >= math.log(_MIN_CHANGE):
            self.run_count = 0
            self.slowdown_log = usual_log

    def replace(self, slowdown_log: float, run_count: float) -> None:
        """Replace all earlier runs after a change."""
        self.slowdown_log = slowdown_log
        self.run_count = run_count
        self.surprise_log = 0

    def add(self, deviation_log: float, weight: float) -> None:
        """Add a run."""
        self.run_count = min(_MAX_RUNS, self.run_count + weight)
        gain = min(1, weight / self.run_count)
        self.slowdown_log += gain * (deviation_log - self.slowdown_log)


class WorkerSpeeds:
    """Speeds of all known workers; the median of them is the usual one."""

    def __init__(self, max_workers: int) -> None:
        """Start without workers."""
        self._speeds: BoundedStates[str, _Speed]
        self._speeds = BoundedStates(max_workers, _Speed)
        self._usual_log: float = 0
        self._noise_multiple: float = _CERTAIN_MULTIPLE
        self._learned_since_median = 0

    def __len__(self) -> int:
        """Return the number of known workers."""
        return len(self._speeds)

    def forget(self, worker_id: str) -> None:
        """Forget a worker."""
        self._speeds.discard(worker_id)

    def slowdown(self, worker_id: str, now_s: float) -> float:
        """Return the factor of durations, 1 unless it is certainly another."""
        speed = self._speeds.get(worker_id)
        if speed is None:
            return 1
        run_count = speed.runs_at(now_s)
        difference_log = speed.slowdown_log - self._usual_log
        if self._noise_ratio(speed, run_count) < self._noise_multiple:
            return 1
        slowdown_log = difference_log * _share(run_count)
        if abs(slowdown_log) < math.log(_MIN_SLOWDOWN):
            return 1
        return math.exp(slowdown_log)

    def slow_workers(self, now_s: float) -> dict[str, float]:
        """Return the factors that are not 1, most recently used first."""
        factors = {
            worker_id: self.slowdown(worker_id, now_s)
            for worker_id, _ in self._speeds.newest_first()
        }
        return {
            worker_id: factor
            for worker_id, factor in factors.items()
            if factor != 1
        }

    def relative_log(self, worker_id: str, now_s: float) -> float:
        """Return the shrunk difference of a worker from the usual one."""
        speed = self._speeds.get(worker_id)
        if speed is None:
            return 0
        share = _share(speed.runs_at(now_s))
        return share * (speed.slowdown_log - self._usual_log)

    def restore(self, worker_id: str, slowdown: float, now_s: float) -> None:
        """Set the factor of a worker that is not known."""
        if self._speeds.get(worker_id) is None:
            speed = self._speeds.use(worker_id)
            difference_log = math.log(slowdown) / _share(_CHANGE_RUNS)
            speed.replace(self._usual_log + difference_log, _CHANGE_RUNS)
            speed.updated_at_s = now_s

    def learn(
        self,
        worker_id: str,
        step_id: str,
        deviation_log: float,
        prediction: Prediction,
        now_s: float,
    ) -> None:
        """Learn from a run.

        :param deviation_log: by how much it exceeds its predicted length.
        """
        if prediction.queue_run_count < _MIN_QUEUE_RUNS:
            return
        speed = self._speeds.use(worker_id)
        speed.age(now_s, self._usual_log)
        is_repeated = bool(step_id) and step_id in speed.recent_steps
        if not is_repeated or prediction.sibling_count >= _MIN_SIBLINGS:
            self._learn_deviation(
                speed, deviation_log, prediction.variance, is_repeated
            )
        if step_id and not is_repeated:
            recent = (step_id, *speed.recent_steps)
            speed.recent_steps = recent[:_RECENT_STEPS]
        self._learned_since_median += 1
        if self._learned_since_median * _MEDIAN_DIVISOR >= len(self._speeds):
            self._update_usual(now_s)

    def _learn_deviation(
        self,
        speed: _Speed,
        deviation_log: float,
        variance: float,
        is_repeated: bool,
    ) -> None:
        share = _share(speed.run_count)
        difference_log = share * (speed.slowdown_log - self._usual_log)
        expected_log = self._usual_log + difference_log
        own_variance = USUAL_VARIANCE / (speed.run_count + _PRIOR_RUNS)
        spread_log = math.sqrt(variance + own_variance)
        least_log = math.log(_MIN_SURPRISE)
        surprise_log = deviation_log - expected_log
        is_slow = difference_log >= least_log
        if is_slow and surprise_log < -max(least_log, _RECOVERY * spread_log):
            speed.replace(self._usual_log, 1)
        elif abs(surprise_log) <= max(least_log, _SURPRISE * spread_log):
            speed.surprise_log = 0
            if not is_repeated:
                speed.add(deviation_log, USUAL_VARIANCE / variance)
        elif speed.surprise_log * surprise_log > 0:
            self._learn_change(speed, deviation_log, variance)
        else:
            speed.surprise_log = deviation_log

    def _learn_change(
        self,
        speed: _Speed,
        deviation_log: float,
        variance: float,
    ) -> None:
        """Learn from the second unexpected run in a row."""
        earlier_log = speed.surprise_log
        changed_log = (earlier_log + deviation_log) / 2
        if changed_log - self._usual_log >= math.log(_MIN_CHANGE):
            speed.replace(changed_log, _CHANGE_RUNS)
            return
        speed.surprise_log = 0
        speed.add(earlier_log, USUAL_VARIANCE / variance)
        speed.add(deviation_log, USUAL_VARIANCE / variance)

    def _update_usual(self, now_s: float) -> None:
        """Compute the median of the workers with recent runs."""
        self._learned_since_median = 0
        run_counts = {
            speed: speed.runs_at(now_s)
            for _, speed in self._speeds.newest_first()
        }
        known = [
            speed
            for speed, run_count in run_counts.items()
            if run_count >= _PRIOR_RUNS
        ]
        self._usual_log = 0
        if len(known) >= _MIN_WORKERS:
            self._usual_log = statistics.median(
                speed.slowdown_log for speed in known
            )
        differing = [
            speed
            for speed in known
            if self._noise_ratio(speed, run_counts[speed]) >= _LIKELY_MULTIPLE
        ]
        is_mixed = len(differing) >= _MIN_DIFFERING and len(
            differing
        ) * _DIFFERING_DIVISOR > len(known)
        self._noise_multiple = (
            _LIKELY_MULTIPLE if is_mixed else _CERTAIN_MULTIPLE
        )

    def _noise_ratio(self, speed: _Speed, run_count: float) -> float:
        """Return the difference from the usual worker relative to its noise."""
        difference_log = abs(speed.slowdown_log - self._usual_log)
        return difference_log * math.sqrt(run_count / USUAL_VARIANCE)


def _share(run_count: float) -> float:
    """Return how far a worker's own runs count against the prior."""
    return run_count / (run_count + _PRIOR_RUNS)
