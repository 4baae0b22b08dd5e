"""What callers and workers saw, and the promises that it is checked against."""

from __future__ import annotations

import collections
import time

import attrs

MOST_ATTEMPTS = 3
# A team may be above its limit by a tenth and one task.
OVERAGE = 1.1


@attrs.define
class Submitted:
    """A job as its caller knows it.

    :ivar refusals: attempts that were answered "not run".
    :ivar unsure: attempts without an answer that says what happened, and
        those that are under way.
    :ivar has_started: whether a task of it was started.
    """

    job_id: str
    team: str
    body: dict
    is_accepted: bool = False
    refusals: int = 0
    unsure: int = 0
    has_started: bool = False
    is_cancelling: bool = False
    cancelled_at_s: float = 0
    shown: str = ''

    @property
    def steps(self):
        """Return the steps as they were submitted."""
        return self.body['steps']

    def is_doomed(self):
        """Tell whether its tasks fail by their own fault."""
        return self.body['spec'].startswith('doomed')


@attrs.define
class Started:
    """A run on a worker."""

    worker: object
    task: tuple
    attempt: int
    began_s: float
    checkpoint: str = ''


class World:
    """Record of all jobs, runs and ends, with the broken promises."""

    def __init__(self, limits):
        """Start empty.

        :param limits: thousandths of a core that each team may run, 0 for
            no limit.
        """
        self.limits = limits
        self.jobs = {}
        self.running = []
        self.done = set()
        self.settled = set()
        self.failures = collections.Counter()
        self.settled_failures = collections.Counter()
        self.broken = []
        self.start_count = 0

    def breach(self, rule, text):
        """Note a broken promise."""
        self.broken.append(f'{rule}: {text}')

    def check_refusals(self, job):
        """Check that no job was started of which all tries were refused."""
        if not job.has_started or job.is_accepted or job.unsure:
            return
        if job.refusals:
            text = f'{job.job_id} started, all tries were refused'
            self.breach('refused', text)

    def step_of(self, task):
        """Return the step of a task, or nothing if nobody submitted it."""
        job = self.jobs.get(task[0])
        if job is None or task[2] >= len(job.steps):
            return None
        return job.steps[task[2]]

    def note_start(self, worker, task, attempt, spec):
        """Check a start against everything that is known."""
        self.start_count += 1
        step = self.step_of(task)
        if step is None or self.jobs[task[0]].body['spec'] != spec:
            self.breach('unasked', f'{task} was not submitted so')
            return None
        job = self.jobs[task[0]]
        for other in self.running:
            if other.task == task:
                self.breach('twice', f'{task} runs on two workers')
        if task in self.settled:
            self.breach('twice', f'{task} started after its end was noted')
        job.has_started = True
        self.check_refusals(job)
        for early in step.get('after', ()):
            for index in range(job.steps[early]['count']):
                if (task[0], task[1], early, index) not in self.done:
                    self.breach('order', f'{task} started before {early}')
        if self.settled_failures[task] >= MOST_ATTEMPTS:
            self.breach('budget', f'{task} started again')
        run = Started(worker, task, attempt, time.monotonic())
        self.running.append(run)
        self._check_room(worker)
        self._check_limit(job.team, step)
        return run

    def note_end(self, run, how):
        """Note that a run is over."""
        if run in self.running:
            self.running.remove(run)
        if how == 'done':
            self.done.update(self._represented(run.task))
        elif how == 'failed':
            self.failures[run.task] += 1

    def note_settled(self, task, how):
        """Note that an end counts: it was acknowledged under a lease."""
        if how == 'done':
            self.settled.update(self._represented(task))
        elif how == 'failed':
            self.settled_failures[task] += 1

    def note_shown(self, job, state):
        """Check a state that a caller was told."""
        job.shown = state
        if state == 'complete' and not self._tasks_of(job) <= self.done:
            self.breach('mixed', f'{job.job_id} shown complete')
        if state == 'failed' and not job.is_doomed():
            if not any(task[0] == job.job_id for task in self.failures):
                self.breach('lost', f'{job.job_id} shown failed')
        if state == 'cancelled' and not job.is_cancelling:
            self.breach('lost', f'{job.job_id} shown cancelled')

    def needed(self, task):
        """Return the processor time that a task takes."""
        return self.step_of(task)['cpu']

    def _tasks_of(self, job):
        return {
            (job.job_id, 0, number, index)
            for number, step in enumerate(job.steps)
            for index in range(step['count'])
        }

    def _represented(self, task):
        """Return the tasks whose end one end stands for."""
        step = self.step_of(task)
        if not step.get('gang'):
            return [task]
        return [(*task[:3], index) for index in range(step['count'])]

    def _check_room(self, worker):
        taken = sum(
            self.needed(run.task)
            for run in self.running
            if run.worker is worker
        )
        if taken > worker.cpu:
            self.breach('limit', f'{worker.name} runs {taken} of {worker.cpu}')

    def _check_limit(self, team, step):
        limit = self.limits.get(team, 0)
        taken = sum(
            self.needed(run.task)
            for run in self.running
            if self.jobs[run.task[0]].team == team
        )
        if limit and taken > limit * OVERAGE + step['cpu']:
            self.breach('quota', f'{team} runs {taken} of {limit}')
