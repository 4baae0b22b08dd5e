"""Independent check of what workers did against what callers were told.

It reads the logs of the worker stand-ins and the callers' records, and uses
none of the scheduler's code.
"""

from __future__ import annotations

import collections
import json
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    import pathlib
    from collections.abc import Collection, Iterable, Mapping, Sequence

    from testbed._caller import Sent

__all__ = ('Findings', 'check_logs')


@attrs.define(slots=True, kw_only=True)
class Findings:
    """Breaches, each as one line of text.

    :ivar over_commits: a worker held more than its capacity.
    :ivar doubled: a task ran in two places, or an unrepeatable one twice.
    :ivar untruthful: a request was answered "not run" though it ran.
    :ivar lost: an accepted durable request without a final answer.
    :ivar incomplete: an answer that is not the complete answer to its request.
    :ivar over_limit: a team ran more than its upper limit.
    """

    over_commits: list[str] = attrs.field(factory=list)
    doubled: list[str] = attrs.field(factory=list)
    untruthful: list[str] = attrs.field(factory=list)
    lost: list[str] = attrs.field(factory=list)
    incomplete: list[str] = attrs.field(factory=list)
    over_limit: list[str] = attrs.field(factory=list)

    def all(self) -> list[str]:
        """Return all breaches with their kind."""
        return [
            f'{kind}: {line}'
            for kind, lines in attrs.asdict(self).items()
            for line in lines
        ]


def check_logs(
    paths: Iterable[pathlib.Path],
    sent: Sequence[Sent],
    upper_limits: Mapping[str, Mapping[str, int]],
    failed_workers: Collection[str] = (),
) -> Findings:
    """Check the logs of all workers against the records of the callers.

    :param failed_workers: workers that died or froze beyond the task lease;
        unrepeatable work that they ran last may end as unknown.
    """
    events = sorted(_read(paths), key=lambda event: event['wall_s'])
    findings = Findings()
    by_id = {known.request_id: known for known in sent if known.request_id}
    _check_workers(events, by_id, findings)
    starts = collections.Counter(
        event['task_id'].rpartition('/')[0]
        for event in events
        if event['event'] == 'start'
    )
    last_workers = {
        event['task_id'].rpartition('/')[0]: event['worker']
        for event in events
        if event['event'] == 'start'
    }
    excused = {
        request_id
        for request_id, worker in last_workers.items()
        if worker in failed_workers and _is_unrepeatable(request_id, by_id)
    }
    _check_callers(sent, starts, excused, findings)
    _check_limits(events, by_id, upper_limits, findings)
    return findings


def _read(paths: Iterable[pathlib.Path]) -> list[dict[str, Any]]:
    return [
        json.loads(line)
        for path in paths
        for line in path.read_text().splitlines()
    ]


def _check_workers(
    events: Sequence[Mapping[str, Any]],
    by_id: Mapping[str, Sent],
    findings: Findings,
) -> None:
    running: dict[str, str] = {}
    unrepeatable: set[str] = set()
    for event in events:
        task_id = event['task_id']
        worker = event['worker']
        if event['event'] == 'breach':
            findings.over_commits.append(f'{worker} {task_id}')
        elif event['event'] == 'end':
            running.pop(task_id, None)
        else:
            if task_id in running or task_id in unrepeatable:
                findings.doubled.append(
                    f'{task_id} on {running.get(task_id)} and {worker}',
                )
            running[task_id] = worker
            if _is_unrepeatable(task_id.rpartition('/')[0], by_id):
                unrepeatable.add(task_id)


def _is_unrepeatable(request_id: str, by_id: Mapping[str, Sent]) -> bool:
    sent = by_id.get(request_id)
    return sent is not None and sent.body.get('is_unrepeatable', False)


def _check_callers(
    sent: Sequence[Sent],
    starts: Mapping[str, int],
    excused: Collection[str],
    findings: Findings,
) -> None:
    for known in sent:
        if 'not_run' in known.states and starts.get(known.request_id, 0):
            findings.untruthful.append(known.request_id)
        if known.state == 'finished':
            _check_output(known, findings)
        elif _is_lost(known, excused):
            findings.lost.append(f'{known.request_id} {known.state}')


def _is_lost(sent: Sent, excused: Collection[str]) -> bool:
    if sent.state == 'unknown' and sent.request_id in excused:
        return False
    is_ended = sent.state in {'failed', 'not_run'}
    return sent.is_durable and _was_accepted(sent) and not is_ended


def _was_accepted(sent: Sent) -> bool:
    return bool({'accepted', 'running'} & set(sent.states))


def _check_output(sent: Sent, findings: Findings) -> None:
    output = sent.answer.get('output', [])
    size = sent.body.get('gang_size', 1)
    is_own = all(
        sent.body['payload'] in part and sent.request_id in part
        for part in output
    )
    if len(output) != size or not is_own:
        findings.incomplete.append(f'{sent.request_id} {output}')


def _check_limits(
    events: Sequence[Mapping[str, Any]],
    by_id: Mapping[str, Sent],
    upper_limits: Mapping[str, Mapping[str, int]],
    findings: Findings,
) -> None:
    used: dict[str, collections.Counter[str]] = {}
    for event in events:
        sent = by_id.get(event['task_id'].rpartition('/')[0])
        if sent is None or event['event'] == 'breach':
            continue
        team = used.setdefault(sent.team, collections.Counter())
        resources = sent.body['resources']
        if event['event'] == 'end':
            team.subtract(resources)
        else:
            team.update(resources)
            _compare(sent.team, team, upper_limits, findings)


def _compare(
    name: str,
    used: Mapping[str, int],
    upper_limits: Mapping[str, Mapping[str, int]],
    findings: Findings,
) -> None:
    for resource, most in upper_limits.get(name, {}).items():
        if used[resource] > most:
            findings.over_limit.append(
                f'{name} {resource} {used[resource]} of {most}',
            )
