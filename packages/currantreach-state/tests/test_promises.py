"""Tests of promises, and of ownership as a whole."""

from __future__ import annotations

from hypothesis import HealthCheck, settings
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
    ClaimKeeper,
    PromiseBook,
    PromiseRun,
    Roster,
    Session,
    TakeoverRule,
)
from currantreach_types import ManualClock
from currantreach_types.errors import PlatformError

DOMAIN = 'north-1'
DAEMONS = ('a', 'b', 'c')
LIMIT_S = 20
FAULTS = (None, None, None, 'down', 'lost', 'late')


class Process:
    """One daemon, as far as its right to start tasks is concerned."""

    def __init__(self, world, daemon_id):
        self.world = world
        self.daemon_id = daemon_id
        self.session = Session(world.store, world.clock, DOMAIN, daemon_id)
        self.roster = Roster(world.store, DOMAIN)
        self.keeper = ClaimKeeper(world.store, DOMAIN, daemon_id, self.session)
        self.rule = TakeoverRule(world.clock, LIMIT_S)
        self.run = PromiseRun(world.clock, LIMIT_S)
        self.book = None
        self.claim = None
        self.peers = frozenset()
        self.steps = None

    @property
    def may_start(self):
        if self.claim is None or not self.keeper.is_current(self.claim):
            return False
        return self.world.clock.now_s() < self.run.valid_until_s()

    async def renew(self):
        sent_at_s = self.world.clock.now_s()
        if not await self.session.renew():
            self.claim = None
            self.run = PromiseRun(self.world.clock, LIMIT_S)
        session_id = self.session.session_id
        view = await self.roster.join(self.daemon_id, session_id, 'address')
        absent_revision = view.members[self.daemon_id].absent_revision
        if self.book is None or self.book.absent_revision != absent_revision:
            self.book = PromiseBook(self.world.clock, absent_revision)
        self.peers = frozenset(view.members) - {self.daemon_id}
        self.run.note_renewal(
            sent_at_s, self.session.deadline_s, self.peers, view.revision
        )

    async def take(self):
        seen = await self.keeper.read(0)
        if seen is not None and seen.owner != self.daemon_id:
            if not await self._may_take_from(seen):
                return
        self.claim = await self.keeper.take(0, seen)

    async def hand_over(self):
        claim = self.claim
        self.claim = None
        members = (await self.roster.members()).members
        successors = sorted(set(members) - {self.daemon_id})
        if claim and successors:
            session_id = members[successors[0]].session_id
            await self.keeper.hand_over(claim, successors[0], session_id)

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
        if self.book is not None:
            self.book.close()
        await self.roster.leave(self.daemon_id, self.session.session_id)
        await self.session.close()

    async def _may_take_from(self, seen):
        holder = seen.session_id
        if not await self.keeper.is_released(seen):
            return False
        self.rule.note_gone(holder)
        self.book.refuse(holder)
        members = (await self.roster.members()).members
        if self.daemon_id not in members:
            return False
        consents = [self.book.consent(holder)]
        others = sorted(set(members) - {self.daemon_id, seen.owner})
        while others:
            consents.extend(await self._consent_of(others.pop(), holder))
        return self.rule.allows(holder, consents, is_fenced=False)

    async def _consent_of(self, daemon_id, holder):
        fault = await self.world.pausing()
        peer = self.world.processes.get(daemon_id)
        if fault or peer is None or peer.book is None:
            return []
        consent = peer.book.consent(holder)
        await self.world.pausing()
        return [consent]


class Ownership(RuleBasedStateMachine):
    """Daemons that pause, restart and lose the store and each other."""

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
        self.complete('a', 'take')
        self.pass_time(4, without_store='', silent='', takers='')

    @rule(daemon_id=st.sampled_from(DAEMONS))
    def boot(self, daemon_id):
        """Start a process, in place of a running one of the same id."""
        self.processes[daemon_id] = Process(self, daemon_id)
        self.begin(daemon_id, 'renew')
        self.finish(daemon_id)

    @rule(daemon_id=st.sampled_from(DAEMONS))
    def kill(self, daemon_id):
        self.processes.pop(daemon_id, None)

    @rule(
        daemon_id=st.sampled_from(DAEMONS),
        name=st.sampled_from(
            ('renew', 'renew', 'take', 'take', 'hand_over', 'prune', 'leave')
        ),
    )
    def begin(self, daemon_id, name):
        process = self.processes.get(daemon_id)
        if process is None or process.steps is not None:
            return
        if process.book is not None or name == 'renew':
            process.steps = getattr(process, name)()
            self.step(daemon_id, None)

    @rule(daemon_id=st.sampled_from(DAEMONS), fault=st.sampled_from(FAULTS))
    def step(self, daemon_id, fault):
        process = self.processes.get(daemon_id)
        if process is None or process.steps is None:
            return
        is_started = process.steps.cr_suspended
        try:
            process.steps.send(fault if is_started else None)
        except StopIteration:
            process.steps = None
        except PlatformError:
            process.steps = None

    @rule(daemon_id=st.sampled_from(DAEMONS))
    def finish(self, daemon_id):
        process = self.processes.get(daemon_id)
        while process is not None and process.steps is not None:
            self.step(daemon_id, None)

    @rule(
        daemon_id=st.sampled_from(DAEMONS),
        name=st.sampled_from(('renew', 'take', 'prune')),
    )
    def complete(self, daemon_id, name):
        """Do something from start to end without a fault."""
        self.finish(daemon_id)
        self.begin(daemon_id, name)
        self.finish(daemon_id)

    @rule(step_s=st.sampled_from((0.5, 1, 3)))
    def advance(self, step_s):
        self.clock.advance(step_s)

    @rule(
        seconds=st.integers(1, 6),
        without_store=st.sampled_from(('', 'a', 'b', 'ab', 'abc')),
        silent=st.sampled_from(('', 'a', 'b', 'bc')),
        takers=st.sampled_from(('', 'a', 'b', 'c', 'bc')),
    )
    def pass_time(self, seconds, without_store, silent, takers):
        """Let daemons do once a second what they do in normal operation."""
        while seconds:
            seconds -= 1
            for daemon_id in DAEMONS:
                if daemon_id not in silent:
                    self._live(
                        daemon_id,
                        has_store=daemon_id not in without_store,
                        is_taker=daemon_id in takers,
                    )
            self.clock.advance(1)
            self.has_one_owner()

    @rule(daemon_id=st.sampled_from(DAEMONS))
    def ask(self, daemon_id):
        """Ask all required peers for promises."""
        process = self.processes.get(daemon_id)
        if process is None:
            return
        number = process.run.begin_round(self.clock.now_s())
        self.messages += [
            (self._give, process, process.session.session_id, number, peer_id)
            for peer_id in sorted(process.run.required)
        ]

    @rule(daemon_id=st.sampled_from(DAEMONS))
    def exchange(self, daemon_id):
        """Ask for promises and receive all of them at once."""
        kept = self.messages
        self.messages = []
        self.ask(daemon_id)
        while self.messages:
            self.deliver(0)
        self.messages = kept

    @precondition(lambda machine: machine.messages)
    @rule(index=st.integers(0, 5))
    def deliver(self, index):
        handle, *message = self.messages.pop(index % len(self.messages))
        handle(*message)

    @precondition(lambda machine: machine.messages)
    @rule(index=st.integers(0, 5))
    def drop(self, index):
        self.messages.pop(index % len(self.messages))

    @precondition(lambda machine: machine.store.late)
    @rule()
    def land(self):
        self.store.land()

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

    def _live(self, daemon_id, *, has_store, is_taker):
        if has_store:
            self.complete(daemon_id, 'renew')
        self.exchange(daemon_id)
        if has_store and is_taker:
            self.complete(daemon_id, 'take')
        self.has_one_owner()

    def _give(self, asker, holder, number, peer_id):
        peer = self.processes.get(peer_id)
        revision = asker.run.roster_revision
        if peer is not None and peer.book is not None:
            if peer.book.give(holder, 3, revision):
                view = (peer.peers | {peer_id}) - {asker.daemon_id}
                self.messages.append(
                    (self._record, asker, holder, number, peer_id, view)
                )

    def _record(self, asker, holder, number, peer_id, view):
        if asker.session.session_id == holder:
            asker.run.record(number, peer_id, 3, view)


def test_one_owner_at_a_time(new_store, pausing):
    """Guard against two daemons starting tasks of one partition."""
    run_state_machine_as_test(
        lambda: Ownership(new_store, pausing),
        settings=settings(
            max_examples=400,
            stateful_step_count=60,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
