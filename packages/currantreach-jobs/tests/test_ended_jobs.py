"""What a leader holds of jobs that have ended."""

from __future__ import annotations

import tracemalloc

from currantreach_jobs import JobState
from currantreach_types import Resources

ONE = '0' * 16
# A daemon may use 64 MB at the size that the users expect. Ended jobs are kept
# for two and a half minutes, so a team may leave many of them.
JOB_COUNT = 40
TASK_COUNT = 20000
MAX_BYTES = 64_000_000
TINY = Resources(cpu_milli=1, memory_mib=1)


def test_cancelled_jobs_exhaust_no_memory(offline, job):
    """Large jobs that are cancelled at once must not end each leader.

    Their tasks were held until the jobs were removed.
    """
    tracemalloc.start()
    try:
        for number in range(JOB_COUNT):
            job_id = f'{number:016x}'
            offline.cluster.add_job(job(job_id, count=TASK_COUNT, needed=TINY))
            offline.cluster.cancel(job_id)
        used_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert used_bytes < MAX_BYTES


def test_runs_of_a_cancelled_job_still_end(offline, job):
    """A run that is being stopped must free its worker and its team's limit."""
    offline.cluster.add_job(job(ONE, count=3))
    offline.started()
    runs = tuple(offline.launched)
    offline.cluster.cancel(ONE)
    assert offline.cluster.pop_pending_stops() == list(runs)
    for run in runs:
        offline.cluster.mark_run_lost(run)
    for worker in offline.cluster.workers.values():
        assert worker.free == worker.report.room
    assert not offline.started()


def test_stored_end_drops_payload_and_steps(run_scenario, job, wait_until):
    """The leader keeps of an ended job what tells its state and its owner."""

    async def scenario(fleet, cell):
        fleet.add('w1')
        daemon = cell.start('a')
        await wait_until(lambda: daemon.scheduler and daemon.scheduler.is_ready)
        await daemon.submissions.submit(job(ONE))
        progress = daemon.scheduler.cluster.jobs
        await wait_until(
            lambda: ONE in progress and progress[ONE].durable_state.is_final
        )
        kept = progress[ONE].job
        assert not kept.steps
        assert not kept.payload
        state = await daemon.job_queries.state(ONE, 'lookups', 'orchard')
        assert state is JobState.COMPLETE

    run_scenario(scenario)
