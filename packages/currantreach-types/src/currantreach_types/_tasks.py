"""Requests, their tasks and the answers to them."""

from __future__ import annotations

import enum

import attrs

from currantreach_types._resources import Resources

__all__ = (
    'Answer',
    'PolicyKind',
    'RequestState',
    'TaskSpec',
    'task_id',
)


class PolicyKind(enum.StrEnum):
    """Kinds of queue policies."""

    prompt = 'prompt'
    batch = 'batch'
    gang = 'gang'
    service = 'service'


class RequestState(enum.StrEnum):
    """States of a request that callers see."""

    accepted = 'accepted'
    running = 'running'
    finished = 'finished'
    failed = 'failed'
    not_run = 'not_run'
    unknown = 'unknown'

    @property
    def is_final(self) -> bool:
        """Tell whether the state can no longer change."""
        return self in {
            RequestState.finished,
            RequestState.failed,
            RequestState.not_run,
            RequestState.unknown,
        }


@attrs.frozen(slots=True, kw_only=True)
class TaskSpec:
    """One request, as the schedulers and the journal use it.

    :ivar request_id: id of the request.
    :ivar team: team that the request is charged to.
    :ivar queue: name of the queue.
    :ivar workload: kind of job, for example ``crew-lookup``.
    :ivar policy: policy of the queue.
    :ivar resources: resources that each task requests.
    :ivar gang_size: number of tasks, all of which start together.
    :ivar is_unrepeatable: whether it must not run more than once.
    :ivar is_urgent: whether it precedes other requests of its policy.
    :ivar expected_run_s: declared run time in seconds.
    :ivar deadline_s: latest start in seconds after submission, if any.
    :ivar constraints: labels that a worker must have.
    :ivar payload: text passed to the worker.
    """

    request_id: str
    team: str
    queue: str
    workload: str
    policy: PolicyKind
    resources: Resources
    gang_size: int = 1
    is_unrepeatable: bool = False
    is_urgent: bool = False
    expected_run_s: float = 1
    deadline_s: float | None = None
    constraints: dict[str, str] = attrs.field(factory=dict)
    payload: str = ''


@attrs.frozen(slots=True, kw_only=True)
class Answer:
    """Reply to a caller about its request.

    :ivar request_id: id of the request.
    :ivar state: state of the request.
    :ivar output: complete output of each task of a finished request.
    :ivar reason: reason of a refusal or failure.
    :ivar remedy: what the caller can do.
    :ivar can_retry: whether the same request can succeed later.
    :ivar retry_after_s: seconds to wait before a retry.
    :ivar waited_s: seconds from submission to the start, once started.
    """

    request_id: str
    state: RequestState
    output: tuple[str, ...] = ()
    reason: str = ''
    remedy: str = ''
    can_retry: bool = False
    retry_after_s: float = 0
    waited_s: float | None = None


def task_id(request_id: str, index: int) -> str:
    """Return the id of the task with this index of a request."""
    return f'{request_id}/{index}'
