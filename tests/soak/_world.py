"""Checker of invariants over what callers and workers observed."""

from __future__ import annotations

import collections
import time

import attrs

MAX_ATTEMPTS = 3
# A team may exceed its limit by a tenth and by one more task.
LIMIT_TOLERANCE = 1.1


@attrs.define
class SubmittedJob:
    """Job as its caller knows it.

    :ivar refused_submissions: submissions that were answered "not run".
    :ivar unresolved_submissions: submissions in flight, and those whose outcome
        is unknown because the answer was lost.
    :ivar has_started: whether any of its tasks was started.
    :ivar reported_state: last state that a caller was answered.
    """

    job_id: str
    team: str
    body: dict
    is_accepted: bool = False
    refused_submissions: int = 0
    unresolved_submissions: int = 0
    has_started: bool = False
    is_cancelling: bool = False
    cancelled_at_s: float = 0
    reported_state: str = ''

    @property
    def steps(self):
        """Return the submitted steps."""
        return self.body['steps']

    def has_failing_spec(self):
        """Tell whether the tasks fail because of the job itself."""
        return self.body['spec'].startswith('doomed')


@attrs.define(eq=False)
class Run:
    """Run of a task on a worker."""

    worker: object
    task: tuple
    attempt: int
    started_at_s: float


class InvariantChecker:
    """Records jobs, runs and their ends, and collects violated invariants.

    :ivar finished: tasks that ran to their end on a worker.
    :ivar acknowledged: finished tasks whose end a leader acknowledged.
    :ivar listed_failures: failed runs that a worker has listed, by task.
    :ivar acknowledged_failures: the acknowledged ones among them.
    :ivar violations: violated rules with the details, in order.
    """

    def __init__(self, team_limits, max_attempts=None):
        """Start without jobs.

        :param team_limits: limit of each team in thousandths of a core, 0
            for no limit.
        :param max_attempts: attempts of the jobs of a team, where it is not
            ``MAX_ATTEMPTS``.
        """
        self.team_limits = team_limits
        self.max_attempts = max_attempts or {}
        self.jobs = {}
        self.active_runs = []
        self.finished = set()
        self.acknowledged = set()
        self.listed_failures = collections.defaultdict(set)
        self.acknowledged_failures = collections.defaultdict(set)
        self.violations = []
        self.start_count = 0

    def record_violation(self, rule, text):
        """Record a violated rule."""
        self.violations.append(f'{rule}: {text}')

    def check_refusals(self, job):
        """Check that a job whose submissions were all refused never started."""
        if not job.has_started or job.is_accepted or job.unresolved_submissions:
            return
        if job.refused_submissions:
            text = f'{job.job_id} started, all tries were refused'
            self.record_violation('refused', text)

    def find_step(self, task):
        """Return the step of a task, or None if it was not submitted."""
        job = self.jobs.get(task[0])
        if job is None or task[2] >= len(job.steps):
            return None
        return job.steps[task[2]]

    def record_start(self, worker, task, attempt, spec):
        """Record a start and check it against all rules.

        :returns: the run, or None if its job was not submitted.
        """
        self.start_count += 1
        step = self.find_step(task)
        if step is None or self.jobs[task[0]].body['spec'] != spec:
            self.record_violation('unasked', f'{task} was not submitted so')
            return None
        job = self.jobs[task[0]]
        for other in self.active_runs:
            if other.task == task:
                self.record_violation('twice', f'{task} runs on two workers')
        if task in self.acknowledged:
            self.record_violation(
                'twice', f'{task} started after its end was noted'
            )
        job.has_started = True
        self.check_refusals(job)
        for dependency in step.get('after', ()):
            for index in range(job.steps[dependency]['count']):
                if (
                    task[0],
                    task[1],
                    dependency,
                    index,
                ) not in self.finished:
                    self.record_violation(
                        'order', f'{task} started before {dependency}'
                    )
        failure_count = self._count_failures(self.acknowledged_failures, task)
        if failure_count >= self.attempts_of(job.team):
            self.record_violation('budget', f'{task} started again')
        run = Run(worker, task, attempt, time.monotonic())
        self.active_runs.append(run)
        self._check_worker_capacity(worker)
        self._check_team_limit(job.team, step)
        return run

    def record_end(self, run, outcome):
        """Record that a run ended on its worker."""
        if run in self.active_runs:
            self.active_runs.remove(run)
        if outcome == 'done':
            self.finished.update(self._tasks_ended_with(run.task))

    def record_listed_end(self, run, outcome):
        """Record that a worker listed an end, which it may do repeatedly."""
        if outcome == 'failed':
            self.listed_failures[run.task].add(run)

    def record_acknowledged_end(self, run, outcome):
        """Record an end that a leader acknowledged under a valid lease."""
        if outcome == 'done':
            self.acknowledged.update(self._tasks_ended_with(run.task))
        elif outcome == 'failed':
            self.acknowledged_failures[run.task].add(run)

    def record_reported_state(self, job, state):
        """Record and check a state that a caller was answered."""
        job.reported_state = state
        if state == 'complete' and not self._tasks_of(job) <= self.finished:
            self.record_violation('mixed', f'{job.job_id} shown complete')
        if state == 'failed':
            count = max(
                self._count_failures(self.listed_failures, task)
                for task in self._tasks_of(job)
            )
            if count < self.attempts_of(job.team):
                text = f'{job.job_id} shown failed after {count} failures'
                self.record_violation('lost', text)
        if state == 'cancelled' and not job.is_cancelling:
            self.record_violation('lost', f'{job.job_id} shown cancelled')

    def attempts_of(self, team):
        """Return after how many failed runs the jobs of a team fail."""
        return self.max_attempts.get(team, MAX_ATTEMPTS)

    def cpu_demand(self, task):
        """Return the thousandths of a core that a task needs."""
        return self.find_step(task)['cpu']

    def _tasks_of(self, job):
        return {
            (job.job_id, 0, number, index)
            for number, step in enumerate(job.steps)
            for index in range(step['count'])
        }

    def _count_failures(self, failures, task):
        """Count the failed runs of a task, or of the gang that it is in.

        A run of a gang fails once, however many of its members fail.
        """
        if not self.find_step(task).get('gang'):
            return len(failures[task])
        return len(
            {
                run.attempt
                for member in self._tasks_ended_with(task)
                for run in failures[member]
            }
        )

    def _tasks_ended_with(self, task):
        """Return the tasks that end together: all of a gang, or the task."""
        step = self.find_step(task)
        if not step.get('gang'):
            return [task]
        return [(*task[:3], index) for index in range(step['count'])]

    def _check_worker_capacity(self, worker):
        used = sum(
            self.cpu_demand(run.task)
            for run in self.active_runs
            if run.worker is worker
        )
        if used > worker.cpu:
            self.record_violation(
                'limit', f'{worker.name} runs {used} of {worker.cpu}'
            )

    def _check_team_limit(self, team, step):
        limit = self.team_limits.get(team, 0)
        used = sum(
            self.cpu_demand(run.task)
            for run in self.active_runs
            if self.jobs[run.task[0]].team == team
        )
        if limit and used > limit * LIMIT_TOLERANCE + step['cpu']:
            self.record_violation('quota', f'{team} runs {used} of {limit}')
