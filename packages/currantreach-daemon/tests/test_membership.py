"""Tests of sessions, peer leases, takeovers and transfers of claims."""

from __future__ import annotations

import asyncio

import pytest

from currantreach_config import DaemonSettings, WorkerFencing
from currantreach_daemon._membership import Membership
from currantreach_daemon._messages import Heartbeat
from currantreach_daemon._peers import Peer
from currantreach_types.errors import (
    CurrantreachError,
    LinkError,
    StoreUnavailableError,
)

NAMES = ('d0', 'd1', 'd2')


class FakeOwner:
    """Owner that runs until ``lost`` is set."""

    def __init__(self, claim):
        self.claim = claim
        self.lost = asyncio.Event()

    async def run(self):
        await self.lost.wait()


class FakeLink:
    """Link between two daemons, which fails if one is unreachable."""

    def __init__(self, domain, source, target):
        self.domain = domain
        self.ends = (source, target)

    async def call(self, method, message, kind, timeout_s):
        await asyncio.sleep(0.003)
        source, target = (self.domain.daemons[name] for name in self.ends)
        if source.is_unreachable or target.is_unreachable or target.is_dead:
            raise LinkError('injected')
        if target.is_faulty:
            raise CurrantreachError('injected')
        return getattr(target.membership, method)(message)


class DaemonStore:
    """Store access of one daemon, which can fail for it alone."""

    def __init__(self, store):
        self.store = store
        self.is_down = False

    def __getattr__(self, name):
        if self.is_down:
            raise StoreUnavailableError('injected')
        return getattr(self.store, name)


class Daemon:
    """Membership of one daemon, and the peer table that it uses."""

    def __init__(self, domain, name, fencing):
        self.domain = domain
        self.name = name
        self.is_unreachable = False
        self.is_dead = False
        self.is_faulty = False
        self.started = []
        self.store = DaemonStore(domain.store)
        self.membership = Membership(
            DaemonSettings(
                daemon_id=name,
                failure_domain='dom',
                http_host='127.0.0.1',
                http_port=1,
                peer_host='127.0.0.1',
                peer_port=2,
                domains=('dom',),
                store_url='http://127.0.0.1:3',
                host_list_url='http://127.0.0.1:4',
                worker_fencing=fencing,
            ),
            domain.clock,
            self.store,
        )
        self.membership.peers = self
        self.membership.make_owner = self.make_owner
        self.peers = {
            other: Peer(
                peer_id=other,
                domain='dom',
                link=FakeLink(domain, name, other),
            )
            for other in NAMES
            if other != name
        }
        self.tasks = [
            asyncio.create_task(self.membership.run_renewals()),
            asyncio.create_task(self.membership.claim_partitions()),
        ]

    def make_owner(self, claim, is_vote_complete):
        """Record and return a new owner."""
        self.started.append((claim.epoch, is_vote_complete))
        return FakeOwner(claim)

    def announce(self):
        """Do nothing; the heartbeats are always up to date here."""

    def reachable(self):
        """Return the reachable peers, with their current heartbeats."""
        if self.is_unreachable:
            return ()
        others = [self.domain.daemons.get(name) for name in self.peers]
        present = [
            other
            for other in others
            if other and not (other.is_unreachable or other.is_dead)
        ]
        for other in present:
            member = other.membership
            self.peers[other.name].heartbeat = Heartbeat(
                daemon_id=other.name,
                domain='dom',
                session_id=member.session_id,
                config_revision=1,
                config_age_s=0,
                has_store=member.has_store,
                is_leaving=member.is_leaving,
            )
        return tuple(self.peers[other.name] for other in present)

    def can_start_tasks(self):
        """Return whether an owner of this daemon may start tasks."""
        in_time = (
            self.domain.clock.now_s() < self.membership.claim_valid_until_s()
        )
        return bool(self.membership.owners) and in_time

    async def kill(self):
        """Stop without a transfer of claims."""
        self.is_dead = True
        for task in self.tasks:
            task.cancel()
        await asyncio.wait(self.tasks)
        self.membership.owners.clear()


class Domain:
    """Daemons of one failure domain."""

    def __init__(self, clock, store):
        self.clock = clock
        self.store = store
        self.daemons = {}

    def owner(self):
        """Return the daemon that may start tasks; fail if there are two."""
        candidates = [
            daemon
            for daemon in self.daemons.values()
            if daemon.can_start_tasks()
        ]
        assert len(candidates) <= 1, [daemon.name for daemon in candidates]
        return candidates[0] if candidates else None

    def others(self):
        """Return the daemons without a claim."""
        owner = self.owner()
        return [
            daemon for daemon in self.daemons.values() if daemon is not owner
        ]

    async def advance(self, duration_s):
        """Advance the time; return the successive owners seen meanwhile."""
        seen = []
        end_s = self.clock.now_s() + duration_s
        while self.clock.now_s() < end_s:
            await asyncio.sleep(0.05)
            owner = self.owner()
            if not seen or seen[-1] is not owner:
                seen.append(owner)
        return seen


@pytest.fixture
def simulate_domain(simulate, new_store):
    """Return a function that runs a scenario on three daemons."""

    def run_scenario(scenario, fencing=WorkerFencing.enforced):
        async def run_all(cell):
            domain = Domain(cell.clock, new_store(cell.clock))
            for name in NAMES:
                domain.daemons[name] = Daemon(domain, name, fencing)
            await domain.advance(10)
            assert domain.owner() is not None
            await scenario(domain)
            for daemon in domain.daemons.values():
                await daemon.kill()

        simulate(run_all)

    return run_scenario


@pytest.mark.parametrize('number', [0, 1])
def test_peer_answers_with_error(simulate_domain, number):
    """Guard against a daemon that an error in a peer's answer stops."""

    async def scenario(domain):
        owner = domain.owner()
        others = domain.others()
        others[number].is_faulty = True
        for daemon in domain.daemons.values():
            daemon.store.is_down = True
        await domain.advance(5)
        assert not any(running.done() for running in owner.tasks)
        for daemon in domain.daemons.values():
            daemon.store.is_down = False
        await domain.advance(5)
        await owner.kill()
        await domain.advance(10)
        assert domain.owner() in others
        for daemon in others:
            assert not any(running.done() for running in daemon.tasks)

    simulate_domain(scenario)


def test_owner_dies(simulate_domain):
    """Guard against a dead owner without a successor, or one too early.

    Property: no task runs in two places.
    """

    async def scenario(domain):
        first = domain.owner()
        await first.kill()
        assert await domain.advance(3) == [None]
        await domain.advance(10)
        successor = domain.owner()
        epochs = first.started + successor.started
        assert [epoch for epoch, _ in epochs] == [1, 2]
        assert successor.started[-1][1] is True

    simulate_domain(scenario)


def test_store_down_for_all(simulate_domain):
    """Guard against an owner that stops or is replaced in a store outage."""

    async def scenario(domain):
        first = domain.owner()
        domain.store.faults['all'] = 'down'
        assert await domain.advance(60) == [first]
        domain.store.faults.clear()
        seen = await domain.advance(30)
        assert set(seen) - {None} == {first} or seen[-1].started[0][0] == 2

    simulate_domain(scenario)


def test_store_down_for_owner(simulate_domain):
    """Guard against a takeover by a peer with an outstanding lease.

    Property: no task runs in two places.
    """

    async def scenario(domain):
        first = domain.owner()
        first.store.is_down = True
        seen = await domain.advance(40)
        assert seen[-1] is not None
        assert len({daemon.name for daemon in seen if daemon}) <= 2

    simulate_domain(scenario)


def test_owner_isolated(simulate_domain):
    """Guard against an isolated owner that continues past its deadline.

    Property: no task runs in two places.
    """

    async def scenario(domain):
        first = domain.owner()
        first.store.is_down = True
        first.is_unreachable = True
        seen = await domain.advance(30)
        assert seen[0] is first
        assert seen[-1] not in {None, first}
        assert first.can_start_tasks() is False

    simulate_domain(scenario)


def test_missing_vote(simulate_domain):
    """Guard against a takeover without the vote of an unreachable peer.

    The workers are not fenced here, so the peer may still hold the claim.
    """

    async def scenario(domain):
        first = domain.owner()
        unreachable = domain.others()[0]
        unreachable.is_unreachable = True
        await first.kill()
        await domain.advance(60)
        assert domain.owner() is None

    simulate_domain(scenario, WorkerFencing.none)


def test_missing_vote_but_fenced(simulate_domain):
    """Guard against a takeover of fenced workers that waits for a vote."""

    async def scenario(domain):
        first = domain.owner()
        unreachable = domain.others()[0]
        unreachable.is_unreachable = True
        unreachable.store.is_down = True
        await first.kill()
        await domain.advance(20)
        assert domain.owner().started[-1][1] is False

    simulate_domain(scenario)


def test_owner_ends(simulate_domain):
    """Guard against two successive owners with the same epoch.

    Property: unrepeatable work runs at most once.
    """

    async def scenario(domain):
        first = domain.owner()
        for owner in first.membership.owners.values():
            owner.lost.set()
        await domain.advance(5)
        epochs = [
            epoch
            for daemon in domain.daemons.values()
            for epoch, _ in daemon.started
        ]
        assert sorted(epochs) == [1, 2]

    simulate_domain(scenario)


def test_transfer_on_stop(simulate_domain):
    """Guard against a stopping daemon that does not transfer its claim.

    Property: a graceful stop interrupts no request.
    """

    async def scenario(domain):
        first = domain.owner()
        first.membership.is_leaving = True
        await first.membership.transfer_claims()
        await first.kill()
        await domain.advance(2)
        successor = domain.owner()
        assert successor.started == [(3, True)]

    simulate_domain(scenario)


def test_frozen_owner(simulate_domain):
    """Guard against task starts of an owner that resumes after a takeover.

    The owner was frozen, so it did not notice that it lost its claim.

    Property: no task runs in two places.
    """

    async def scenario(domain):
        first = domain.owner()
        for task in first.tasks:
            task.cancel()
        first.is_unreachable = True
        await domain.advance(20)
        assert domain.owner() is not first
        first.is_unreachable = False
        first.tasks = [asyncio.create_task(first.membership.run_renewals())]
        seen = await domain.advance(10)
        assert first not in seen
        assert not first.membership.owners

    simulate_domain(scenario)
