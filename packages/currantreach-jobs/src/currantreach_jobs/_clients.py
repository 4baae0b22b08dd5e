"""Interfaces to workers, the placement service and the configuration."""

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
    'AdviceClient',
    'ConfigSource',
    'DaemonDependencies',
    'RunClient',
    'WorkerDirectory',
)


class RunClient(abc.ABC):
    """Calls to one worker.

    Every method raises
    :class:`~currantreach_types.errors.WorkerUnavailableError` if the call
    certainly had no effect and
    :class:`~currantreach_types.errors.OutcomeUnknownError` if its effect is not
    known; it may then also take effect later.

    A worker may restart under its id and address at any time. The new process
    has another clock, other numbers of ends and no fencing token, and nothing
    in a call tells it that the call was meant for the former one. Starts,
    deadlines and acknowledgements are therefore for one process, and reach no
    later one: they may only be sent on a connection on which that process has
    answered, as its connections end with it.
    """

    @abc.abstractmethod
    async def start(self, order: StartOrder) -> StartAnswer:
        """Start a run; this is idempotent while the run exists.

        If another process than that of the order answers, the order is not sent
        and the answer is ``OTHER_PROCESS``.
        """

    @abc.abstractmethod
    async def stop(self, task: TaskKey, attempt: int, token: int) -> bool:
        """Stop a run, or prevent it if its start has not arrived yet.

        :param token: fencing token of the leader.
        :returns: whether the worker accepts the fencing token.
        """

    @abc.abstractmethod
    async def pace(
        self, task: TaskKey, attempt: int, percent: int, token: int
    ) -> bool:
        """Set which share of its processor time a run may use.

        A run starts with its full share, 100.

        :param token: fencing token of the leader.
        :returns: whether the worker accepts the fencing token.
        """

    @abc.abstractmethod
    async def hold(
        self,
        token: int,
        acked_through: int,
        worker_deadline_ms: int,
        wait_s: float,
    ) -> HoldReply:
        """Renew the lease of all runs and read the lists of the worker.

        A deadline and an acknowledgement are for the process whose lists the
        last call returned. If another process answers, neither is sent, and its
        lists are returned.

        :param token: fencing token of the leader.
        :param acked_through: number up to which ends are acknowledged.
        :param worker_deadline_ms: new end of the lease on the clock of the
            worker, 0 to leave it as it is.
        :param wait_s: how long the worker may delay its reply until a run
            ends.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class AdviceClient(abc.ABC):
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
        """Return tickets for the workers that may run a step.

        :raises PlatformError: if the service refuses or does not answer.
        """

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class WorkerDirectory(abc.ABC):
    """The platform's list of workers, which the leader follows."""

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
        """Return the newest valid version, ``None`` before the first."""

    @property
    @abc.abstractmethod
    def last_answer_at_s(self) -> float:
        """Return the time of the last answer of the operator's store."""

    @property
    def evacuated_domains(self) -> frozenset[str]:
        """Return the failure domains in which nothing may be started.

        A domain stays evacuated until the operator's store shows that it no
        longer is; a failed call to the store changes nothing.
        """
        return frozenset()

    @property
    def evacuations_read_at_s(self) -> float:
        """Return a time at which the evacuated domains were complete."""
        return self.last_answer_at_s

    @abc.abstractmethod
    async def follow(self) -> None:
        """Follow the configuration until the task is cancelled."""


@attrs.frozen(slots=True, kw_only=True)
class DaemonDependencies:
    """Services outside the daemon that it depends on.

    :ivar store: the transactional store of the platform.
    :ivar directory: the list of workers.
    :ivar source: the configuration.
    :ivar advice: the placement service.
    :ivar make_run_client: opens the connections to one worker.
    :ivar metrics: counters and histograms of this process.
    """

    store: TransactionalStore
    directory: WorkerDirectory
    source: ConfigSource
    advice: AdviceClient
    make_run_client: Callable[[WorkerReport], RunClient]
    metrics: Metrics = attrs.field(factory=Metrics)
