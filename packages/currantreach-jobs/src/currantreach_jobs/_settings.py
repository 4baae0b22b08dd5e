"""Settings of the scheduler and the right to decide."""

from __future__ import annotations

import math

import attrs

__all__ = ('JobSettings', 'Leadership')

# A host of this size keeps up with the lead of the largest deployment.
_LEADER_CORES = 2
# Bandwidth at which reading some thousand jobs takes well under a second.
_LEADER_MBPS = 100
# Bound of the strength, so that the delay stays finite.
_WEAKEST = 0.01
# A stronger host that lives takes the lead within this time.
_DELAY_STEP_S = 0.3


@attrs.frozen(slots=True, kw_only=True)
class JobSettings:
    """Times and bounds of the scheduler.

    :ivar leader_lease_s: time to live of the leader's record; a takeover
        takes at least this long. A slow store answers within 0.25 s.
    :ivar leader_renew_s: pause between renewals; four fit into a lease.
    :ivar member_lease_s: time to live of the record of a daemon.
    :ivar run_lease_s: lease of the runs on a worker. It outlasts a takeover
        and most cuts of a failure domain, after which the runs go on; the
        tasks of a worker that is lost wait for its end.
    :ivar lease_grace_s: how long a leader that lost the store keeps the runs
        of its workers alive. A store outage of four seconds costs no lead. A
        successor waits for it at workers that it does not reach.
    :ivar clock_drift: fraction by which a worker's clock may be slow.
    :ivar long_poll_s: how long a worker may wait for an end before it
        answers; the lease is renewed that often.
    :ivar call_timeout_s: deadline of a call to a worker beyond such waits.
    :ivar gang_wait_s: time after which the members of a gang give up.
    :ivar ended_job_retention_s: how long the state of an ended job is kept.
    :ivar stop_timeout_s: time in which a process has to end.
    :ivar failure_domain: failure domain of this host.
    :ivar core_count: processor time of the host, in cores.
    :ivar link_mbps: bandwidth of the host's link.
    """

    leader_lease_s: float = 1.4
    leader_renew_s: float = 0.35
    member_lease_s: float = 6
    run_lease_s: float = 6
    lease_grace_s: float = 3
    clock_drift: float = 0.03
    long_poll_s: float = 1
    call_timeout_s: float = 0.7
    gang_wait_s: float = 3
    ended_job_retention_s: float = 150
    stop_timeout_s: float = 6
    failure_domain: str = ''
    core_count: float = 1
    link_mbps: float = 1000

    @property
    def campaign_delay_s(self) -> float:
        """Return how long this host leaves the lead to stronger ones.

        A leader calls all workers and reads all jobs after a takeover, which
        a host with a small share of a core or a thin link cannot keep up
        with. The delay grows by a step with each halving of its strength.
        """
        strength = min(
            self.core_count / _LEADER_CORES,
            self.link_mbps / _LEADER_MBPS,
        )
        return _DELAY_STEP_S * max(0, -math.log2(max(strength, _WEAKEST)))

    @property
    def predecessor_grace_s(self) -> float:
        """Return how long after an election an earlier leader may order.

        A store that is down may drop the record of a leader right after its
        renewal.
        """
        return self.leader_lease_s + self.lease_grace_s

    @property
    def max_lease_s(self) -> float:
        """Return a bound of the real duration of a lease."""
        return self.run_lease_s * (1 + self.clock_drift) + self.call_timeout_s


@attrs.define(slots=True, kw_only=True, eq=False)
class Leadership:
    """The right of this daemon to decide, as of the last renewal.

    :ivar epoch: fencing token of all orders.
    :ivar revision: revision of the leader's record.
    :ivar valid_until_s: end of the lease, counted from before its renewal.
    :ivar acquired_at_s: time of the acquisition.
    :ivar is_over: whether another daemon may have taken over.
    """

    epoch: int
    revision: int
    valid_until_s: float
    acquired_at_s: float
    is_over: bool = False

    def can_start_runs(self, now_s: float) -> bool:
        """Tell whether runs may be started now."""
        return not self.is_over and now_s < self.valid_until_s

    def can_extend_leases(self, now_s: float, grace_s: float) -> bool:
        """Tell whether the leases of running tasks may be extended."""
        return not self.is_over and now_s < self.valid_until_s + grace_s
