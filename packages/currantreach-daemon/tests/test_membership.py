"""Tests of sessions, promises, takeovers and handing over."""

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
    """Owner that runs until it is told to end."""

    def __init__(self, claim):
        self.claim = claim
        self.lost = asyncio.Event()

    async def run(self):
        await self.lost.wait()


class FakeLink:
    """Link from one daemon to another, which can be cut."""

    def __init__(self, domain, source, target):
        self.domain = domain
        self.ends = (source, target)

    async def call(self, method, message, kind, timeout_s):
        await asyncio.sleep(0.003)
        source, target = (self.domain.daemons[name] for name in self.ends)
        if source.is_cut or target.is_cut or target.is_dead:
            raise LinkError('injected')
        if target.is_faulty:
            raise CurrantreachError('injected')
        return getattr(target.membership, method)(message)


class OwnStore:
    """The store as one daemon reaches it."""

    def __init__(self, store):
        self.store = store
        self.is_down = False

    def __getattr__(self, name):
        if self.is_down:
            raise StoreUnavailableError('injected')
        return getattr(self.store, name)


class Daemon:
    """Membership of one daemon."""

    def __init__(self, domain, name, fencing):
        self.domain = domain
        self.name = name
        self.is_cut = False
        self.is_dead = False
        self.is_faulty = False
        self.started = []
        self.store = OwnStore(domain.store)
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
        """Note and return a new owner."""
        self.started.append((claim.epoch, is_vote_complete))
        return FakeOwner(claim)

    def announce(self):
        """Do nothing; heartbeats of the test are always up to date."""

    def reachable(self):
        """Return the peers whose heartbeats arrive."""
        if self.is_cut:
            return ()
        others = [self.domain.daemons.get(name) for name in self.peers]
        present = [
            other
            for other in others
            if other and not (other.is_cut or other.is_dead)
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

    def may_start(self):
        """Tell whether an owner of this daemon may start tasks."""
        in_time = self.domain.clock.now_s() < self.membership.deadline_s()
        return bool(self.membership.owners) and in_time

    async def die(self):
        """End without a word."""
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
        """Return the daemon that may start tasks; check there is one."""
        able = [
            daemon for daemon in self.daemons.values() if daemon.may_start()
        ]
        assert len(able) <= 1, [daemon.name for daemon in able]
        return able[0] if able else None

    def others(self):
        """Return the daemons that own nothing."""
        owner = self.owner()
        return [known for known in self.daemons.values() if known is not owner]

    async def step(self, duration_s):
        """Let time pass; return the owners seen, without repetition."""
        seen = []
        end_s = self.clock.now_s() + duration_s
        while self.clock.now_s() < end_s:
            await asyncio.sleep(0.05)
            owner = self.owner()
            if not seen or seen[-1] is not owner:
                seen.append(owner)
        return seen


@pytest.fixture
def play(simulate, new_store):
    """Return a function that plays a scenario on three daemons."""

    def play_on(scenario, fencing=WorkerFencing.enforced):
        async def whole(cell):
            domain = Domain(cell.clock, new_store(cell.clock))
            for name in NAMES:
                domain.daemons[name] = Daemon(domain, name, fencing)
            await domain.step(10)
            assert domain.owner() is not None
            await scenario(domain)
            for daemon in domain.daemons.values():
                await daemon.die()

        simulate(whole)

    return play_on


@pytest.mark.parametrize('number', [0, 1])
def test_peer_answers_with_error(play, number):
    """A peer whose handlers fail ends the daemons that ask it."""

    async def scenario(domain):
        owner = domain.owner()
        others = domain.others()
        others[number].is_faulty = True
        for daemon in domain.daemons.values():
            daemon.store.is_down = True
        await domain.step(5)
        assert not any(running.done() for running in owner.tasks)
        for daemon in domain.daemons.values():
            daemon.store.is_down = False
        await domain.step(5)
        await owner.die()
        await domain.step(10)
        assert domain.owner() in others
        for daemon in others:
            assert not any(running.done() for running in daemon.tasks)

    play(scenario)


def test_owner_dies(play):
    """A dead owner has no successor, or one too early (P2)."""

    async def scenario(domain):
        first = domain.owner()
        await first.die()
        assert await domain.step(3) == [None]
        await domain.step(10)
        successor = domain.owner()
        epochs = first.started + successor.started
        assert [epoch for epoch, _ in epochs] == [1, 2]
        assert successor.started[-1][1] is True

    play(scenario)


def test_store_down_for_all(play):
    """An outage of the store stops an owner, or lets a peer take over."""

    async def scenario(domain):
        first = domain.owner()
        domain.store.faults['all'] = 'down'
        assert await domain.step(60) == [first]
        domain.store.faults.clear()
        seen = await domain.step(30)
        assert set(seen) - {None} == {first} or seen[-1].started[0][0] == 2

    play(scenario)


def test_store_down_for_owner(play):
    """A peer takes over while its promise is outstanding (P2)."""

    async def scenario(domain):
        first = domain.owner()
        first.store.is_down = True
        seen = await domain.step(40)
        assert seen[-1] is not None
        assert len({daemon.name for daemon in seen if daemon}) <= 2

    play(scenario)


def test_owner_isolated(play):
    """An owner without store and peers goes on past its deadline (P2)."""

    async def scenario(domain):
        first = domain.owner()
        first.store.is_down = True
        first.is_cut = True
        seen = await domain.step(30)
        assert seen[0] is first
        assert seen[-1] not in {None, first}
        assert first.may_start() is False

    play(scenario)


def test_no_consent(play):
    """A takeover needs no consent of a peer that it cannot reach."""

    async def scenario(domain):
        first = domain.owner()
        unheard = domain.others()[0]
        unheard.is_cut = True
        await first.die()
        await domain.step(60)
        assert domain.owner() is None

    play(scenario, WorkerFencing.none)


def test_no_consent_but_fenced(play):
    """A takeover of fenced workers waits for a peer that is unreachable."""

    async def scenario(domain):
        first = domain.owner()
        unheard = domain.others()[0]
        unheard.is_cut = True
        unheard.store.is_down = True
        await first.die()
        await domain.step(20)
        assert domain.owner().started[-1][1] is False

    play(scenario)


def test_owner_ends(play):
    """An owner that ended is followed by one of the same epoch (P7)."""

    async def scenario(domain):
        first = domain.owner()
        for owner in first.membership.owners.values():
            owner.lost.set()
        await domain.step(5)
        epochs = [
            epoch
            for daemon in domain.daemons.values()
            for epoch, _ in daemon.started
        ]
        assert sorted(epochs) == [1, 2]

    play(scenario)


def test_hand_over(play):
    """A daemon that stops leaves its partition without an owner (P9)."""

    async def scenario(domain):
        first = domain.owner()
        first.membership.is_leaving = True
        await first.membership.transfer_claims()
        await first.die()
        await domain.step(2)
        successor = domain.owner()
        assert successor.started == [(3, True)]

    play(scenario)


def test_frozen_owner(play):
    """An owner that wakes up after a takeover starts tasks (P2)."""

    async def scenario(domain):
        first = domain.owner()
        for task in first.tasks:
            task.cancel()
        first.is_cut = True
        await domain.step(20)
        assert domain.owner() is not first
        first.is_cut = False
        first.tasks = [asyncio.create_task(first.membership.run_renewals())]
        seen = await domain.step(10)
        assert first not in seen
        assert not first.membership.owners

    play(scenario)
