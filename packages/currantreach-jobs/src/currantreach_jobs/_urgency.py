"""Order in which waiting stages are started."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantreach_jobs._progress import Stage

__all__ = ('Urgency', 'is_first', 'urgency_key')

# Work has slack if it can wait for longer than this. A heavy gang of the
# deployments with demanding workloads needs about this long on a full fleet:
# one or two calls of 0.6 s, and runs of 4 to 6 s that have to end first.
_SLACK_S = 8


class Urgency(enum.IntEnum):
    """Classes of waiting stages, the most urgent one first.

    On the deployments with demanding workloads, a core second of a prompt job
    that is on time is worth two to three times as much as one of a heavy or
    wide job, but a late job has lost four fifths of its value. So late prompt
    jobs wait for other work that would become late as well. They do not wait
    for work with slack, which loses nothing meanwhile. The classes of other
    work are in the order of its latest start.
    """

    PROMPT = 0
    TIGHT = 1
    LATE_PROMPT = 2
    SLACK = 3
    LATE = 4


def urgency_key(stage: Stage, now_s: float) -> tuple[bool, bool, int, float]:
    """Return a sort key of stages; the most urgent one comes first.

    Among jobs of one priority those that can still meet their objective come
    before those that are late and of little use to their callers. With an
    order by the earliest due time alone, one late job after another would
    delay all others.
    """
    progress = stage.job_progress
    latest_start_s = stage.latest_start_s()
    return (
        progress.is_past_deadline(now_s),
        progress.is_over_share,
        _urgency_of(stage, latest_start_s - now_s),
        latest_start_s,
    )


def is_first(stage: Stage, now_s: float) -> bool:
    """Tell whether a stage is of the class that precedes all others."""
    progress = stage.job_progress
    if progress.is_past_deadline(now_s) or progress.is_over_share:
        return False
    slack_s = stage.latest_start_s() - now_s
    return _urgency_of(stage, slack_s) is Urgency.PROMPT


def _urgency_of(stage: Stage, slack_s: float) -> Urgency:
    """Return the class of a stage.

    :param slack_s: how long it can wait without being late.
    """
    is_prompt = not stage.job_progress.job.queue.priority
    if slack_s < 0:
        return Urgency.LATE_PROMPT if is_prompt else Urgency.LATE
    if is_prompt:
        return Urgency.PROMPT
    return Urgency.SLACK if slack_s > _SLACK_S else Urgency.TIGHT
