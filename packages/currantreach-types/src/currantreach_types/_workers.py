"""Messages to and from workers."""

from __future__ import annotations

import enum

import attrs

from currantreach_types._resources import Resources

__all__ = (
    'HostState',
    'Inventory',
    'StartOrder',
    'StartOutcome',
    'StartResult',
    'TaskPhase',
    'WorkerEvents',
    'WorkerInfo',
    'WorkerTask',
)


class HostState(enum.StrEnum):
    """States of the platform's host list."""

    live = 'live'
    leaving = 'leaving'


class TaskPhase(enum.StrEnum):
    """Phases of a task on a worker."""

    running = 'running'
    finished = 'finished'
    failed = 'failed'
    stopped = 'stopped'
    expired = 'expired'


class StartOutcome(enum.StrEnum):
    """Outcome of a start order on a worker."""

    started = 'started'
    known = 'known'
    stale_epoch = 'stale_epoch'
    too_late = 'too_late'
    other_boot = 'other_boot'
    no_room = 'no_room'


@attrs.frozen(slots=True, kw_only=True)
class WorkerInfo:
    """Entry of the host list.

    :ivar name: name of the worker.
    :ivar failure_domain: its failure domain.
    :ivar rack: its rack.
    :ivar url: base address of its API, ``http://<ip>:<port>``.
    :ivar capacity: its total resources.
    :ivar state: whether it is live or leaving.
    :ivar labels: labels that constraints can ask for.
    """

    name: str
    failure_domain: str
    rack: str
    url: str
    capacity: Resources
    state: HostState = HostState.live
    labels: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen(slots=True, kw_only=True)
class StartOrder:
    """Order to start one task.

    :ivar task_id: id of the task.
    :ivar epoch: epoch of the owner.
    :ivar start_by_ms: latest start on the worker's clock.
    :ivar resources: resources to reserve.
    :ivar lease_ms: task lease; the task stops if it is not renewed.
    :ivar run_ms: simulated run time on a stand-in worker.
    :ivar spec_json: encoded request, returned in the inventory.
    :ivar boot_id: boot id of the worker that may start it, empty for any.
        ``start_by_ms`` is a reading of the clock of that process.
    :ivar attempt: number of the run, which the worker reports with the task. A
        later run of the same task has a higher one.
    """

    task_id: str
    epoch: int
    start_by_ms: int
    resources: Resources
    lease_ms: int
    run_ms: int
    spec_json: str = ''
    boot_id: str = ''
    attempt: int = 0


@attrs.frozen(slots=True, kw_only=True)
class StartResult:
    """Outcome of one start order."""

    task_id: str
    outcome: StartOutcome


@attrs.frozen(slots=True, kw_only=True)
class WorkerTask:
    """A running task, or an ended one that its worker must still keep.

    :ivar task_id: id of the task.
    :ivar epoch: epoch under which it was started.
    :ivar phase: its phase.
    :ivar resources: resources reserved for it.
    :ivar observed: last measured usage, which lags behind.
    :ivar output: output of a finished task.
    :ivar run_ms: milliseconds that it has run so far, or in total.
    :ivar spec_json: encoded request that came with the start order.
    :ivar attempt: number of its run in the start order, 0 if the worker does
        not report it.
    """

    task_id: str
    epoch: int
    phase: TaskPhase
    resources: Resources
    observed: Resources = Resources()
    output: str = ''
    run_ms: int = 0
    spec_json: str = ''
    attempt: int = 0


@attrs.frozen(slots=True, kw_only=True)
class Inventory:
    """All tasks of a worker.

    :ivar worker: name of the worker.
    :ivar epoch: highest epoch that the worker has seen.
    :ivar clock_ms: the worker's monotonic clock.
    :ivar boot_id: changes when the worker restarts.
    :ivar sequence: number of the worker's last event.
    :ivar tasks: running and ended tasks.
    """

    worker: str
    epoch: int
    clock_ms: int
    boot_id: str
    sequence: int
    tasks: tuple[WorkerTask, ...] = ()


@attrs.frozen(slots=True, kw_only=True)
class WorkerEvents:
    """Changes of a worker's tasks after a sequence number.

    :ivar clock_ms: the worker's monotonic clock.
    :ivar boot_id: changes when the worker restarts.
    :ivar sequence: number of the last event included.
    :ivar tasks: tasks that changed.
    """

    clock_ms: int
    boot_id: str
    sequence: int
    tasks: tuple[WorkerTask, ...] = ()
