"""Order in which waiting stages are started."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantreach_jobs._progress import Stage

__all__ = ('is_first', 'urgency_key')


def urgency_key(
    stage: Stage,
    now_s: float,
) -> tuple[bool, bool, bool, bool, float]:
    """Return a sort key of stages; the most urgent one comes first.

    Among jobs of one priority those that can still meet their objective come
    before those that are late and of little use to their callers. With an
    order by the earliest due time alone, one late job after another would
    delay all others.

    Late prompt jobs come before all other work. When they waited for work that
    would become late as well, those that a change of the leader had delayed
    failed instead of being late.
    """
    progress = stage.job_progress
    latest_start_s = stage.latest_start_s()
    return (
        progress.is_past_deadline(now_s),
        progress.is_over_share,
        progress.job.queue.priority > 0,
        now_s > latest_start_s,
        latest_start_s,
    )


def is_first(stage: Stage, now_s: float) -> bool:
    """Tell whether a stage precedes the stages of all other queues."""
    progress = stage.job_progress
    if progress.is_past_deadline(now_s) or progress.is_over_share:
        return False
    return not progress.job.queue.priority
