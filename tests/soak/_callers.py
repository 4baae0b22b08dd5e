"""Callers that submit, poll, cancel and resubmit jobs."""

from __future__ import annotations

import asyncio
import time

import aiohttp
import attrs

from tests.soak._world import SubmittedJob

HOST = 'cell.example'
# Two thirds of the calls of a caller are answered within this time.
_CALL_TIMEOUT_S = 3
_MAX_TRIES = 5
_RETRY_DELAY_S = 0.3
_TEAMS = ('steady', 'limited', 'advised')
# Every tenth job is cancelled, every fourteenth fails because of its spec.
_CANCELLED_SHARE = 0.1
_FAILING_SHARE = 0.07
_RESUBMITTED_SHARE = 0.2
_LONG_TASK_FACTOR = 8
# A wide gang takes half of a team limit of 16 cores.
_WIDE_COUNT = 8
_WIDE_CPU = 1000


@attrs.define
class Load:
    """Load that the callers make.

    :ivar long_share: share of the jobs whose tasks outlast a lease.
    :ivar gang_share: share of the jobs whose tasks are a gang.
    :ivar wide_share: share of the gangs that are as wide as the fleet.
    :ivar second_gang_share: share of the jobs with a gang in which another
        gang follows.
    """

    jobs_per_s: float = 8
    long_share: float = 0
    gang_share: float = 0.3
    wide_share: float = 0
    second_gang_share: float = 0


class Callers:
    """Callers of all teams."""

    def __init__(self, checker, frontends, random, load):
        """Prepare the callers.

        :param frontends: addresses of the daemons.
        """
        self.checker = checker
        self.frontends = frontends
        self.random = random
        self.load = load
        self._session = None

    async def open(self):
        """Open the HTTP session, which keeps its connections alive."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
        )

    async def close(self):
        """Close all connections."""
        await self._session.close()

    async def submit_jobs(self, seconds):
        """Submit jobs for a while."""
        end_s = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.expovariate(self.load.jobs_per_s))
            tasks.append(asyncio.create_task(self._submit_and_follow()))
        await asyncio.gather(*tasks)

    async def wait_for_completion(self, seconds):
        """Poll until all accepted jobs have ended.

        Jobs that have not ended in time are recorded as lost.
        """
        end_s = time.monotonic() + seconds
        unfinished = self._unfinished_jobs()
        while unfinished and time.monotonic() < end_s:
            await asyncio.gather(*map(self.poll_state, unfinished))
            await asyncio.sleep(_RETRY_DELAY_S)
            unfinished = self._unfinished_jobs()
        for job in unfinished:
            self._record_unfinished(job)

    async def poll_state(self, job):
        """Ask a daemon for the state of a job and check it."""
        status, body = await self._call('GET', job)
        if status == 200:
            self.checker.record_reported_state(job, body['state'])
        elif status == 410 and job.is_accepted:
            self.checker.record_violation('lost', f'{job.job_id} is not known')

    def _record_unfinished(self, job):
        # The steps show whether the job can be placed at all.
        reported_state = job.reported_state or 'never shown'
        self.checker.record_violation(
            'lost', f'{job.job_id} is {reported_state}: {job.steps}'
        )

    def _unfinished_jobs(self):
        """Return the accepted jobs without a final state."""
        return [
            job
            for job in self.checker.jobs.values()
            if job.is_accepted
            and job.reported_state not in {'complete', 'failed', 'cancelled'}
        ]

    async def _submit_and_follow(self):
        job = self.checker.jobs[self._new_job()]
        for _ in range(_MAX_TRIES):
            # The job may start before the answer to its submission arrives.
            job.unresolved_submissions += 1
            status, _ = await self._call('POST', job)
            if status == 200:
                job.is_accepted = True
                break
            if status in {429, 503}:
                job.unresolved_submissions -= 1
                job.refused_submissions += 1
                self.checker.check_refusals(job)
            await asyncio.sleep(_RETRY_DELAY_S)
        if job.is_accepted and self.random.random() < _RESUBMITTED_SHARE:
            await self._call('POST', job)
        if job.is_accepted and self.random.random() < _CANCELLED_SHARE:
            await self._cancel(job)
        elif job.is_accepted:
            await asyncio.sleep(self.random.uniform(0.5, 2))
            await self.poll_state(job)

    async def _cancel(self, job):
        job.is_cancelling = True
        for _ in range(_MAX_TRIES):
            status, _ = await self._call('DELETE', job)
            if status in {200, 410}:
                job.cancelled_at_s = time.monotonic()
                return
            await asyncio.sleep(_RETRY_DELAY_S)

    async def _call(self, method, job):
        address = self.random.choice(self.frontends)
        try:
            async with self._session.request(
                method,
                f'http://{address}/{job.team}/{job.job_id}',
                json=job.body if method == 'POST' else None,
                headers={
                    'Host': HOST,
                    'Authorization': f'Bearer key-{job.team}',
                },
            ) as reply:
                is_json = reply.content_type == 'application/json'
                return reply.status, await reply.json() if is_json else {}
        except aiohttp.ClientConnectorError:
            # This call sent nothing, but an earlier one may have.
            return 0, {}
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}

    def _new_job(self):
        random = self.random
        job_id = f'{random.getrandbits(64):016x}'
        team = random.choice(_TEAMS)
        shape = random.random()
        step = {
            'count': random.randint(1, 4),
            'cpu': random.choice([500, 1000, 2000, 4000]),
            'memMb': 100,
            'estimateMs': random.randint(100, 2000),
        }
        if self.load.long_share and random.random() < self.load.long_share:
            step['estimateMs'] *= _LONG_TASK_FACTOR
        steps = [step]
        if shape < self.load.gang_share:
            steps = self._make_gangs(step)
        elif shape < self.load.gang_share + 0.2:
            steps.append({**step, 'after': [0]})
        has_failing_spec = random.random() < _FAILING_SHARE
        spec = f'{"doomed" if has_failing_spec else "sound"} {job_id}'
        body = {'spec': spec, 'steps': steps}
        self.checker.jobs[job_id] = SubmittedJob(job_id, team, body)
        return job_id

    def _make_gangs(self, step):
        """Return one step with a gang, or two of them."""
        random = self.random
        step['gang'] = True
        if self.load.wide_share and random.random() < self.load.wide_share:
            step.update(count=_WIDE_COUNT, cpu=_WIDE_CPU)
        share = self.load.second_gang_share
        if share and random.random() < share:
            return [step, {**step, 'count': random.randint(2, 4), 'after': [0]}]
        return [step]
