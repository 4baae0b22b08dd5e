"""Interfaces to workers and to the placement service."""

from __future__ import annotations

import abc
from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs

from currantreach_jobs._model import (
    WorkerReport,
)
from currantreach_platform import TransactionalStore
from currantreach_telemetry import Metrics

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from currantreach_jobs._model import (
        HoldReply,
        SiteConfig,
        StartAnswer,
        StartOrder,
        TaskKey,
        Ticket,
    )

__all__ = (
    'ConfigSource',
    'DaemonDependencies',
    'PlacementClient',
    'RunClient',
    'WorkerDirectory',
)


class RunClient(abc.ABC):
    """Calls to one worker.

    Every method raises
    :class:`~currantreach_types.errors.WorkerUnavailableError` when the call
    certainly had no effect and
    :class:`~currantreach_types.errors.LostAnswerError` when its effect is
    not known; it may then also take effect later.
    """

    @abc.abstractmethod
    async def start(self, order: StartOrder) -> StartAnswer:
        """Start a run; starting a run that is there already succeeds."""

    @abc.abstractmethod
    async def stop(self, task: TaskKey, attempt: int, token: int) -> bool:
        """Stop a run, also one that is not there yet.

        :returns: whether the worker obeyed, false if it is fenced.
        """

    @abc.abstractmethod
    async def hold(
        self,
        token: int,
        acked_through: int,
        worker_deadline_ms: int,
        wait_s: float,
    ) -> HoldReply:
        """Extend the lease of all runs and read the lists of the worker.

        :param acked_through: number up to which ends may be forgotten.
        :param worker_deadline_ms: new end of the lease, 0 to keep the old.
        :param wait_s: how long the worker may wait for an end.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class PlacementClient(abc.ABC):
    """Calls to the placement service."""

    @abc.abstractmethod
    async def advise(
        self,
        job_id: str,
        occurrence: int,
        step: int,
        worker_ids: Sequence[str],
        timeout_s: float,
    ) -> tuple[Ticket, ...]:
        """Return tickets for those of the workers that may run a step.

        :raises PlatformError: if the service refuses or does not answer.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class WorkerDirectory(abc.ABC):
    """The platform's list of workers, followed by the deciding daemon."""

    @property
    @abc.abstractmethod
    def reports(self) -> Mapping[str, WorkerReport]:
        """Return the newest report of each listed worker."""

    @abc.abstractmethod
    async def changed(self) -> None:
        """Wait for the next change of the reports."""

    @abc.abstractmethod
    async def follow(self) -> None:
        """Follow the list until the task is cancelled."""


class ConfigSource(abc.ABC):
    """The operator's configuration, followed in the background."""

    @property
    @abc.abstractmethod
    def config(self) -> SiteConfig | None:
        """Return the newest readable version, nothing before the first."""

    @property
    @abc.abstractmethod
    def last_answer_at_s(self) -> float:
        """Return when the operator's store last answered."""

    @abc.abstractmethod
    async def follow(self) -> None:
        """Follow the configuration until the task is cancelled."""


@attrs.frozen(slots=True, kw_only=True)
class DaemonDependencies:
    """Everything outside the daemon.

    :ivar make_run_client: opens the connections to one worker.
    :ivar metrics: counters and histograms of this process.
    """

    store: TransactionalStore
    directory: WorkerDirectory
    source: ConfigSource
    advice: PlacementClient
    make_run_client: Callable[[WorkerReport], RunClient]
    metrics: Metrics = attrs.field(factory=Metrics)
