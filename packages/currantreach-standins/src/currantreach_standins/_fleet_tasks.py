"""Tasks of the worker stand-in."""

from __future__ import annotations

import math

import attrs

from currantreach_types import (
    Resources,
    StartOrder,
    TaskPhase,
    WorkerTask,
    decode_json,
)
from currantreach_types.errors import MalformedMessageError

__all__ = ('RunningTask', 'TaskHints')

_THROTTLED_PACE = 0.5
_MS_PER_S = 1000


@attrs.frozen(slots=True, kw_only=True)
class TaskHints:
    """Fields of ``spec_json`` that the stand-in follows.

    A payload that is a JSON object can carry ``use_factor`` and ``fails``,
    so that callers can ask for them through the scheduler.

    :ivar payload: text returned in the output.
    :ivar use_factor: actual use as a multiple of the declared one.
    :ivar fails: whether the task fails at once wherever it starts.
    """

    payload: str = ''
    use_factor: float | None = None
    fails: bool = False


def _read_hints(spec_json: str) -> TaskHints:
    hints = _hints_of(spec_json)
    if hints.payload.startswith('{'):
        inner = _hints_of(hints.payload)
        return attrs.evolve(
            hints,
            use_factor=inner.use_factor or hints.use_factor,
            fails=inner.fails or hints.fails,
        )
    return hints


def _hints_of(text: str) -> TaskHints:
    if not text.startswith('{'):
        return TaskHints(payload=text)
    try:
        return decode_json(text, TaskHints)
    except MalformedMessageError:
        return TaskHints(payload=text)


def _scaled(resources: Resources, factor: float) -> Resources:
    """Scale what a task can use more or less of than it declared."""
    return attrs.evolve(
        resources,
        cpu_milli=round(resources.cpu_milli * factor),
        memory_mib=round(resources.memory_mib * factor),
    )


@attrs.define(slots=True, eq=False)
class RunningTask:
    """A task and the times at which something happens to it.

    :ivar order: order that started it.
    :ivar hints: how it behaves.
    :ivar progress_ms: work done up to ``progress_at_s``.
    :ivar lease_end_s: time at which it expires unless renewed.
    :ivar usage_at_s: time of the next usage report, infinite for none.
    :ivar wake_at_s: time of its valid entry in the heap.
    :ivar sequence: number of its last event.
    """

    order: StartOrder
    hints: TaskHints
    started_at_s: float
    progress_ms: float
    progress_at_s: float
    lease_end_s: float
    usage_at_s: float
    phase: TaskPhase = TaskPhase.running
    observed: Resources = Resources()
    output: str = ''
    run_ms: int = 0
    is_throttled: bool = False
    wake_at_s: float = math.inf
    sequence: int = 0

    @classmethod
    def begin(
        cls,
        order: StartOrder,
        progress_ms: float,
        now_s: float,
        usage_lag_s: float,
    ) -> RunningTask:
        """Return a task that starts now."""
        return cls(
            order=order,
            hints=_read_hints(order.spec_json),
            started_at_s=now_s,
            progress_ms=progress_ms,
            progress_at_s=now_s,
            lease_end_s=now_s + order.lease_ms / _MS_PER_S,
            usage_at_s=now_s + usage_lag_s,
        )

    @property
    def is_running(self) -> bool:
        """Tell whether the task takes room."""
        return self.phase == TaskPhase.running

    def end_at_s(self) -> float:
        """Return the time at which it has done all its work."""
        left_ms = self.order.run_ms - self.progress_ms
        return self.progress_at_s + left_ms / self._pace() / _MS_PER_S

    def next_change_s(self) -> float:
        """Return the time of the next change."""
        return min(self.end_at_s(), self.lease_end_s, self.usage_at_s)

    def advance(self, now_s: float) -> None:
        """Count the work done until now."""
        elapsed_ms = (now_s - self.progress_at_s) * _MS_PER_S
        self.progress_ms += elapsed_ms * self._pace()
        self.progress_at_s = now_s

    def report_usage(self, fleet_factor: float | None) -> bool:
        """Take the actual use as observed; tell whether it changed."""
        self.usage_at_s = math.inf
        factor = fleet_factor or self.hints.use_factor or 1
        if self.is_throttled:
            factor = min(factor, 1)
        observed = _scaled(self.order.resources, factor)
        is_changed = observed != self.observed
        self.observed = observed
        return is_changed

    def end(self, phase: TaskPhase, now_s: float) -> None:
        """Leave the running phase."""
        self.phase = phase
        self.run_ms = round((now_s - self.started_at_s) * _MS_PER_S)
        if phase == TaskPhase.finished:
            self.output = ':'.join((self.order.task_id, self.hints.payload))

    def as_reported(self, now_s: float) -> WorkerTask:
        """Return the task as it is reported."""
        run_ms = self.run_ms
        if self.is_running:
            run_ms = round((now_s - self.started_at_s) * _MS_PER_S)
        return WorkerTask(
            task_id=self.order.task_id,
            epoch=self.order.epoch,
            phase=self.phase,
            resources=self.order.resources,
            observed=self.observed,
            output=self.output,
            run_ms=run_ms,
            spec_json=self.order.spec_json,
        )

    def _pace(self) -> float:
        return _THROTTLED_PACE if self.is_throttled else 1
