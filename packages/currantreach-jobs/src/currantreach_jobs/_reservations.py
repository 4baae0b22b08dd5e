"""Reservations of capacity for stages that wait for it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_jobs._borrowing import update_target
from currantreach_jobs._placement import max_fitting_count

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_jobs._capacity_forecast import (
        CapacityForecast,
        ForecastCalculator,
    )
    from currantreach_jobs._progress import Stage
    from currantreach_jobs._usage import WorkerState

__all__ = ('Reservations',)

# At most this share of the workers is reserved for waiting gangs.
_RESERVABLE_SHARE = 0.5
# Each scheduling round renews the reservations; the interval between rounds is
# shorter than this.
_RESERVATION_S = 0.3
# A gang without a forecast goes over the expected ends of all runs, so it does
# so less often than it searches.
_FORECAST_PAUSE_S = 0.25


class Reservations:
    """Reserves workers on which capacity becomes free soonest.

    Otherwise smaller tasks take all capacity as soon as it becomes free, and a
    large gang never starts on a full fleet.
    """

    def __init__(self, forecasts: ForecastCalculator) -> None:
        """Create reservations that follow the forecasts of capacity."""
        self._forecasts = forecasts
        self._reservable_count = 0

    def begin_round(self, worker_count: int) -> None:
        """Set how many workers may be reserved in a round."""
        self._reservable_count = round(_RESERVABLE_SHARE * worker_count)

    def forecast(
        self,
        stage: Stage,
        workers: Sequence[WorkerState],
        now_s: float,
        is_boosted: bool,
    ) -> CapacityForecast | None:
        """Return when and where a stage is expected to have capacity.

        :param workers: eligible workers.
        """
        stage.expected_start_s = 0
        max_workers = self._max_workers(workers, is_boosted)
        if max_workers <= 0:
            return None
        if now_s < stage.next_forecast_at_s and not is_boosted:
            return None
        reservable = _reservable(stage, workers, now_s, is_boosted)
        if not reservable:
            return None
        forecast = self._forecasts.forecast(
            stage, reservable, stage.min_start_count, max_workers, now_s
        )
        if forecast is None:
            stage.next_forecast_at_s = now_s + _FORECAST_PAUSE_S
        else:
            stage.expected_start_s = forecast.start_s
        return forecast

    def reserve(
        self,
        stage: Stage,
        workers: Sequence[WorkerState],
        forecast: CapacityForecast | None,
        now_s: float,
        is_boosted: bool,
    ) -> bool:
        """Reserve capacity that becomes free for a waiting stage.

        Without a forecast, the emptiest workers are reserved.

        :param workers: eligible workers.
        :returns: whether enough capacity is reserved.
        """
        if stage.job_progress.is_past_deadline(now_s) and not is_boosted:
            return False
        max_workers = self._max_workers(workers, is_boosted)
        if max_workers <= 0:
            return False
        reserved_workers: Sequence[WorkerState]
        if forecast is None:
            reserved_workers = _emptiest(
                stage,
                _reservable(stage, workers, now_s, is_boosted),
                max_workers,
            )
        else:
            reserved_workers = forecast.workers
        if not reserved_workers:
            return False
        self._reservable_count -= len(reserved_workers)
        start_s = forecast.start_s if forecast else 0
        target_s = update_target(stage, start_s, now_s)
        for worker in reserved_workers:
            worker.reserved_by = stage
            worker.reserved_until_s = now_s + _RESERVATION_S
            worker.reserved_start_s = start_s
            worker.reserved_target_s = target_s
            # On a busy fleet nothing may delay a boosted stage, whose wait is
            # bounded.
            worker.is_reserved_strictly = is_boosted
        return True

    def _max_workers(
        self, workers: Sequence[WorkerState], is_boosted: bool
    ) -> int:
        return len(workers) if is_boosted else self._reservable_count


def _reservable(
    stage: Stage,
    workers: Sequence[WorkerState],
    now_s: float,
    is_boosted: bool,
) -> list[WorkerState]:
    """Return the workers that may be reserved for a stage."""
    if stage.job_progress.job.queue.advice is not None:
        workers = [
            worker
            for worker in workers
            if stage.allowed.get(worker.report.worker_id, False)
        ]
    if is_boosted:
        return list(workers)
    return [
        worker
        for worker in workers
        if not worker.is_reserved_for_other(stage, now_s)
    ]


def _emptiest(
    stage: Stage,
    workers: Sequence[WorkerState],
    max_workers: int,
) -> list[WorkerState]:
    """Return the emptiest workers that fit a stage, none if too few do."""
    missing_count = stage.min_start_count
    chosen: list[WorkerState] = []
    for worker in sorted(workers, key=_reservation_rank):
        if missing_count <= 0 or len(chosen) >= max_workers:
            break
        count = max_fitting_count(stage, worker)
        if count:
            chosen.append(worker)
            missing_count -= count
    return [] if missing_count > 0 else chosen


def _reservation_rank(worker: WorkerState) -> tuple[bool, int]:
    return worker.is_cold, -worker.free.cpu_milli
