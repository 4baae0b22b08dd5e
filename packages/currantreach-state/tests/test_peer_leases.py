"""Tests of peer leases, and of ownership as a whole."""

from __future__ import annotations

import pytest
from hypothesis import HealthCheck
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from currantreach_state import (
    ClaimStore,
    PeerLeaseGrantor,
    PeerLeaseHolder,
    Roster,
    Session,
    TakeoverRule,
    TakeoverVote,
)
from currantreach_types import ManualClock
from currantreach_types.errors import PlatformError

DOMAIN = 'north-1'
DAEMONS = ('a', 'b', 'c')
LIMIT_S = 20
ACTIVITIES = (
    'renew',
    'renew',
    'acquire',
    'acquire',
    'transfer',
    'prune',
    'leave',
)
FAULTS = (None, None, None, 'down', 'lost', 'late')


class Process:
    """Model of a daemon, reduced to its right to start tasks."""

    def __init__(self, world, daemon_id):
        self.world = world
        self.daemon_id = daemon_id
        self.session = Session(world.store, world.clock, DOMAIN, daemon_id)
        self.roster = Roster(world.store, DOMAIN)
        self.claims = ClaimStore(world.store, DOMAIN, daemon_id, self.session)
        self.rule = TakeoverRule(world.clock, LIMIT_S)
        self.lease_holder = PeerLeaseHolder(world.clock, LIMIT_S)
        self.grantor = None
        self.claim = None
        self.peers = frozenset()
        self.steps = None

    @property
    def may_start(self):
        if self.claim is None or not self.claims.is_current(self.claim):
            return False
        return self.world.clock.now_s() < self.lease_holder.valid_until_s()

    async def renew(self):
        sent_at_s = self.world.clock.now_s()
        if not await self.session.renew():
            self.claim = None
            self.lease_holder = PeerLeaseHolder(self.world.clock, LIMIT_S)
        session_id = self.session.session_id
        view = await self.roster.join(self.daemon_id, session_id, 'address')
        absent_revision = view.members[self.daemon_id].absent_revision
        if (
            self.grantor is None
            or self.grantor.absent_revision != absent_revision
        ):
            self.grantor = PeerLeaseGrantor(self.world.clock, absent_revision)
        self.peers = frozenset(view.members) - {self.daemon_id}
        self.lease_holder.record_renewal(
            sent_at_s, self.session.deadline_s, self.peers, view.revision
        )

    async def acquire(self):
        current_claim = await self.claims.read(0)
        if current_claim is not None and current_claim.owner != self.daemon_id:
            if not await self._may_take_over_from(current_claim):
                return
        self.claim = await self.claims.acquire(0, current_claim)

    async def transfer(self):
        claim = self.claim
        self.claim = None
        members = (await self.roster.members()).members
        successors = sorted(set(members) - {self.daemon_id})
        if claim and successors:
            session_id = members[successors[0]].session_id
            await self.claims.transfer(claim, successors[0], session_id)

    async def prune(self):
        members = (await self.roster.members()).members
        others = sorted(set(members) - {self.daemon_id})
        while others:
            daemon_id = others.pop()
            key = f'members/{DOMAIN}/{daemon_id}'
            if await self.world.store.get(key) is None:
                session_id = members[daemon_id].session_id
                await self.roster.leave(daemon_id, session_id)

    async def leave(self):
        self.claim = None
        if self.grantor is not None:
            self.grantor.close()
        await self.roster.leave(self.daemon_id, self.session.session_id)
        await self.session.close()

    async def _may_take_over_from(self, current_claim):
        holder = current_claim.session_id
        if not await self.claims.is_claimable(current_claim):
            return False
        self.rule.record_session_end(holder)
        self.grantor.refuse(holder)
        members = (await self.roster.members()).members
        if self.daemon_id not in members:
            return False
        votes = [self.grantor.vote_on_takeover(holder)]
        others = sorted(set(members) - {self.daemon_id, current_claim.owner})
        while others:
            votes.extend(await self._vote_of(others.pop(), holder))
        return self.rule.allows(holder, votes, is_fenced=False)

    async def _vote_of(self, daemon_id, holder):
        fault = await self.world.pausing()
        peer = self.world.processes.get(daemon_id)
        if fault or peer is None or peer.grantor is None:
            return []
        vote = peer.grantor.vote_on_takeover(holder)
        await self.world.pausing()
        return [vote]


class Ownership(RuleBasedStateMachine):
    """Daemons that pause, restart and are partitioned."""

    def __init__(self, new_store, pausing):
        super().__init__()
        self.clock = ManualClock(100)
        self.store = new_store(self.clock)
        self.pausing = pausing
        self.processes = {}
        self.messages = []

    @initialize(count=st.integers(1, 3))
    def boot_all(self, count):
        for daemon_id in DAEMONS[:count]:
            self.boot(daemon_id)
        self.complete('a', 'acquire')
        self.pass_time(4, '', '', '', '')

    @rule(daemon_id=st.sampled_from(DAEMONS))
    def boot(self, daemon_id):
        """Start a process, replacing a running one with the same id."""
        self.processes[daemon_id] = Process(self, daemon_id)
        self._begin(daemon_id, 'renew')
        self.finish(daemon_id)

    @rule(daemon_id=st.sampled_from(DAEMONS))
    def kill(self, daemon_id):
        self.processes.pop(daemon_id, None)

    @rule(
        victim=st.sampled_from('aaabc'),
        name=st.sampled_from(ACTIVITIES),
        step_count=st.integers(0, 9),
        fault=st.sampled_from(FAULTS),
        seconds=st.sampled_from((1, 2, 3, 4, 4, 5, 6)),
        cut_off=st.sampled_from(('silent', 'silent', 'storeless', 'killed')),
        claimants=st.sampled_from(('b', 'c', 'bc', 'ab')),
    )
    def incident(
        self, victim, name, step_count, fault, seconds, cut_off, claimants
    ):
        """Isolate a daemon in the middle of an activity, then resume it."""
        self.finish(victim)
        self._begin(victim, name)
        while step_count:
            step_count -= 1
            self.step(victim, None if step_count else fault)
        if cut_off == 'killed':
            self.kill(victim)
        silent = victim if cut_off == 'silent' else ''
        self.pass_time(seconds, victim, silent, victim, claimants)
        self.finish(victim)

    @rule(daemon_id=st.sampled_from(DAEMONS), fault=st.sampled_from(FAULTS))
    def step(self, daemon_id, fault):
        process = self.processes.get(daemon_id)
        if process is None or process.steps is None:
            return
        try:
            process.steps.send(fault)
        except (StopIteration, PlatformError):
            process.steps = None

    @rule(daemon_id=st.sampled_from(DAEMONS))
    def finish(self, daemon_id):
        process = self.processes.get(daemon_id)
        while process is not None and process.steps is not None:
            self.step(daemon_id, None)

    @rule(
        daemon_id=st.sampled_from(DAEMONS),
        name=st.sampled_from(ACTIVITIES),
    )
    def complete(self, daemon_id, name):
        """Run an activity from start to end without a fault."""
        self.finish(daemon_id)
        self._begin(daemon_id, name)
        self.finish(daemon_id)

    @rule(
        seconds=st.sampled_from((0.5, 1, 2, 3, 4, 5, 6)),
        without_store=st.sampled_from(('', 'a', 'a', 'b', 'ab', 'abc')),
        silent=st.sampled_from(('', '', 'a', 'b', 'bc')),
        delayed=st.sampled_from(('', '', 'a', 'b')),
        claimants=st.sampled_from(('', 'a', 'b', 'c', 'bc')),
    )
    def pass_time(self, seconds, without_store, silent, delayed, claimants):
        """Run the periodic activities of all daemons once a second.

        Silent daemons do nothing, and replies to delayed ones are queued.
        """
        while seconds > 0:
            for daemon_id in sorted(set(DAEMONS) - set(silent)):
                self._run_normally(daemon_id, without_store, delayed, claimants)
            self.clock.advance(min(1, seconds))
            seconds -= 1
            self.has_one_owner()

    @precondition(lambda machine: machine.messages)
    @rule(count=st.integers(1, 4))
    def deliver(self, count):
        """Deliver the latest messages and drop the others."""
        messages = self.messages[-count:]
        self.messages = []
        for handle, *message in messages:
            handle(*message)

    @precondition(lambda machine: machine.store.late)
    @rule()
    def apply_late_call(self):
        self.store.apply_late_call()

    @invariant()
    def has_one_owner(self):
        owners = [
            process.daemon_id
            for process in self.processes.values()
            if process.may_start
        ]
        assert len(owners) < 2, owners

    def teardown(self):
        for process in self.processes.values():
            if process.steps is not None:
                process.steps.close()

    def _begin(self, daemon_id, name):
        process = self.processes.get(daemon_id)
        if process is not None and (process.grantor or name == 'renew'):
            process.steps = getattr(process, name)()
            self.step(daemon_id, None)

    def _run_normally(self, daemon_id, without_store, delayed, claimants):
        has_store = daemon_id not in without_store
        if has_store:
            self.complete(daemon_id, 'renew')
        self._exchange(daemon_id, is_delayed=daemon_id in delayed)
        if has_store and daemon_id in claimants:
            self.complete(daemon_id, 'acquire')

    def _exchange(self, daemon_id, *, is_delayed):
        process = self.processes.get(daemon_id)
        if process is None:
            return
        number = process.lease_holder.begin_round(self.clock.now_s())
        replies = []
        for peer_id in sorted(process.lease_holder.required):
            replies.extend(self._grant(process, number, peer_id))
        if is_delayed:
            self.messages += replies
            return
        for handle, *message in replies:
            handle(*message)

    def _grant(self, asker, number, peer_id):
        peer = self.processes.get(peer_id)
        if peer is None or peer.grantor is None:
            return []
        holder = asker.session.session_id
        if not peer.grantor.grant(
            holder, 3, asker.lease_holder.roster_revision
        ):
            return []
        view = (peer.peers | {peer_id}) - {asker.daemon_id}
        return [(self._record, asker, holder, number, peer_id, view)]

    def _record(self, asker, holder, number, peer_id, view):
        if asker.session.session_id == holder:
            asker.lease_holder.record_grant(number, peer_id, 3, view)


def test_one_owner_at_a_time(new_store, pausing, machine_settings):
    """Guard against two daemons starting tasks of one partition."""
    run_state_machine_as_test(
        lambda: Ownership(new_store, pausing),
        settings=machine_settings(
            600,
            30,
            suppress_health_check=list(HealthCheck),
        ),
    )


@pytest.fixture
def lease_holder(clock):
    """Return a lease holder that was renewed and requires ``b``."""
    holder = PeerLeaseHolder(clock, LIMIT_S)
    holder.record_renewal(100, 103.5, {'b'}, roster_revision=5)
    return holder


def test_leases_count_from_their_own_round(lease_holder, clock):
    """Guard against a lease that lasts longer for its holder than granted."""
    first = lease_holder.begin_round(100)
    assert lease_holder.deadline_s() is None
    clock.advance(2)
    lease_holder.begin_round(102)
    lease_holder.record_grant(first, 'b', 3, {'b'})
    assert lease_holder.deadline_s() == pytest.approx(102.5)
    third = lease_holder.begin_round(102)
    lease_holder.record_grant(third, 'b', 3, {'b', 'c'})
    assert lease_holder.deadline_s() is None
    lease_holder.record_grant(third, 'c', 2, {'b', 'c'})
    assert lease_holder.deadline_s() == pytest.approx(103.5)
    lease_holder.record_grant(third, 'c', 3000, {'b', 'c'})
    lease_holder.record_grant(third, 'b', 3000, {'b', 'c'})
    assert lease_holder.deadline_s() == 100 + LIMIT_S


def test_expiry_is_final_until_renewal(lease_holder, clock):
    """Guard against a holder that resumes after a successor took over."""
    clock.advance(4)
    number = lease_holder.begin_round(104)
    lease_holder.record_grant(number, 'b', 3)
    assert lease_holder.deadline_s() is None
    lease_holder.record_renewal(100, 103.9, set(), roster_revision=6)
    assert lease_holder.deadline_s() is None
    assert lease_holder.required == {'b'}
    lease_holder.record_renewal(104, 107.5, {'b'}, roster_revision=6)
    assert lease_holder.valid_until_s() == pytest.approx(107.5)


def test_votes(clock):
    """Guard against a vote while an earlier lease may be outstanding."""
    grantor = PeerLeaseGrantor(clock, absent_revision=5)
    assert not grantor.vote_on_takeover('s').is_given
    clock.advance(3)
    assert grantor.grant('early', 3, 5)
    assert grantor.grant('s', 3, 6)
    assert not grantor.grant('s', 3.1, 6)
    clock.advance(2.9)
    assert not grantor.vote_on_takeover('s').is_given
    clock.advance(0.2)
    assert grantor.vote_on_takeover('s') == TakeoverVote(
        is_given=True, was_asked=True
    )
    assert grantor.vote_on_takeover('early') == TakeoverVote(
        is_given=True, was_asked=False
    )
    assert not grantor.grant('s', 3, 6)
    grantor.close()
    assert not grantor.vote_on_takeover('s').is_given


def test_takeover_rule(clock):
    """Guard against a takeover without a vote of a required daemon."""
    takeover = TakeoverRule(clock, LIMIT_S)
    asked = TakeoverVote(is_given=True, was_asked=True)
    unasked = TakeoverVote(is_given=True, was_asked=False)
    withheld = TakeoverVote(is_given=False, was_asked=False)
    assert not takeover.allows('s', [asked], is_fenced=True)
    takeover.record_session_end('s')
    assert takeover.allows('s', [asked, unasked], is_fenced=False)
    assert takeover.allows('s', [unasked], is_fenced=True)
    assert not takeover.allows('s', [unasked], is_fenced=False)
    assert not takeover.allows('s', [asked, withheld], is_fenced=True)
    clock.advance(LIMIT_S)
    assert takeover.allows('s', [unasked], is_fenced=False)
