"""Simulated tasks of the worker stand-in."""

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

_THROTTLED_SPEED = 0.5
_MS_PER_S = 1000


@attrs.frozen(slots=True, kw_only=True)
class TaskHints:
    """Fields of ``spec_json`` that control a simulated task.

    If the payload is a JSON object, it can contain ``use_factor`` and
    ``fails``, so that callers can set them through the scheduler.

    :ivar payload: text returned in the output.
    :ivar use_factor: actual usage as a multiple of the declared resources.
    :ivar fails: whether the task fails immediately on every worker.
    """

    payload: str = ''
    use_factor: float | None = None
    fails: bool = False


def _parse_hints(spec_json: str) -> TaskHints:
    hints = _decode_hints(spec_json)
    if hints.payload.startswith('{'):
        inner = _decode_hints(hints.payload)
        return attrs.evolve(
            hints,
            use_factor=inner.use_factor or hints.use_factor,
            fails=inner.fails or hints.fails,
        )
    return hints


def _decode_hints(text: str) -> TaskHints:
    if not text.startswith('{'):
        return TaskHints(payload=text)
    try:
        return decode_json(text, TaskHints)
    except MalformedMessageError:
        return TaskHints(payload=text)


def _scaled(resources: Resources, factor: float) -> Resources:
    """Scale the resources whose usage may differ from the declaration."""
    return attrs.evolve(
        resources,
        cpu_milli=round(resources.cpu_milli * factor),
        memory_mib=round(resources.memory_mib * factor),
    )


@attrs.define(slots=True, eq=False)
class RunningTask:
    """A task and the times of its next changes.

    :ivar order: order that started it.
    :ivar hints: settings of its behaviour.
    :ivar progress_ms: work done up to ``progress_at_s``.
    :ivar lease_expires_at_s: time at which it expires unless renewed.
    :ivar usage_report_at_s: time of the next usage report, or infinity.
    :ivar scheduled_at_s: due time of its valid entry in the heap.
    :ivar sequence: sequence number of its latest event.
    """

    order: StartOrder
    hints: TaskHints
    started_at_s: float
    progress_ms: float
    progress_at_s: float
    lease_expires_at_s: float
    usage_report_at_s: float
    phase: TaskPhase = TaskPhase.running
    observed: Resources = Resources()
    output: str = ''
    run_ms: int = 0
    is_throttled: bool = False
    scheduled_at_s: float = math.inf
    sequence: int = 0

    @classmethod
    def from_order(
        cls,
        order: StartOrder,
        progress_ms: float,
        now_s: float,
        usage_lag_s: float,
    ) -> RunningTask:
        """Create a task that starts now."""
        return cls(
            order=order,
            hints=_parse_hints(order.spec_json),
            started_at_s=now_s,
            progress_ms=progress_ms,
            progress_at_s=now_s,
            lease_expires_at_s=now_s + order.lease_ms / _MS_PER_S,
            usage_report_at_s=now_s + usage_lag_s,
        )

    @property
    def is_running(self) -> bool:
        """Tell whether the task occupies its resources."""
        return self.phase == TaskPhase.running

    def end_at_s(self) -> float:
        """Return the time at which the task will have finished its work."""
        left_ms = self.order.run_ms - self.progress_ms
        return self.progress_at_s + left_ms / self._speed() / _MS_PER_S

    def next_change_at_s(self) -> float:
        """Return the time of the next end, expiry or usage report."""
        return min(
            self.end_at_s(), self.lease_expires_at_s, self.usage_report_at_s
        )

    def advance(self, now_s: float) -> None:
        """Update the progress up to now."""
        elapsed_ms = (now_s - self.progress_at_s) * _MS_PER_S
        self.progress_ms += elapsed_ms * self._speed()
        self.progress_at_s = now_s

    def update_observed_usage(self, fleet_factor: float | None) -> bool:
        """Update the observed usage; tell whether it changed."""
        self.usage_report_at_s = math.inf
        factor = fleet_factor or self.hints.use_factor or 1
        if self.is_throttled:
            factor = min(factor, 1)
        observed = _scaled(self.order.resources, factor)
        is_changed = observed != self.observed
        self.observed = observed
        return is_changed

    def end(self, phase: TaskPhase, now_s: float) -> None:
        """Move the task to a final phase."""
        self.phase = phase
        self.run_ms = round((now_s - self.started_at_s) * _MS_PER_S)
        if phase == TaskPhase.finished:
            self.output = ':'.join((self.order.task_id, self.hints.payload))

    def as_worker_task(self, now_s: float) -> WorkerTask:
        """Return the task in the format of inventories and events."""
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
            attempt=self.order.attempt,
        )

    def _speed(self) -> float:
        return _THROTTLED_SPEED if self.is_throttled else 1
