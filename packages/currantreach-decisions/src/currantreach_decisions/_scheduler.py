"""Interface of the schedulers."""

from __future__ import annotations

import abc
import enum
from typing import TYPE_CHECKING

import attrs

from currantreach_types import Refusal, Resources, TaskSpec, WorkerInfo

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

__all__ = (
    'Decisions',
    'Placement',
    'Preemption',
    'Scheduler',
    'TaskEnd',
    'TeamQuota',
)


class TaskEnd(enum.StrEnum):
    """Ways in which a placed task ends and releases its resources."""

    finished = 'finished'
    failed = 'failed'
    not_started = 'not_started'
    lost = 'lost'
    checkpointed = 'checkpointed'


@attrs.frozen(slots=True, kw_only=True)
class TeamQuota:
    """Quota of a team in this partition.

    :ivar share: weight of the team when the fleet is full, above zero.
    :ivar allotment: part of the team's upper limit that this partition may
        use.
    """

    share: float
    allotment: Resources


@attrs.frozen(slots=True, kw_only=True)
class Placement:
    """Allocation of resources on a worker to one task.

    :ivar task_id: id of the task.
    :ivar spec: the request that it belongs to.
    :ivar worker: name of the worker.
    :ivar resources: allocated resources, at least the declared ones.
    :ivar attempt: number of the run that the task belongs to, 0 if it is not
        known. All tasks of a gang share it, and a later run of the same
        request has a higher one.
    """

    task_id: str
    spec: TaskSpec
    worker: str
    resources: Resources
    attempt: int = 0


@attrs.frozen(slots=True, kw_only=True)
class Preemption:
    """Running task to checkpoint so that others get their share."""

    task_id: str
    worker: str


@attrs.frozen(slots=True, kw_only=True)
class Decisions:
    """Result of one round.

    :ivar placements: tasks to start; those of one gang come together.
    :ivar refused: request ids that left the queue, with the reason.
    :ivar preemptions: running tasks to checkpoint.
    """

    placements: tuple[Placement, ...] = ()
    refused: tuple[tuple[str, Refusal], ...] = ()
    preemptions: tuple[Preemption, ...] = ()


class Scheduler(abc.ABC):
    """Queue and resources of one partition.

    All calls come from one asyncio task; none of them blocks. ``now_s`` is
    monotonic time in seconds.
    """

    @abc.abstractmethod
    def set_teams(self, teams: Mapping[str, TeamQuota]) -> None:
        """Replace the quotas of all teams."""

    @abc.abstractmethod
    def set_worker(self, worker: WorkerInfo, *, is_admitted: bool) -> None:
        """Add or update a worker; a closed one receives no new tasks."""

    @abc.abstractmethod
    def remove_worker(self, name: str) -> tuple[str, ...]:
        """Remove a worker and return the ids of the tasks placed on it.

        The tasks still count for their team until :meth:`end_task`.
        """

    @abc.abstractmethod
    def submit(self, spec: TaskSpec, now_s: float) -> Refusal | None:
        """Queue a request, or return why it is refused."""

    @abc.abstractmethod
    def recover(self, placement: Placement, now_s: float) -> None:
        """Account for a task that already runs on a worker."""

    @abc.abstractmethod
    def cancel(self, request_ids: Sequence[str]) -> tuple[str, ...]:
        """Remove waiting requests and return the ids that were waiting."""

    @abc.abstractmethod
    def decide(self, now_s: float) -> Decisions:
        """Allocate free resources to waiting tasks.

        :returns: the placements, refusals and preemptions of one round.
        """

    @abc.abstractmethod
    def end_task(self, task_id: str, end: TaskEnd, now_s: float) -> None:
        """Release the resources of a task.

        A task that was ``not_started``, ``lost`` or ``checkpointed`` is not
        requeued automatically; the owner submits its request again.
        """

    @abc.abstractmethod
    def observe(
        self,
        task_id: str,
        observed: Resources,
        now_s: float,
    ) -> None:
        """Record a usage report of a running task, which may be delayed."""

    @abc.abstractmethod
    def usage(self) -> Mapping[str, Resources]:
        """Return the resources allocated to each team."""

    @abc.abstractmethod
    def demand(self) -> Mapping[str, Resources]:
        """Return the resources that each team's waiting requests ask for."""

    @abc.abstractmethod
    def explain(self, request_id: str, now_s: float) -> str:
        """Describe the constraint that keeps a request waiting."""

    @abc.abstractmethod
    def waiting_count(self) -> int:
        """Return the number of waiting requests."""
