"""Random series of failed runs of gangs, of all shapes, with leader changes.

Jobs have one gang or several, wide ones, occurrences and any number of
attempts. Members end together: as done, or as failed and broken in any mixture.
A job may be shown as failed only after as many failed runs of one of its gangs,
or of one of its tasks, as it has attempts.
"""

from __future__ import annotations

import asyncio
import collections
import random

import attrs
import pytest

from currantreach_jobs import EndKind, JobState
from currantreach_types import Resources, unix_now_ms

WORKER_COUNT = 6
EVENT_COUNT = 40
MAX_ATTEMPTS = 3
# A lease, the wait for an earlier leader and the runs of all open jobs.
RECOVERY_S = 120
SMALL = Resources(cpu_milli=500, memory_mib=100)


class GangFleet:
    """Workers whose gang members end together.

    ``failed_attempts`` are the attempts of which an end was failed, by the gang
    or by the task.
    """

    def __init__(self, fleet, chance, steps_of):
        self.fleet = fleet
        self.chance = chance
        self.steps_of = steps_of
        self.members = collections.defaultdict(list)
        self.broken_runs = set()
        self.failed_attempts = collections.defaultdict(set)
        self.record_start = fleet.record_start
        self.record_end = fleet.record_end
        fleet.record_start = self.start
        fleet.record_end = self.end

    def start(self, worker, order):
        """Record a start; one member that is to fail breaks the others."""
        self.record_start(worker, order)
        if self.is_gang(order.task):
            run = worker.running[order.task, order.attempt]
            gang_run = (*self.counted_key(order.task), order.attempt)
            self.members[gang_run].append(run)
            if run.kind is EndKind.FAILED:
                self.broken_runs.add(gang_run)
            if gang_run in self.broken_runs:
                self.break_members(gang_run)

    def end(self, worker, order, kind):
        """Record an end; any but a done one breaks the other members."""
        self.record_end(worker, order, kind)
        key = self.counted_key(order.task)
        if kind is EndKind.FAILED:
            self.failed_attempts[key].add(order.attempt)
        if kind is not EndKind.DONE and self.is_gang(order.task):
            self.broken_runs.add((*key, order.attempt))
            self.break_members((*key, order.attempt))

    def break_members(self, gang_run):
        """Let members that would be done end as broken, or fail as well."""
        for run in self.members[gang_run]:
            if run.kind is EndKind.DONE:
                run.kind = self.chance.choice((EndKind.BROKEN, EndKind.FAILED))

    def is_gang(self, task):
        """Tell whether a task is a member of a gang."""
        return self.steps_of(task.job_id)[task.step].is_gang

    def counted_key(self, task):
        """Return by what the failed runs of a task are counted."""
        index = -1 if self.is_gang(task) else task.index
        return task.job_id, task.occurrence, task.step, index

    def most_failures(self, job_id):
        """Return the failed runs of the gang or task that failed most."""
        return max(
            (
                len(attempts)
                for key, attempts in self.failed_attempts.items()
                if key[0] == job_id
            ),
            default=0,
        )


class RandomGangs:
    """Jobs with gangs in a cell whose workers and leaders fail at random."""

    def __init__(self, fleet, cell, job, seed):
        self.fleet = fleet
        self.cell = cell
        self.make_job = job
        self.chance = random.Random(seed)
        self.jobs = {}
        self.daemon_count = 0
        self.gang_fleet = GangFleet(
            fleet, self.chance, lambda job_id: self.jobs[job_id].steps
        )
        fleet.work_s = self.chance.choice((0.1, 0.4, 1.5))
        for number in range(WORKER_COUNT):
            fleet.add(f'w{number}')
        self.replace_leader()

    def replace_leader(self):
        """Kill the leader, if there is one, and start another daemon."""
        leader = self.cell.scheduling_daemon()
        if leader is not None:
            leader.kill()
        self.daemon_count += 1
        self.cell.start(f'd{self.daemon_count}')

    async def submit(self):
        """Submit a job of a random shape."""
        leader = self.cell.scheduling_daemon()
        if leader is None:
            return
        job_id = f'{len(self.jobs):016x}'
        made = self.make_job(job_id, needed=SMALL)
        steps = [
            attrs.evolve(
                made.steps[0],
                task_count=self.chance.choice((1, 2, 3, 8, 24)),
                is_gang=self.chance.random() < 0.8,
                after=tuple(range(number))[-1:],
            )
            for number in range(self.chance.choice((1, 1, 2, 3)))
        ]
        self.jobs[job_id] = attrs.evolve(
            made,
            queue=attrs.evolve(
                made.queue, max_attempts=self.chance.randint(1, MAX_ATTEMPTS)
            ),
            steps=tuple(steps),
            occurrence_count=self.chance.choice((0, 0, 3)),
            first_run_unix_ms=unix_now_ms(),
            interval_ms=1,
        )
        await leader.submissions.submit(self.jobs[job_id])

    def toggle_failures(self):
        """Let the runs that start on a worker fail, or no longer."""
        worker = self._worker()
        worker.fails = not worker.fails

    def toggle_answers(self):
        """Lose the answers of a worker, or no longer."""
        worker = self._worker()
        worker.drops_answers = not worker.drops_answers

    def toggle_silence(self):
        """Cut a worker off, or connect it again."""
        worker = self._worker()
        worker.silent = not worker.silent

    def restart(self):
        """Restart a worker."""
        self._worker().restart()

    def lose_commits(self):
        """Lose the answers to the next writes of the store."""
        self.fleet.store.lost = self.chance.randint(1, 5)

    async def play(self):
        """Play the events, then end all disturbances."""
        events = (
            self.submit,
            self.submit,
            self.submit,
            self.toggle_failures,
            self.toggle_failures,
            self.toggle_answers,
            self.toggle_silence,
            self.restart,
            self.replace_leader,
            self.lose_commits,
        )
        for _ in range(EVENT_COUNT):
            played = self.chance.choice(events)()
            if played is not None:
                await played
            await asyncio.sleep(
                self.chance.uniform(0, self.chance.choice((0.1, 0.5, 2)))
            )
        self.fleet.store.lost = 0
        for worker in self.fleet.workers.values():
            worker.silent = False
            worker.drops_answers = False
            worker.fails = False

    def accepted(self):
        """Return the ids of the jobs in the store."""
        return [key for key in self.jobs if self._stored(key)]

    def have_all_ended(self):
        """Tell whether all accepted jobs have ended."""
        leader = self.cell.scheduling_daemon()
        if leader is None:
            return False
        known = leader.scheduler.cluster.jobs
        return all(
            job_id in known and known[job_id].state.is_final
            for job_id in self.accepted()
        )

    def early_failures(self):
        """Return the jobs that were failed with attempts left."""
        known = self.cell.scheduling_daemon().scheduler.cluster.jobs
        return [
            (job_id, self.gang_fleet.most_failures(job_id))
            for job_id in self.accepted()
            if known[job_id].state is JobState.FAILED
            and self.gang_fleet.most_failures(job_id)
            < self.jobs[job_id].queue.max_attempts
        ]

    def _stored(self, job_id):
        return f'jobs/{job_id}' in self.fleet.store.keys

    def _worker(self):
        return self.chance.choice(tuple(self.fleet.workers.values()))


@pytest.mark.parametrize('seed', range(12))
def test_no_gang_fails_with_attempts_left(run_scenario, job, wait_until, seed):
    """Guard against a failed run that is counted more than once."""

    async def scenario(fleet, cell):
        gangs = RandomGangs(fleet, cell, job, seed)
        await wait_until(cell.scheduling_daemon)
        await gangs.play()
        await wait_until(gangs.have_all_ended, RECOVERY_S)
        assert not gangs.early_failures()

    run_scenario(scenario)
