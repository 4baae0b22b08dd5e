"""Request and response bodies of the HTTP interface for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from currantreach_types import Answer, PolicyKind, Resources, TaskSpec
from currantreach_types.errors import MalformedMessageError

if TYPE_CHECKING:
    from currantreach_daemon._admission import AdmittedSubmission

__all__ = (
    'AnswersBody',
    'CancelBody',
    'IdAnswer',
    'IdBody',
    'SubmitBody',
    'check_amounts',
    'task_spec',
)


_MAX_DURATION_S = 31536000
_WORKLOAD_LIMIT = 100


@attrs.frozen(slots=True, kw_only=True)
class IdBody:
    """Body of a call for a request id."""

    queue: str = ''
    resources: Resources = Resources(slot_count=1)
    passed_over: tuple[str, ...] = ()


@attrs.frozen(slots=True, kw_only=True)
class IdAnswer:
    """A new request id."""

    request_id: str


@attrs.frozen(slots=True, kw_only=True)
class SubmitBody:
    """Body of a submission; the fields are those of a task spec.

    :ivar is_unrepeatable: by default, prompt requests are unrepeatable, since
        a duplicate answer misleads the person who waits for it.
    :ivar attempt: 1 for the first submission of this request id; only the
        owner of the id answers that a later attempt was not run.
    """

    queue: str
    workload: str
    request_id: str = ''
    team: str = ''
    resources: Resources = Resources(slot_count=1)
    gang_size: int = 1
    is_unrepeatable: bool | None = None
    is_urgent: bool = False
    expected_run_s: float = 1
    deadline_s: float | None = None
    constraints: dict[str, str] = attrs.field(factory=dict)
    payload: str = ''
    attempt: int = 1


@attrs.frozen(slots=True, kw_only=True)
class CancelBody:
    """Body of a cancellation of many requests."""

    request_ids: tuple[str, ...]


@attrs.frozen(slots=True, kw_only=True)
class AnswersBody:
    """Answers of several requests."""

    requests: tuple[Answer, ...]


def check_amounts(body: SubmitBody) -> None:
    """Validate the amounts, times and label of a submission.

    :raises MalformedMessageError: if one of them is out of range.
    """
    amounts = attrs.astuple(body.resources)
    if any(amount < 0 for amount in amounts):
        raise MalformedMessageError('resources must not be negative')
    if body.resources.slot_count < 1:
        raise MalformedMessageError('resources.slot_count must be at least 1')
    if body.gang_size < 1:
        raise MalformedMessageError('gang_size must be at least 1')
    if body.attempt < 1:
        raise MalformedMessageError('attempt must be at least 1')
    _check_time('expected_run_s', body.expected_run_s)
    _check_time('deadline_s', body.deadline_s or 0)
    _check_workload(body.workload)


def _check_time(name: str, duration_s: float) -> None:
    if not 0 <= duration_s <= _MAX_DURATION_S:
        raise MalformedMessageError(f'{name} must be from 0 to a year')


def _check_workload(workload: str) -> None:
    """Reject workloads that are unsuitable for a metric label or a log line."""
    if len(workload) > _WORKLOAD_LIMIT or not workload.isprintable():
        raise MalformedMessageError(
            f'workload must be at most {_WORKLOAD_LIMIT} printable characters',
        )


def task_spec(
    body: SubmitBody,
    request_id: str,
    admitted: AdmittedSubmission,
) -> TaskSpec:
    """Return the task spec of an admitted submission."""
    policy = admitted.queue.policy
    is_unrepeatable = body.is_unrepeatable
    if is_unrepeatable is None:
        is_unrepeatable = policy == PolicyKind.prompt
    deadline_s = body.deadline_s
    if deadline_s is None:
        deadline_s = admitted.queue.default_deadline_s
    return TaskSpec(
        request_id=request_id,
        team=admitted.team.name,
        queue=admitted.queue.name,
        workload=body.workload,
        policy=policy,
        resources=body.resources,
        gang_size=body.gang_size,
        is_unrepeatable=is_unrepeatable,
        is_urgent=body.is_urgent,
        expected_run_s=body.expected_run_s,
        deadline_s=deadline_s,
        constraints=body.constraints,
        payload=body.payload,
    )
