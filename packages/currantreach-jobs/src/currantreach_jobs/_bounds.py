"""Bounds of jobs, stored records and messages of peers.

Whatever wrote a record, its numbers are within these bounds once it is
decoded. Values outside them would exhaust the memory, make a round of
decisions fail or be impossible to store.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

from currantreach_types.errors import MalformedMessageError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from currantreach_jobs._model import Job

__all__ = (
    'MAX_INTEGER',
    'MAX_OCCURRENCES',
    'MAX_STEPS',
    'MAX_TASKS',
    'amount',
    'check_attempts',
    'check_job',
    'check_times',
)

MAX_TASKS: Final = 20000
MAX_STEPS: Final = 1000
MAX_OCCURRENCES: Final = 1000
# Numbers of attempts, times and amounts; an attempt number is counted up and
# stored in 64 bits.
MAX_INTEGER: Final = 9_007_199_254_740_991

#: Validator of a duration or a delay in a record or message, in seconds.
amount = attrs.validators.and_(
    attrs.validators.ge(0),
    attrs.validators.le(MAX_INTEGER),
)


def check_job(job: Job) -> Job:
    """Return a job whose steps and occurrences are within the bounds.

    :raises MalformedMessageError: if they are not.
    """
    task_count = sum(step.task_count for step in job.steps)
    counts = (
        (len(job.steps), MAX_STEPS, 'steps'),
        (job.occurrence_count, MAX_OCCURRENCES, 'occurrences'),
        (task_count * max(1, job.occurrence_count), MAX_TASKS, 'tasks'),
    )
    for count, most, name in counts:
        if not 0 <= count <= most:
            raise MalformedMessageError(
                f'{count} {name}, at most {most}; split the job'
            )
    for number, step in enumerate(job.steps):
        is_ordered = all(0 <= early < number for early in step.after)
        if step.task_count < 1 or not is_ordered:
            raise MalformedMessageError(
                f'step {number} has no task or depends on a step that does '
                'not precede it; correct it'
            )
        check_times((step.estimate_s,), f'the estimate of step {number}')
    check_times(
        (job.accepted_unix_ms, job.first_run_unix_ms, job.interval_ms),
        'a time of the job',
    )
    return job


def check_times(found: Iterable[float], name: str) -> None:
    """Check that times or durations are finite and not negative.

    :raises MalformedMessageError: if one is not.
    """
    for time in found:
        if not math.isfinite(time) or not 0 <= time <= MAX_INTEGER:
            raise MalformedMessageError(
                f'{name} is {time}, not from 0 to {MAX_INTEGER}; correct it'
            )


def check_attempts(found: Iterable[int]) -> None:
    """Check that numbers of attempts can be counted up and stored.

    :raises MalformedMessageError: if one is not.
    """
    for number in found:
        if not 0 <= number <= MAX_INTEGER:
            raise MalformedMessageError(
                f'{number} is no number of an attempt; correct the record'
            )
