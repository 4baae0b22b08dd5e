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

# Callers choose the names of workloads, and each label value takes memory.
_MAX_WORKLOAD_LABELS = 50
_WAIT_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.3, 5, 30, 300)
# The scheduler waits 7 to 17 s for a lost worker.
_SILENCE_BUCKETS_S = (2, 5, 7, 8, 10, 12, 15, 20, 30, 60)
_DECISION_BUCKETS_S = (0.0001, 0.0005, 0.001, 0.002, 0.005, 0.02, 0.1)
# Noise alone makes runs differ by a quarter, and a slow worker by 5 to 8 times.
_RATIO_BUCKETS = (0.2, 0.4, 0.6, 0.8, 1, 1.25, 1.7, 2.5, 5, 10)


class Metrics:
    """Metrics of one daemon."""

    def __init__(self) -> None:
        """Create the instruments."""
        self._workloads: set[str] = set()
        self._registry = CollectorRegistry()
        reader = PrometheusMetricReader(registry=self._registry)
        provider = MeterProvider(
            [reader],
            views=[
                _histogram_view('currantreach_wait_seconds', _WAIT_BUCKETS_S),
                _histogram_view('currantreach_call_seconds', _WAIT_BUCKETS_S),
                _histogram_view(
                    'currantreach_silence_seconds',
                    _SILENCE_BUCKETS_S,
                ),
                _histogram_view(
                    'currantreach_decision_seconds',
                    _DECISION_BUCKETS_S,
                ),
                _histogram_view('currantreach_duration_ratio', _RATIO_BUCKETS),
            ],
            shutdown_on_exit=False,
        )
        self._meter = provider.get_meter('currantreach')
        self._refusals = self._meter.create_counter('currantreach_refusals')
        self._retries = self._meter.create_counter('currantreach_retries')
        self._request_ends = self._meter.create_counter(
            'currantreach_request_ends'
        )
        self._waits = self._meter.create_histogram('currantreach_wait_seconds')
        self._calls = self._meter.create_histogram('currantreach_call_seconds')
        self._silences = self._meter.create_histogram(
            'currantreach_silence_seconds',
        )
        self._decisions = self._meter.create_histogram(
            'currantreach_decision_seconds',
        )
        self._duration_ratios = self._meter.create_histogram(
            'currantreach_duration_ratio',
        )

    def record_refusal(self, reason: str) -> None:
        """Count a rejected request."""
        self._refusals.add(1, {'reason': reason})

    def record_retry(self, reason: str) -> None:
        """Count a retry."""
        self._retries.add(1, {'reason': reason})

    def record_request_end(self, workload: str, state: str) -> None:
        """Count the end of a request."""
        label = self._workload_label(workload)
        self._request_ends.add(1, {'workload': label, 'state': state})

    def record_wait(self, workload: str, waited_s: float) -> None:
        """Record how long a request waited in its queue."""
        self._waits.record(
            waited_s, {'workload': self._workload_label(workload)}
        )

    def record_call(self, method: str, status: int, duration_s: float) -> None:
        """Record the duration of an HTTP request of a caller."""
        labels = {'method': method, 'status': str(status)}
        self._calls.record(duration_s, labels)

    def record_worker_silence(self, silence_s: float) -> None:
        """Record how long tasks of an unresponsive worker were delayed."""
        self._silences.record(silence_s)

    def record_decision_round(self, duration_s: float) -> None:
        """Record the duration of a scheduling round."""
        self._decisions.record(duration_s)

    def record_duration_ratio(self, queue: str, ratio: float) -> None:
        """Record the duration of a run divided by its estimate."""
        self._duration_ratios.record(
            ratio, {'queue': self._workload_label(queue)}
        )

    def add_gauge(
        self,
        name: str,
        read_values: Callable[[], Mapping[str, float]],
        label: str,
    ) -> None:
        """Register a gauge with one value per value of a label."""
        observe = functools.partial(_observe, read_values, label)
        self._meter.create_observable_gauge(name, [observe])

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return exposition.generate_latest(self._registry)

    def _workload_label(self, workload: str) -> str:
        if len(self._workloads) < _MAX_WORKLOAD_LABELS:
            self._workloads.add(workload)
        return workload if workload in self._workloads else 'other'


def _observe(
    read_values: Callable[[], Mapping[str, float]],
    label: str,
    _options: object,
) -> Iterable[Observation]:
    return [
        Observation(amount, {label: key})
        for key, amount in read_values().items()
    ]


def _histogram_view(name: str, buckets: tuple[float, ...]) -> View:
    return View(
        instrument_name=name,
        aggregation=ExplicitBucketHistogramAggregation(buckets),
    )
