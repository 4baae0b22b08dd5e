"""Settings of the scheduler and the leadership of a daemon."""

from __future__ import annotations

import math

import attrs

__all__ = ('JobSettings', 'Leadership')

# A leader with this many cores keeps up with the largest deployment.
_LEADER_CORES = 2
# Bandwidth at which reading some thousand jobs takes well under a second.
_LEADER_MBPS = 100
# Lower bound of the relative capacity, so that the delay stays finite.
_MIN_CAPACITY = 0.01
# Part of the memory of a process that accepted jobs may take.
_JOB_MEMORY_DIVISOR = 5
# Fencing tokens of one leader: one for each process of each worker. Epochs fall
# back to the Unix time, and the product has to be exact as a JSON number.
_TOKENS_PER_EPOCH = 1_000_000
# A running host of higher capacity wins an election within this time.
_DELAY_STEP_S = 0.3


@attrs.frozen(slots=True, kw_only=True)
class JobSettings:
    """Times and bounds of the scheduler.

    :ivar leader_lease_s: time to live of the leader record, which is the least
        duration of a takeover. A slow store answers within 0.25 s.
    :ivar leader_renew_s: pause between renewals; four fit into a lease.
    :ivar member_lease_s: time to live of the record of a daemon.
    :ivar run_lease_s: lease of the runs on a worker. It outlasts a takeover
        and most network partitions of a failure domain, so that runs survive
        them. The tasks of a lost worker wait until it expires.
    :ivar lease_grace_s: how long a leader that has lost the store still calls
        the workers, so that a store outage of four seconds costs no leadership.
        The leases that it renews then end no later than those that it could
        renew at the end of its own.
    :ivar clock_drift: fraction by which the clock of a worker may be slow.
    :ivar long_poll_s: how long a worker may delay its reply to a lease renewal
        until a run ends (long polling); leases are renewed in this interval.
    :ivar lease_limit_s: longest lease that a worker grants, whatever deadline
        an order carries.
    :ivar call_timeout_s: timeout of a call to a worker, beyond such a delay.
    :ivar gang_wait_s: time after which the members of a gang give up.
    :ivar ended_job_retention_s: retention time of ended jobs.
    :ivar stop_timeout_s: time in which a process has to end.
    :ivar evacuation_bound_s: time after the request of an evacuation from which
        nothing may start in its failure domain, 0 for no bound.
    :ivar failure_domain: failure domain of this host.
    :ivar core_count: processor time of the host, in cores.
    :ivar link_mbps: bandwidth of the host's link.
    :ivar memory_bytes: memory that the process may use.
    """

    leader_lease_s: float = 1.4
    leader_renew_s: float = 0.35
    member_lease_s: float = 6
    run_lease_s: float = 6
    lease_grace_s: float = 3
    clock_drift: float = 0.03
    long_poll_s: float = 1
    lease_limit_s: float = 6
    call_timeout_s: float = 0.7
    gang_wait_s: float = 3
    ended_job_retention_s: float = 150
    stop_timeout_s: float = 6
    evacuation_bound_s: float = 0
    failure_domain: str = ''
    core_count: float = 1
    link_mbps: float = 1000
    memory_bytes: int = 200_000_000

    @property
    def job_memory_bytes(self) -> int:
        """Return how much memory accepted jobs may take, and open ones again.

        The process itself takes 60 MB, and reading all records of a cell after
        an election as much again.
        """
        return self.memory_bytes // _JOB_MEMORY_DIVISOR

    @property
    def campaign_delay_s(self) -> float:
        """Return how long this host delays its campaign for the leadership.

        A leader calls all workers and reads all jobs after a takeover, which
        a host with a small share of a core or little bandwidth cannot keep up
        with. The delay grows by a step with each halving of its capacity.
        """
        capacity = min(
            self.core_count / _LEADER_CORES,
            self.link_mbps / _LEADER_MBPS,
        )
        return _DELAY_STEP_S * max(0, -math.log2(max(capacity, _MIN_CAPACITY)))

    @property
    def max_evacuation_view_age_s(self) -> float:
        """Return up to which age of its view a leader sends start orders.

        The view shows every evacuation that was requested before it was read,
        and an order may take effect until its call times out.
        """
        if not self.evacuation_bound_s:
            return math.inf
        return max(0, self.evacuation_bound_s - self.call_timeout_s)

    @property
    def max_lease_s(self) -> float:
        """Return an upper bound of the real duration of a worker lease."""
        return self.run_lease_s * (1 + self.clock_drift) + self.call_timeout_s

    @property
    def inherited_lease_s(self) -> float:
        """Return how long after an election leases of earlier leaders last.

        An earlier leader renews no lease beyond the one that it could renew at
        the end of its own. A store that is down may drop the record of a leader
        right after its renewal, so this includes a whole leader lease.
        """
        return self.leader_lease_s + self.max_lease_s

    @property
    def inherited_stray_lease_s(self) -> float:
        """Return how long after an election stray orders may have an effect.

        This is the bound for runs that no worker has listed to an earlier
        leader. It sends no start after the end of its lease.
        """
        stray_s = self.leader_lease_s + self.stray_lease_s
        return max(self.inherited_lease_s, stray_s)

    @property
    def stray_lease_s(self) -> float:
        """Return an upper bound of the lease that a stray order extends.

        A stray order was meant for an earlier process of the worker and reaches
        a later one. Its deadline is a reading of another clock, so only the
        limit of the worker bounds the lease from its arrival on.
        """
        return self.lease_limit_s * (1 + self.clock_drift) + self.call_timeout_s


@attrs.define(slots=True, kw_only=True, eq=False)
class Leadership:
    """Leadership of this daemon, as of the last renewal of its lease.

    :ivar epoch: number of the election, the upper part of all fencing tokens.
    :ivar revision: revision of the leader record.
    :ivar valid_until_s: end of the lease, counted from the time at which its
        renewal was sent.
    :ivar acquired_at_s: time of the acquisition.
    :ivar is_over: whether another daemon may be the leader by now.
    :ivar token_count: fencing tokens that this leader has created.
    """

    epoch: int
    revision: int
    valid_until_s: float
    acquired_at_s: float
    is_over: bool = False
    token_count: int = 0

    def create_token(self) -> int:
        """Return a fencing token above all earlier ones of the cell."""
        self.token_count += 1
        if self.token_count >= _TOKENS_PER_EPOCH:
            # The next epoch has new ones.
            self.is_over = True
        return self.epoch * _TOKENS_PER_EPOCH + self.token_count

    def can_start_runs(self, now_s: float) -> bool:
        """Tell whether runs may be started now."""
        return not self.is_over and now_s < self.valid_until_s

    def can_extend_leases(self, now_s: float, grace_s: float) -> bool:
        """Tell whether the leases of running tasks may be extended."""
        return not self.is_over and now_s < self.valid_until_s + grace_s
