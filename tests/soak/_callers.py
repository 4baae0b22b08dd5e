"""Callers that submit, ask, cancel and repeat on kept connections."""

from __future__ import annotations

import asyncio
import time

import aiohttp

from tests.soak._world import Submitted

HOST = 'cell.example'
# Two thirds of the attempts of a caller have their answer by then.
_PATIENCE_S = 3
_TRIES = 5
_PAUSE_S = 0.3
_TEAMS = ('steady', 'limited', 'advised')
# Every tenth job is cancelled, every fourteenth fails by its own fault.
_CANCEL_PART = 0.1
_DOOMED_PART = 0.07
_REPEAT_PART = 0.2


class Callers:
    """Callers of all teams."""

    def __init__(self, world, frontends, random):
        """Prepare to send.

        :param frontends: addresses of the daemons.
        """
        self.world = world
        self.frontends = frontends
        self.random = random
        self._session = None

    async def open(self):
        """Open the connections that are kept until the end."""
        self._session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=_PATIENCE_S),
        )

    async def close(self):
        """Close all connections."""
        await self._session.close()

    async def load(self, seconds, rate):
        """Submit jobs for a while."""
        end_s = time.monotonic() + seconds
        tasks = []
        while time.monotonic() < end_s:
            await asyncio.sleep(self.random.expovariate(rate))
            tasks.append(asyncio.create_task(self._one()))
        await asyncio.gather(*tasks)

    async def settle(self, seconds):
        """Ask for all jobs until each accepted one has ended."""
        end_s = time.monotonic() + seconds
        open_jobs = self._open_jobs()
        while open_jobs and time.monotonic() < end_s:
            await asyncio.gather(*map(self.ask, open_jobs))
            await asyncio.sleep(_PAUSE_S)
            open_jobs = self._open_jobs()
        for left in open_jobs:
            self._note_lost(left)

    async def ask(self, job):
        """Ask for the state of a job."""
        status, body = await self._call('GET', job)
        if status == 200:
            self.world.note_shown(job, body['state'])
        elif status == 410 and job.is_accepted:
            self.world.breach('lost', f'{job.job_id} is not known')

    def _note_lost(self, job):
        # The steps tell whether the job could be done at all.
        shown = job.shown or 'never shown'
        self.world.breach('lost', f'{job.job_id} is {shown}: {job.steps}')

    def _open_jobs(self):
        """Return the accepted jobs that were not shown as ended."""
        return [
            job
            for job in self.world.jobs.values()
            if job.is_accepted
            and job.shown not in {'complete', 'failed', 'cancelled'}
        ]

    async def _one(self):
        job = self.world.jobs[self._new_job()]
        for _ in range(_TRIES):
            # The job may start before the answer arrives.
            job.unsure += 1
            status, _ = await self._call('POST', job)
            if status == 200:
                job.is_accepted = True
                break
            if status in {429, 503}:
                job.unsure -= 1
                job.refusals += 1
                self.world.check_refusals(job)
            await asyncio.sleep(_PAUSE_S)
        if job.is_accepted and self.random.random() < _REPEAT_PART:
            await self._call('POST', job)
        if job.is_accepted and self.random.random() < _CANCEL_PART:
            await self._cancel(job)
        elif job.is_accepted:
            await asyncio.sleep(self.random.uniform(0.5, 2))
            await self.ask(job)

    async def _cancel(self, job):
        job.is_cancelling = True
        for _ in range(_TRIES):
            status, _ = await self._call('DELETE', job)
            if status in {200, 410}:
                job.cancelled_at_s = time.monotonic()
                return
            await asyncio.sleep(_PAUSE_S)

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
            # Nothing was sent, but an earlier attempt may have been.
            return 0, {}
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, {}

    def _new_job(self):
        random = self.random
        job_id = f'{random.getrandbits(64):016x}'
        team = random.choice(_TEAMS)
        kind = random.random()
        step = {
            'count': random.randint(1, 4),
            'cpu': random.choice([500, 1000, 2000, 4000]),
            'memMb': 100,
            'estimateMs': random.randint(100, 2000),
        }
        steps = [step]
        if kind < 0.3:
            step['gang'] = True
        elif kind < 0.5:
            steps.append({**step, 'after': [0]})
        is_doomed = random.random() < _DOOMED_PART
        spec = f'{"doomed" if is_doomed else "sound"} {job_id}'
        body = {'spec': spec, 'steps': steps}
        self.world.jobs[job_id] = Submitted(job_id, team, body)
        return job_id
