"""Counters, gauges and histograms of a daemon."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import (
    ExplicitBucketHistogramAggregation,
    View,
)
from prometheus_client import CollectorRegistry, exposition

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

__all__ = ('Metrics',)

# Callers choose the names of workloads, and each label takes memory.
_WORKLOAD_LIMIT = 50
_WAIT_BOUNDS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.3, 5, 30, 300)
# A worker that is lost is waited for during 7 to 17 s.
_SILENCE_BOUNDS_S = (2, 5, 7, 8, 10, 12, 15, 20, 30, 60)
_DECISION_BOUNDS_S = (0.0001, 0.0005, 0.001, 0.002, 0.005, 0.02, 0.1)


class Metrics:
    """Instruments of one daemon."""

    def __init__(self) -> None:
        """Create the instruments."""
        self._workloads: set[str] = set()
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        provider = MeterProvider(
            [reader],
            views=[
                _histogram_view('currantreach_wait_seconds', _WAIT_BOUNDS_S),
                _histogram_view('currantreach_call_seconds', _WAIT_BOUNDS_S),
                _histogram_view(
                    'currantreach_silence_seconds',
                    _SILENCE_BOUNDS_S,
                ),
                _histogram_view(
                    'currantreach_decision_seconds',
                    _DECISION_BOUNDS_S,
                ),
            ],
            shutdown_on_exit=False,
        )
        self._meter = provider.get_meter('currantreach')
        self._refusals = self._meter.create_counter('currantreach_refusals')
        self._retries = self._meter.create_counter('currantreach_retries')
        self._ends = self._meter.create_counter('currantreach_request_ends')
        self._waits = self._meter.create_histogram('currantreach_wait_seconds')
        self._calls = self._meter.create_histogram('currantreach_call_seconds')
        self._silences = self._meter.create_histogram(
            'currantreach_silence_seconds',
        )
        self._decisions = self._meter.create_histogram(
            'currantreach_decision_seconds',
        )

    def record_refusal(self, reason: str) -> None:
        """Count a refusal."""
        self._refusals.add(1, {'reason': reason})

    def record_retry(self, reason: str) -> None:
        """Count a retry."""
        self._retries.add(1, {'reason': reason})

    def record_request_end(self, workload: str, state: str) -> None:
        """Count the end of a request."""
        label = self._label_of(workload)
        self._ends.add(1, {'workload': label, 'state': state})

    def record_wait(self, workload: str, waited_s: float) -> None:
        """Record the waiting time of a request."""
        self._waits.record(waited_s, {'workload': self._label_of(workload)})

    def record_call(self, method: str, status: int, took_s: float) -> None:
        """Record the duration of a caller's request."""
        labels = {'method': method, 'status': str(status)}
        self._calls.record(took_s, labels)

    def record_worker_silence(self, silent_s: float) -> None:
        """Record how long the tasks of a silent worker were held back."""
        self._silences.record(silent_s)

    def record_decision_round(self, round_s: float) -> None:
        """Record the duration of one round of decisions."""
        self._decisions.record(round_s)

    def add_gauge(
        self,
        name: str,
        read: Callable[[], Mapping[str, float]],
        label: str,
    ) -> None:
        """Register a gauge with one value for each value of a label."""
        observe = functools.partial(_observe, read, label)
        self._meter.create_observable_gauge(name, [observe])

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return exposition.generate_latest(self._registry)

    def _label_of(self, workload: str) -> str:
        if len(self._workloads) < _WORKLOAD_LIMIT:
            self._workloads.add(workload)
        return workload if workload in self._workloads else 'other'


def _observe(
    read: Callable[[], Mapping[str, float]],
    label: str,
    _options: object,
) -> Iterable[Observation]:
    return [Observation(amount, {label: key}) for key, amount in read().items()]


def _histogram_view(name: str, bounds: tuple[float, ...]) -> View:
    return View(
        instrument_name=name,
        aggregation=ExplicitBucketHistogramAggregation(bounds),
    )
