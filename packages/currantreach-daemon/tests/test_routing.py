"""Tests of the router, the peer table and the host list."""

from __future__ import annotations

import asyncio

import attrs
import pytest

from currantreach_config import CellConfig, ConfigRecord, DaemonSettings
from currantreach_daemon._heartbeats import pack_heartbeat
from currantreach_daemon._host_list import HostListWatcher, partition_of
from currantreach_daemon._messages import Heartbeat, OwnedPartition
from currantreach_daemon._peers import Peer, PeerTable
from currantreach_daemon._requests import not_run_answer
from currantreach_daemon._router import Router
from currantreach_links import NotSentError
from currantreach_state import Claim, ConfigKeeper
from currantreach_types import (
    Answer,
    HostState,
    ManualClock,
    PolicyKind,
    RequestState,
    Resources,
    TaskSpec,
    WorkerInfo,
    encode_json,
    refusals,
)
from currantreach_types.errors import (
    CurrantreachError,
    LinkError,
    StoreUnavailableError,
)

ID = 'far.0.2.one'
SPEC = TaskSpec(
    request_id=ID,
    team='tine',
    queue='scan',
    workload='scan',
    policy=PolicyKind.batch,
    resources=Resources(1),
)
BEAT = Heartbeat(
    daemon_id='p0',
    domain='far',
    session_id='s',
    config_revision=1,
    config_age_s=0,
    has_store=True,
    is_leaving=False,
)


class FakeLink:
    """Link that answers from a list, the last one again and again."""

    def __init__(self):
        self.answers = {}
        self.calls = []

    async def call(self, method, message, kind, timeout_s):
        self.calls.append(method)
        answers = self.answers[method]
        answer = answers.pop(0) if len(answers) > 1 else answers[0]
        if isinstance(answer, Exception):
            raise answer
        return answer


SETTINGS = DaemonSettings(
    daemon_id='me',
    failure_domain='dom',
    http_host='127.0.0.1',
    http_port=1,
    peer_host='127.0.0.1',
    peer_port=2,
    domains=('dom',),
    store_url='http://127.0.0.1:3',
    host_list_url='http://127.0.0.1:4',
)


class LocalOwner:
    """Owner that notes cancellations."""

    claim = Claim(
        domain='dom', partition=0, owner='me', session_id='s', epoch=2
    )

    def __init__(self):
        self.hosts = []

    @property
    def workers(self):
        return self

    def update(self, hosts, closed):
        self.hosts = [host.name for host in hosts if host.name not in closed]

    def cancel(self, ids, team):
        return tuple(answer_of('not_run', known) for known in ids)


def answer_of(state, request_id=ID, **fields):
    """Return an answer."""
    return Answer(request_id=request_id, state=RequestState(state), **fields)


def record_of(revision):
    """Return a configuration without teams."""
    cell = CellConfig(site='one', teams=(), queues=())
    return ConfigRecord(
        revision=revision, change_id=str(revision), author='x', cell=cell
    )


@attrs.define
class Net:
    """This daemon, two peers and the links to them."""

    clock: ManualClock
    keeper: ConfigKeeper
    links: list
    table: PeerTable
    router: Router
    owners: dict
    own: list

    def owned_by(self, number, epoch, domain='far'):
        """Let a peer tell that it owns a partition."""
        owned = OwnedPartition(
            domain=domain,
            partition=0,
            epoch=epoch,
            waiting_count=0,
            free=Resources(8),
            largest=Resources(8),
        )
        self.table.record_heartbeat(
            attrs.evolve(BEAT, daemon_id=f'p{number}', owned=(owned,))
        )

    async def exchange(self, **fields):
        """Exchange heartbeats with both peers."""
        for number, link in enumerate(self.links):
            beat = attrs.evolve(BEAT, daemon_id=f'p{number}', **fields)
            link.answers['heartbeat'] = [pack_heartbeat(beat)]
            await self.table._exchange(self.table.peers[f'p{number}'])


@pytest.fixture
def net(new_store):
    """Return this daemon and two silent peers."""
    clock = ManualClock(100)
    store = new_store(clock)
    keeper = ConfigKeeper(store, clock, 5)
    keeper.offer(record_of(1))
    links = [FakeLink(), FakeLink()]
    own = [attrs.evolve(BEAT, daemon_id='me', domain='dom')]
    peers = {
        f'p{number}': Peer(peer_id=f'p{number}', domain='far', link=link)
        for number, link in enumerate(links)
    }
    table = PeerTable(peers, SETTINGS, keeper, clock, lambda: own[0])
    owners = {}
    router = Router('dom', owners, table, _Metrics())
    return Net(clock, keeper, links, table, router, owners, own)


class _Metrics:
    def retried(self, reason):
        """Do nothing."""


@pytest.mark.parametrize(
    ('answer', 'first', 'repeated'),
    [
        (NotSentError('x'), 'not_run', 'unknown'),
        (LinkError('x'), 'unknown', 'unknown'),
        (not_run_answer(ID, refusals.NO_OWNER), 'not_run', 'unknown'),
        (not_run_answer(ID, refusals.QUEUE_FULL), 'not_run', 'not_run'),
        (answer_of('accepted'), 'accepted', 'accepted'),
    ],
)
async def test_submit(net, monkeypatch, answer, first, repeated):
    """A daemon that cannot know says that work was not run (P6)."""
    monkeypatch.setattr('currantreach_daemon._router._RETRY_DELAY_S', 0)
    net.owned_by(0, 2)
    net.links[0].answers['submit'] = [answer]
    for is_repeated, expected in ((False, first), (True, repeated)):
        found = await net.router.submit(SPEC, 'h', is_repeated=is_repeated)
        assert found.state == expected


async def test_submit_without_owner(net, monkeypatch):
    """Work is called not run, or accepted, while nobody owns its id."""
    monkeypatch.setattr('currantreach_daemon._router._RETRY_DELAY_S', 0)
    found = await net.router.submit(SPEC, 'h', is_repeated=True)
    assert (found.state, found.can_retry) == ('unknown', True)
    found = await net.router.submit(SPEC, 'h', is_repeated=False)
    assert found.reason == 'no_owner'


async def test_newest_owner(net):
    """A predecessor that still sends heartbeats is asked (P2)."""
    net.owned_by(1, 7)
    net.owned_by(0, 6)
    assert net.table.owner_of('far', 0).peer_id == 'p1'
    net.clock.advance(3)
    assert net.table.owner_of('far', 0) is None


@pytest.mark.parametrize(('epoch', 'is_local'), [(1, True), (3, False)])
async def test_successor_of_local_owner(net, epoch, is_local):
    """An owner that was replaced unnoticed answers for its successor."""
    net.owners[0] = LocalOwner()
    net.owned_by(0, epoch, 'dom')
    net.links[0].answers['cancel'] = [LinkError('x')]
    answers = await net.router.cancel(['dom.0.2.a'], 'tine')
    expected = 'not_run' if is_local else 'unknown'
    assert answers[0].state == expected
    assert (not net.links[0].calls) is is_local


async def test_wait_for_successor(net, monkeypatch):
    """A caller is left without its answer while the owner changes (P5)."""
    monkeypatch.setattr('currantreach_daemon._router._RETRY_DELAY_S', 0)
    net.owned_by(0, 2)
    net.links[0].answers['wait'] = [
        LinkError('x'),
        answer_of('unknown', can_retry=True),
        answer_of('finished', output=('done',)),
    ]
    answer = await net.router.wait(ID, 'tine', 30)
    assert answer.output == ('done',)


async def test_cancel_in_order(net):
    """Answers to a cancellation belong to other requests (P5)."""
    net.owners[0] = LocalOwner()
    ids = ('dom.0.1.a', ID, 'dom.0.1.b', 'dom.0.1.a')
    answers = await net.router.cancel(ids, 'tine')
    assert tuple(answer.request_id for answer in answers) == ids
    assert [answer.state for answer in answers][1] == 'unknown'


async def test_freshness_from_peers(net):
    """A stale configuration counts as fresh (P3)."""
    net.keeper._store.faults['all'] = 'down'
    with pytest.raises(StoreUnavailableError):
        await net.keeper.poll()
    net.clock.advance(50)
    await net.exchange(config_age_s=6)
    assert not net.keeper.is_fresh(net.clock.now_s())
    await net.exchange(config_age_s=2)
    assert net.keeper.is_fresh(net.clock.now_s())
    newer = encode_json(record_of(2)).decode()
    for link in net.links:
        link.answers['fetch_config'] = [
            attrs.make_class('Text', ['text'])(newer)
        ]
    await net.exchange(config_revision=2, config_age_s=1)
    assert net.keeper.revision == 2
    net.clock.advance(4)
    await net.exchange(config_revision=1, config_age_s=0)
    net.clock.advance(1)
    assert not net.keeper.is_fresh(net.clock.now_s())


@pytest.mark.parametrize('has_store', [True, False])
async def test_freshness_without_store(net, has_store):
    """All daemons wait for a store that none can reach, or one can (P3)."""
    net.own[0] = attrs.evolve(net.own[0], has_store=False)
    await net.exchange(has_store=False, config_age_s=60)
    assert net.keeper.is_fresh(net.clock.now_s())
    net.clock.advance(6)
    beat = attrs.evolve(BEAT, has_store=has_store, config_age_s=60)
    net.links[0].answers['heartbeat'] = [pack_heartbeat(beat)]
    await net.table._exchange(net.table.peers['p0'])
    assert not net.keeper.is_fresh(net.clock.now_s())


async def test_leaving_workers():
    """A leaving, drained or foreign worker is given to an owner (P8)."""
    settings = attrs.evolve(SETTINGS, partition_count=2)
    listed = [
        WorkerInfo(
            name=f'w{number}',
            failure_domain='far' if number == 9 else 'dom',
            rack=f'r{number % 4}',
            url='http://127.0.0.1:5',
            capacity=Resources(1),
            state=HostState.leaving if number == 8 else HostState.live,
        )
        for number in range(10)
    ]
    hosts = _Hosts(listed)
    owners = {0: LocalOwner(), 1: LocalOwner()}
    record = attrs.evolve(record_of(1), drained=('w7',))
    fleet = HostListWatcher(settings, hosts, owners, lambda: record)
    following = asyncio.create_task(fleet.run())
    while not hosts.count:
        await asyncio.sleep(0)
    following.cancel()
    for partition, owner in owners.items():
        assert owner.hosts == [
            host.name
            for host in listed[:7]
            if partition_of(host, 2) == partition
        ]
    assert sum(len(owner.hosts) for owner in owners.values()) == 7


class _Hosts:
    def __init__(self, listed):
        self.listed = listed
        self.count = 0

    async def workers(self):
        self.count += 1
        return tuple(self.listed)


async def test_told_revision(net):
    """A peer that heard the earlier revision waits for the next one (P10)."""
    beat = attrs.evolve(BEAT, daemon_id='p0', config_revision=2)
    net.own[0] = attrs.evolve(net.own[0], config_revision=1)
    assert net.table.receive_heartbeat(beat).config_revision == 1

    net.keeper.offer(record_of(2))
    net.table.announce_revision()

    assert net.table.peers['p0'].send_now.is_set()


async def test_heartbeat_answered_with_error(net):
    """A peer whose handlers fail ends the heartbeats of this daemon."""
    net.links[0].answers['heartbeat'] = [CurrantreachError('injected')]
    following = asyncio.create_task(
        net.table.run_heartbeats(net.table.peers['p0'])
    )
    while 'heartbeat' not in net.links[0].calls:
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    is_over = following.done()
    following.cancel()
    assert not is_over
