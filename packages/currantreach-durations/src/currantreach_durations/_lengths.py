"""Lengths of steps: the durations of their tasks on a worker of usual speed.

All lengths are natural logarithms, because declared durations and speeds act
as factors.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

from currantreach_durations._bounded import Average, BoundedStates

if TYPE_CHECKING:
    from typing import Final

    from currantreach_durations._limits import ModelLimits
    from currantreach_durations._work import Work

__all__ = (
    'MAX_NAME_LENGTH',
    'USUAL_VARIANCE',
    'Prediction',
    'QueueState',
    'StepLengths',
)

# Spread of the logarithm of the durations on one worker until a queue has its
# own: 0.28, as measured on one deployment. Variances are squares of spreads.
USUAL_VARIANCE: Final = 0.0784
# Spread of the lengths of steps about their corrected estimates: 0.35, as
# declared durations are off by factors with a spread of 0.2 to 0.5.
_STEP_VARIANCE = 0.1225
# Weight of these two spreads in runs.
_SPREAD_PRIOR_RUNS = 8
# Weight in runs of a declared duration against the learned ratio of a queue,
# and of the ratio of a queue against that of one of its teams.
_PRIOR_RUNS = 3
# Earlier runs fade after this many, so that a queue whose jobs change is
# followed within some hundred runs.
_MAX_RUNS = 200
_MAX_STEP_RUNS = 50
# The first ratios of a queue count in full: before them it is not known how far
# its declared durations are off.
_UNCLIPPED_RUNS = 8
# Weight of a run that confirms that the declared durations of a queue without
# more runs are far off: it outweighs the prior, and later runs may correct it.
_CONFIRMED_RUNS = 4
# Later deviations count up to this multiple of their spread, because three runs
# in a hundred take seven times as long as the rest. Several siblings that agree
# are no such exception, so the first ones count in full for their step.
_CLIP = 3
_UNCLIPPED_SIBLINGS = 3
# With less than this spread of 0.05 any deviation would count as a change.
_MIN_VARIANCE = 0.0025
# A part of the spread is always that of the steps, so that two siblings weigh
# more than the corrected estimate even before the spread of siblings is known.
_MOST_NOISE_SHARE = 0.6
# Largest variance that the mean of an estimate allows for (a factor of e).
_MAX_VARIANCE = 2
# Keys of unusual length would exceed the memory that the limits stand for.
MAX_NAME_LENGTH: Final = 100


@attrs.define(slots=True, eq=False, weakref_slot=False)
class QueueState:
    """What the runs of one queue have in common.

    :ivar ratio_log: ratio of actual to declared durations.
    :ivar length_log: durations of runs without a declared one.
    :ivar total_variance: of first runs of steps about their predictions.
    :ivar noise_variance: of further runs of steps about their siblings.
    """

    ratio_log: Average = attrs.field(factory=Average)
    length_log: Average = attrs.field(factory=Average)
    total_variance: Average = attrs.field(
        factory=lambda: Average(
            _SPREAD_PRIOR_RUNS, USUAL_VARIANCE + _STEP_VARIANCE
        ),
    )
    noise_variance: Average = attrs.field(
        factory=lambda: Average(_SPREAD_PRIOR_RUNS, USUAL_VARIANCE),
    )

    @property
    def run_count(self) -> float:
        """Return the number of runs behind the prediction."""
        return self.ratio_log.run_count + self.length_log.run_count

    @property
    def step_variance(self) -> float:
        """Return the variance of the lengths of steps."""
        return max(_MIN_VARIANCE, self.total_variance.mean) - self.run_variance

    @property
    def run_variance(self) -> float:
        """Return the variance of runs about the length of their step."""
        total = max(_MIN_VARIANCE, self.total_variance.mean)
        return min(self.noise_variance.mean, total * _MOST_NOISE_SHARE)

    def clip(self, deviation_log: float) -> float:
        """Bound the deviation of a first run of a step."""
        return _clip(deviation_log, self.total_variance.mean)

    def learn_first(self, length_log: float, prediction: Prediction) -> float:
        """Learn how far off the prediction of a step was without siblings.

        :returns: the length to learn from.
        """
        deviation_log = length_log - prediction.length_log
        if not self.run_count:
            return length_log
        if self.run_count > _UNCLIPPED_RUNS:
            deviation_log = _clip(deviation_log, prediction.variance)
        self.total_variance.add(deviation_log**2, _MAX_RUNS)
        return prediction.length_log + deviation_log

    def learn_sibling(
        self,
        length_log: float,
        prediction: Prediction,
        siblings: Average,
    ) -> float:
        """Learn how far a run is from its siblings.

        :returns: the length to learn from.
        """
        # The average of the siblings is itself off by their noise.
        scale = siblings.run_count / (siblings.run_count + 1)
        deviation_log = _clip(
            length_log - siblings.mean, prediction.noise_variance / scale
        )
        self.noise_variance.add(scale * deviation_log**2, _MAX_RUNS)
        return prediction.length_log + _clip(
            length_log - prediction.length_log, prediction.variance
        )


@attrs.frozen(slots=True)
class Prediction:
    """Predicted length of a step.

    :ivar length_log: length of the step.
    :ivar step_variance: variance of the length itself.
    :ivar noise_variance: variance of the runs about the length.
    :ivar run_count: runs behind it.
    :ivar queue_run_count: runs of its queue.
    :ivar sibling_count: runs of the same step.
    """

    length_log: float
    step_variance: float
    noise_variance: float
    run_count: float
    queue_run_count: float
    sibling_count: float

    @property
    def variance(self) -> float:
        """Return the variance of a single run about the prediction."""
        return min(_MAX_VARIANCE, self.step_variance + self.noise_variance)


class StepLengths:
    """Lengths of steps, from their runs, their teams and their queues."""

    def __init__(self, limits: ModelLimits) -> None:
        """Start without runs."""
        self.queues: BoundedStates[str, QueueState]
        self.teams: BoundedStates[tuple[str, str], Average]
        self.queues = BoundedStates(limits.max_queues, QueueState)
        self.teams = BoundedStates(limits.max_teams, Average)
        self.steps: BoundedStates[str, Average]
        self.steps = BoundedStates(limits.max_steps, Average)

    def predict(self, work: Work) -> Prediction | None:
        """Return the predicted length, or ``None`` without any source."""
        queue = self.queues.get(work.queue)
        base_log = self._base_log(work, queue)
        if base_log is None:
            return None
        if queue is None:
            return Prediction(base_log, _STEP_VARIANCE, USUAL_VARIANCE, 0, 0, 0)
        step = self.steps.get(work.step_id) if work.step_id else None
        noise_variance = max(_MIN_VARIANCE, queue.run_variance)
        run_count = queue.run_count
        if step is None:
            return Prediction(
                base_log,
                queue.step_variance,
                noise_variance,
                run_count,
                run_count,
                0,
            )
        # The corrected estimate weighs as many runs as its spread is worth.
        prior_runs = noise_variance / queue.step_variance
        step_runs = prior_runs + step.run_count
        deviation_log = step.mean - base_log
        if step.run_count <= 1:
            deviation_log = queue.clip(deviation_log)
        return Prediction(
            base_log + step.run_count / step_runs * deviation_log,
            noise_variance / step_runs,
            noise_variance,
            max(run_count, step.run_count),
            run_count,
            step.run_count,
        )

    def learn(
        self,
        work: Work,
        length_log: float,
        prediction: Prediction | None,
    ) -> None:
        """Learn from a run.

        :param length_log: duration of the run on a worker of usual speed.
        :param prediction: prediction for the run before it ended.
        """
        if len(work.queue) > MAX_NAME_LENGTH:
            return
        queue = self.queues.use(work.queue)
        step_log = length_log
        siblings: float = 0
        if prediction is not None:
            siblings = prediction.sibling_count
            step = self.steps.get(work.step_id) if siblings else None
            if step is None:
                length_log = queue.learn_first(length_log, prediction)
            else:
                length_log = queue.learn_sibling(length_log, prediction, step)
            if siblings >= _UNCLIPPED_SIBLINGS:
                step_log = length_log
        # All siblings share the deviation of their step from its estimate.
        self._add(work, queue, length_log, 1 / (1 + siblings))
        self._add_to_step(work, step_log)

    def learn_confirmed(
        self,
        work: Work,
        length_log: float,
        prediction: Prediction,
    ) -> None:
        """Learn from the second of two runs that took far too long.

        In the first runs of a queue its deviation is that of the declared
        durations, so it does not count for the spread.
        """
        if prediction.queue_run_count > _UNCLIPPED_RUNS:
            self.learn(work, length_log, prediction)
            return
        queue = self.queues.use(work.queue)
        self._add(work, queue, length_log, _CONFIRMED_RUNS)
        self._add_to_step(work, length_log)

    def _add(
        self,
        work: Work,
        queue: QueueState,
        length_log: float,
        weight: float,
    ) -> None:
        """Add a run to the averages of its queue and its team."""
        if work.has_declared:
            ratio_log = length_log - math.log(work.declared_s)
            queue.ratio_log.add(ratio_log, _MAX_RUNS, weight)
            if len(work.team) <= MAX_NAME_LENGTH:
                team = self.teams.use((work.queue, work.team))
                team.add(ratio_log, _MAX_RUNS, weight)
        else:
            queue.length_log.add(length_log, _MAX_RUNS, weight)

    def _add_to_step(self, work: Work, step_log: float) -> None:
        if work.step_id and len(work.step_id) <= MAX_NAME_LENGTH:
            self.steps.use(work.step_id).add(step_log, _MAX_STEP_RUNS)

    def _base_log(self, work: Work, queue: QueueState | None) -> float | None:
        """Return the length of a step without any runs of its own."""
        if not work.has_declared:
            if queue is None or not queue.run_count:
                return None
            return queue.length_log.mean
        declared_log = math.log(work.declared_s)
        if queue is None:
            return declared_log
        ratio_log = _shrink(queue.ratio_log, 0)
        team = self.teams.get((work.queue, work.team))
        if team is not None:
            ratio_log = _shrink(team, ratio_log)
        return declared_log + ratio_log


def _shrink(learned: Average, prior: float) -> float:
    """Return a learned value with a prior of a few runs."""
    share = learned.run_count / (learned.run_count + _PRIOR_RUNS)
    return prior + share * (learned.mean - prior)


def _clip(deviation_log: float, variance: float) -> float:
    """Bound a deviation by a multiple of its spread."""
    bound = _CLIP * math.sqrt(variance)
    return max(-bound, min(bound, deviation_log))
