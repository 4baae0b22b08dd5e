"""Independent check of task events against the answers to callers.

It compares the logs of the worker stand-ins with the callers' records, and
uses no code of the scheduler.
"""

from __future__ import annotations

import collections
import json
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Collection, Iterable, Mapping, Sequence

    from testbed._caller import SentRequest

__all__ = ('Findings', 'check_logs')

# Key of the kind of a line in the log of a worker.
_EVENT = 'event'
# A failed run is retried at most twice.
_RUN_LIMIT = 3


@attrs.define(slots=True, kw_only=True)
class Findings:
    """Violated guarantees, each as one line of text.

    :ivar over_commits: tasks on a worker exceeded its capacity.
    :ivar doubled: a task ran on two workers at once, or an unrepeatable one
        ran twice.
    :ivar untruthful: a request that ran was answered as ``not_run``.
    :ivar lost: an accepted durable request got no final answer.
    :ivar incomplete: an output that lacks a part or is another request's.
    :ivar over_limit: the tasks of a team exceeded its upper limit.
    :ivar failed_early: a request failed by its tasks with retries left.
    """

    over_commits: list[str] = attrs.field(factory=list)
    doubled: list[str] = attrs.field(factory=list)
    untruthful: list[str] = attrs.field(factory=list)
    lost: list[str] = attrs.field(factory=list)
    incomplete: list[str] = attrs.field(factory=list)
    over_limit: list[str] = attrs.field(factory=list)
    failed_early: list[str] = attrs.field(factory=list)

    def all(self) -> list[str]:
        """Return all violations, prefixed with their kind."""
        return [
            f'{kind}: {line}'
            for kind, lines in attrs.asdict(self).items()
            for line in lines
        ]


def check_logs(
    paths: Iterable[pathlib.Path],
    sent: Sequence[SentRequest],
    upper_limits: Mapping[str, Mapping[str, int]],
    failed_workers: Collection[str] = (),
) -> Findings:
    """Check the logs of all workers against the records of the callers.

    :param sent: requests of all callers.
    :param upper_limits: upper limits by team and resource.
    :param failed_workers: workers that died or were frozen for longer than
        the task lease; an unrepeatable request that ran last on one of them
        may end as unknown, as may one whose start one of them received
        without an answer while it was frozen or dead.
    """
    logged = sorted(_read_logs(paths), key=lambda event: event['wall_s'])
    events = [event for event in logged if event[_EVENT] != 'held']
    findings = Findings()
    requests_by_id = {
        request.request_id: request for request in sent if request.request_id
    }
    _check_task_events(events, requests_by_id, findings)
    starts = collections.Counter(
        event['task_id'].rpartition('/')[0]
        for event in events
        if event[_EVENT] == 'start'
    )
    last_worker_of = {
        event['task_id'].rpartition('/')[0]: event['worker']
        for event in logged
        if event[_EVENT] in {'start', 'held'}
    }
    excused = {
        request_id
        for request_id, worker in last_worker_of.items()
        if worker in failed_workers
        and _is_unrepeatable(request_id, requests_by_id)
    }
    _check_answers(sent, starts, excused, findings)
    _check_upper_limits(events, requests_by_id, upper_limits, findings)
    _check_failures(events, sent, findings)
    return findings


def _read_logs(paths: Iterable[pathlib.Path]) -> list[dict[str, Any]]:
    return [
        json.loads(line)
        for path in paths
        for line in path.read_text().splitlines()
    ]


def _check_task_events(
    events: Sequence[Mapping[str, Any]],
    requests_by_id: Mapping[str, SentRequest],
    findings: Findings,
) -> None:
    running: dict[str, str] = {}
    started_unrepeatable: set[str] = set()
    for event in events:
        task_id = event['task_id']
        worker = event['worker']
        if event[_EVENT] == 'breach':
            findings.over_commits.append(f'{worker} {task_id}')
        elif event[_EVENT] == 'end':
            running.pop(task_id, None)
        else:
            if task_id in running or task_id in started_unrepeatable:
                findings.doubled.append(
                    f'{task_id} on {running.get(task_id)} and {worker}',
                )
            running[task_id] = worker
            if _is_unrepeatable(task_id.rpartition('/')[0], requests_by_id):
                started_unrepeatable.add(task_id)


def _is_unrepeatable(
    request_id: str, requests_by_id: Mapping[str, SentRequest]
) -> bool:
    request = requests_by_id.get(request_id)
    return request is not None and request.body.get('is_unrepeatable', False)


def _check_answers(
    requests: Sequence[SentRequest],
    starts: Mapping[str, int],
    excused: Collection[str],
    findings: Findings,
) -> None:
    for request in requests:
        if 'not_run' in request.states and starts.get(request.request_id, 0):
            findings.untruthful.append(request.request_id)
        if request.state == 'finished':
            _check_output(request, findings)
        elif _is_lost(request, excused):
            findings.lost.append(f'{request.request_id} {request.state}')


def _is_lost(request: SentRequest, excused: Collection[str]) -> bool:
    if request.state == 'unknown' and request.request_id in excused:
        return False
    is_ended = request.state in {'failed', 'not_run'}
    return request.is_durable and _was_accepted(request) and not is_ended


def _was_accepted(request: SentRequest) -> bool:
    return bool({'accepted', 'running'} & set(request.states))


def _check_output(request: SentRequest, findings: Findings) -> None:
    output = request.answer.get('output', [])
    gang_size = request.body.get('gang_size', 1)
    matches_request = all(
        request.body['payload'] in part and request.request_id in part
        for part in output
    )
    if len(output) != gang_size or not matches_request:
        findings.incomplete.append(f'{request.request_id} {output}')


def _check_upper_limits(
    events: Sequence[Mapping[str, Any]],
    requests_by_id: Mapping[str, SentRequest],
    upper_limits: Mapping[str, Mapping[str, int]],
    findings: Findings,
) -> None:
    used: dict[str, collections.Counter[str]] = {}
    for event in events:
        request = requests_by_id.get(event['task_id'].rpartition('/')[0])
        if request is None or event[_EVENT] == 'breach':
            continue
        usage = used.setdefault(request.team, collections.Counter())
        resources = request.body['resources']
        if event[_EVENT] == 'end':
            usage.subtract(resources)
        else:
            usage.update(resources)
            _check_team_limits(request.team, usage, upper_limits, findings)


def _check_failures(
    events: Iterable[Mapping[str, Any]],
    sent: Iterable[SentRequest],
    findings: Findings,
) -> None:
    """Check that a request which its tasks failed has had all its runs."""
    failed_runs = {
        (event['task_id'].rpartition('/')[0], event['epoch'], event['attempt'])
        for event in events
        if event.get('phase') == 'failed'
    }
    run_counts = collections.Counter(run[0] for run in failed_runs)
    for request in sent:
        is_failed = request.answer.get('reason') == 'task_failed'
        if is_failed and not request.body.get('is_unrepeatable', False):
            count = run_counts[request.request_id]
            if count < _RUN_LIMIT:
                findings.failed_early.append(f'{request.request_id} {count}')


def _check_team_limits(
    name: str,
    used: Mapping[str, int],
    upper_limits: Mapping[str, Mapping[str, int]],
    findings: Findings,
) -> None:
    for resource, limit in upper_limits.get(name, {}).items():
        if used[resource] > limit:
            findings.over_limit.append(
                f'{name} {resource} {used[resource]} of {limit}',
            )
