"""Data model of jobs, queues, teams, workers and the configuration."""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence

import attrs

from currantreach_types import Resources

__all__ = (
    'AdviceConfig',
    'EndKind',
    'EndedRun',
    'HoldReply',
    'HttpLimits',
    'Job',
    'JobState',
    'Queue',
    'RunningRun',
    'SiteConfig',
    'StartAnswer',
    'StartOrder',
    'Step',
    'TaskKey',
    'Team',
    'Ticket',
    'WorkerReport',
)


class JobState(enum.StrEnum):
    """States of a job as shown to callers."""

    QUEUED = 'queued'
    RUNNING = 'running'
    COMPLETE = 'complete'
    FAILED = 'failed'
    CANCELLED = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Tell whether the state never changes again."""
        return self not in {JobState.QUEUED, JobState.RUNNING}


class EndKind(enum.StrEnum):
    """Ways in which a run ends on a worker.

    Only ``FAILED`` counts against the attempts of a task; after all kinds but
    ``DONE`` and ``FAILED`` the task just runs again.

    :cvar DONE: the task is complete.
    :cvar FAILED: the run failed, by the fault of the task or of its worker.
    :cvar STOPPED: a stop request has ended it.
    :cvar LAPSED: its lease has expired.
    :cvar BROKEN: another member of its gang has ended; unknown kinds of ends
        are decoded as this one.
    :cvar ALONE: as a member of a gang, it waited too long for the others.
    """

    DONE = 'done'
    FAILED = 'failed'
    STOPPED = 'stopped'
    LAPSED = 'lapsed'
    BROKEN = 'broken'
    ALONE = 'alone'


class StartAnswer(enum.StrEnum):
    """Answers of a worker to a start.

    :cvar FENCED: the worker has obeyed a higher fencing token.
    :cvar SUPERSEDED: the attempt is not higher than one that was stopped or
        has ended there.
    :cvar LATE: the deadline of the lease has passed.
    :cvar NO_ROOM: its free resources do not suffice.
    :cvar BAD_TICKET: it did not accept the ticket of the placement service.
    :cvar UNHEALTHY: it cannot accept starts at present.
    :cvar WRONG_INSTANCE: the address belongs to another worker by now.
    :cvar OTHER_PROCESS: the worker has restarted, and the order was not sent to
        its new process.
    :cvar INVALID: it rejected the order for any other reason.
    """

    STARTED = 'started'
    FENCED = 'fenced'
    SUPERSEDED = 'superseded'
    LATE = 'late'
    NO_ROOM = 'no_room'
    BAD_TICKET = 'bad_ticket'
    UNHEALTHY = 'unhealthy'
    WRONG_INSTANCE = 'other_life'
    OTHER_PROCESS = 'other_process'
    INVALID = 'invalid'


@attrs.frozen(slots=True, kw_only=True)
class AdviceConfig:
    """Calls to the placement service of a queue: duration and validity.

    :ivar fixed_s: duration of a call without any worker.
    :ivar per_worker_s: additional duration for each queried worker.
    :ivar ticket_s: how long a ticket is valid.
    """

    fixed_s: float
    per_worker_s: float
    ticket_s: float


@attrs.frozen(slots=True, kw_only=True)
class Queue:
    """An endpoint for submitting jobs, and the policy for them.

    :ivar host: HTTP host of the queue.
    :ivar path_prefix: prefix of the paths of its jobs.
    :ivar service: service whose workers run its tasks.
    :ivar priority: 0 is the most urgent.
    :ivar max_attempts: failed runs of a task after which its job fails.
    :ivar stretch_factor: factor of the critical path in the objective.
    :ivar target_s: constant part of the objective.
    :ivar is_open: whether callers need no key.
    :ivar advice: calls to the placement service, if the queue has one.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 1
    max_attempts: int = 1
    stretch_factor: float = 1
    target_s: float = 1
    is_open: bool = False
    advice: AdviceConfig | None = None


@attrs.frozen(slots=True, kw_only=True)
class Team:
    """A team, its keys, its share and its limit.

    :ivar weight: share of the team in jobs a second, 0 for none.
    :ivar limit: resources that its running tasks may use; 0 is no limit.
    """

    name: str
    keys: frozenset[str] = frozenset()
    weight: int = 1
    limit: Resources = Resources()


@attrs.frozen(slots=True, kw_only=True)
class HttpLimits:
    """Limits of a caller's connection."""

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


@attrs.frozen(slots=True, kw_only=True)
class SiteConfig:
    """One version of the operator's configuration.

    :ivar team_of_key: names of the teams by their keys.
    :ivar capacity_enforcing_services: services whose workers refuse tasks that
        exceed their capacity.
    """

    version: int
    queues: tuple[Queue, ...] = ()
    teams: Mapping[str, Team] = attrs.field(factory=dict)
    team_of_key: Mapping[str, str] = attrs.field(factory=dict)
    capacity_enforcing_services: frozenset[str] = frozenset()
    http: HttpLimits = attrs.field(factory=HttpLimits)

    def queue_at(self, host: str, path: str) -> Queue | None:
        """Return the queue with the longest matching prefix."""
        best: Queue | None = None
        for queue in self.queues:
            if queue.host != host or not path.startswith(queue.path_prefix):
                continue
            if best is None or len(queue.path_prefix) > len(best.path_prefix):
                best = queue
        return best


@attrs.frozen(slots=True, kw_only=True)
class Step:
    """Identical tasks of a job.

    :ivar needed: resources that each task uses.
    :ivar estimate_s: estimated duration of a task.
    :ivar after: numbers of the steps that it depends on.
    :ivar is_gang: whether the tasks have to run at the same time.
    :ivar is_rack_local: whether the tasks run slower on more than one rack.
    :ivar required_label: label that the worker must have, if any.
    :ivar data_rack: rack of the input data, if any.
    :ivar max_per_worker: maximum number of tasks on a worker, 0 for none.
    :ivar is_speculative: whether copies of a task may run at the same time.
    :ivar is_lasting: whether the tasks run until the job is cancelled
        (services).
    :ivar is_filling: whether the tasks use idle processor time only
        (best effort).
    :ivar tail_target_ms: target of the tail response time of a service.
    :ivar max_unavailable: tasks that may be unavailable at the same time.
    """

    task_count: int
    needed: Resources
    estimate_s: float = 0
    after: tuple[int, ...] = ()
    is_gang: bool = False
    is_checkpointing: bool = False
    is_rack_local: bool = False
    required_label: str = ''
    data_rack: str = ''
    max_per_worker: int = 0
    is_speculative: bool = False
    is_lasting: bool = False
    is_filling: bool = False
    tail_target_ms: int = 0
    max_unavailable: int = 0
    image: str = ''


@attrs.frozen(slots=True, kw_only=True)
class Job:
    """A job as it was accepted.

    :ivar job_id: id that the caller chose.
    :ivar queue: the queue as it was when the job was accepted.
    :ivar payload: text of the caller that is passed to every task.
    :ivar accepted_unix_ms: time of day of the acceptance.
    :ivar occurrence_count: number of periodic occurrences, 0 for one run.
    :ivar first_run_unix_ms: due time of the first occurrence, 0 for none.
    :ivar interval_ms: time between two occurrences.
    """

    job_id: str
    queue: Queue
    team: str
    payload: str
    steps: tuple[Step, ...]
    accepted_unix_ms: int = 0
    occurrence_count: int = 0
    first_run_unix_ms: int = 0
    interval_ms: int = 0

    def critical_path_s(self, lengths_s: Sequence[float] = ()) -> float:
        """Return the expected duration of the critical path.

        :param lengths_s: duration of each step, instead of the estimates.
        """
        step_lengths_s = lengths_s or self._estimates_s()
        ends: list[float] = []
        for step, length_s in zip(self.steps, step_lengths_s, strict=True):
            before = max((ends[early] for early in step.after), default=0)
            ends.append(before + length_s)
        return max(ends, default=0)

    def remaining_path_s(self, lengths_s: Sequence[float] = ()) -> list[float]:
        """Return for each step the critical path from its start to the end.

        :param lengths_s: duration of each step, instead of the estimates.
        """
        step_lengths_s = lengths_s or self._estimates_s()
        remaining = list(step_lengths_s)
        for number in reversed(range(len(self.steps))):
            for early in self.steps[number].after:
                remaining[early] = max(
                    remaining[early],
                    step_lengths_s[early] + remaining[number],
                )
        return remaining

    def objective_s(self, lengths_s: Sequence[float] = ()) -> float:
        """Return the time in which the job should be complete.

        :param lengths_s: duration of each step, instead of the estimates.
        """
        return (
            self.queue.stretch_factor * self.critical_path_s(lengths_s)
            + self.queue.target_s
        )

    def _estimates_s(self) -> list[float]:
        return [step.estimate_s for step in self.steps]


@attrs.frozen(slots=True, cache_hash=True)
class TaskKey:
    """Identity of a task."""

    job_id: str
    occurrence: int
    step: int
    index: int


@attrs.frozen(slots=True, kw_only=True)
class WorkerReport:
    """Report of a worker about itself.

    :ivar is_draining: whether the worker is about to exit.
    :ivar room: resources of the worker for tasks.
    :ivar born_unix_ms: start time of the worker process.
    :ivar drain_remaining_s: minimum time until a draining worker exits.
    :ivar cold_remaining_s: how much longer the worker is slow after its start.
    """

    worker_id: str
    address: str
    service: str
    failure_domain: str
    is_draining: bool
    room: Resources
    labels: frozenset[str] = frozenset()
    born_unix_ms: int = 0
    drain_remaining_s: float = 0
    cold_remaining_s: float = 0


@attrs.frozen(slots=True, kw_only=True)
class Ticket:
    """Permission of the placement service to start a task on a worker."""

    worker_id: str
    code: str


@attrs.frozen(slots=True, kw_only=True)
class StartOrder:
    """Request to a worker to start a run.

    :ivar worker_deadline_ms: end of the lease on the worker's clock.
    :ivar born_unix_ms: start time of the worker process that the order is for,
        0 for any process.
    """

    task: TaskKey
    attempt: int
    payload: str
    worker_deadline_ms: int
    fencing_token: int
    born_unix_ms: int = 0
    checkpoint: str = ''
    ticket: str = ''


@attrs.frozen(slots=True, kw_only=True)
class RunningRun:
    """A run that a worker lists as running.

    :ivar recent_load: rough figure for the last half second: the tail response
        time in milliseconds for a service with a target, the processor time in
        use in milli-cores for any other task; 0 if it is not known.
    """

    task: TaskKey
    attempt: int
    checkpoint: str = ''
    percent: int = 0
    recent_load: float = 0


@attrs.frozen(slots=True, kw_only=True)
class EndedRun:
    """The end of a run that a worker lists until it is acknowledged.

    :ivar number: sequence number of the end on this worker process, from 1.
    """

    number: int
    task: TaskKey
    attempt: int
    kind: EndKind
    checkpoint: str = ''


@attrs.frozen(slots=True, kw_only=True)
class HoldReply:
    """Running and ended runs that a worker lists.

    :ivar clock_ms: reading of the worker's clock.
    :ivar born_unix_ms: start time of the worker process.
    :ivar is_fenced: whether the worker obeys a higher fencing token.
    :ivar is_partial: whether a run of this cell may be missing, because a row
        could not be read.
    """

    clock_ms: int
    born_unix_ms: int
    running: tuple[RunningRun, ...] = ()
    ended: tuple[EndedRun, ...] = ()
    is_fenced: bool = False
    is_partial: bool = False
