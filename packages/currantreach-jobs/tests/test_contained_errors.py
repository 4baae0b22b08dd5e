"""Errors in learned speeds, which must not end a scheduling round."""

from __future__ import annotations


def test_error_in_speeds_delays_nothing(offline, job, monkeypatch):
    """A round in which the speeds cannot be measured must still start jobs.

    The same error would come back in each round, so nothing would start.
    """

    def observe(*_):
        raise ArithmeticError('implausible run')

    monkeypatch.setattr(offline.stage_scheduler._slow_runs, 'observe', observe)
    offline.cluster.add_job(job('a' * 16))
    assert offline.started() == ['a' * 16]
