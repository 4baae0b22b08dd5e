"""Measure by which tasks are packed on workers (best fit)."""

from __future__ import annotations

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantreach_jobs._usage import WorkerState

__all__ = ('FreeShare', 'choose_free_share', 'free_cpu', 'free_memory')

FreeShare = Callable[['WorkerState'], int]


def free_cpu(worker: WorkerState) -> int:
    """Return the free processor time of a worker."""
    return worker.free.cpu_milli


def free_memory(worker: WorkerState) -> int:
    """Return the free memory of a worker."""
    return worker.free.memory_mib


def choose_free_share(workers: Collection[WorkerState]) -> FreeShare:
    """Return the measure of the resource that is scarcer on the fleet.

    With best fit by cores alone on a fleet whose memory runs out first, cores
    stay free on workers without memory for any task.
    """
    cpu_milli, free_cpu_milli = 0, 0
    memory_mib, free_memory_mib = 0, 0
    for worker in workers:
        room, free = worker.report.room, worker.free
        cpu_milli += room.cpu_milli
        memory_mib += room.memory_mib
        free_cpu_milli += free.cpu_milli
        free_memory_mib += free.memory_mib
    if free_memory_mib * cpu_milli < free_cpu_milli * memory_mib:
        return free_memory
    return free_cpu
