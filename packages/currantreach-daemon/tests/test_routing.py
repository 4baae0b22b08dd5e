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
from currantreach_state import Claim, ConfigStore
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
HEARTBEAT = Heartbeat(
    daemon_id='p0',
    domain='far',
    session_id='s',
    config_revision=1,
    config_age_s=0,
    has_store=True,
    is_leaving=False,
)


class FakeLink:
    """Link that returns prepared answers in order, and repeats the last."""

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
    """Owner in this daemon that answers every cancellation as not run."""

    claim = Claim(
        domain='dom', partition=0, owner='me', session_id='s', epoch=2
    )

    def __init__(self):
        self.worker_names = []

    @property
    def workers(self):
        return self

    def update(self, registrations, closed):
        self.worker_names = [
            registration.name
            for registration in registrations
            if registration.name not in closed
        ]

    def cancel(self, ids, team):
        return tuple(answer_of('not_run', request_id) for request_id in ids)


def answer_of(state, request_id=ID, **fields):
    """Return an answer in a state."""
    return Answer(request_id=request_id, state=RequestState(state), **fields)


def record_of(revision):
    """Return a configuration without teams."""
    cell = CellConfig(site='one', teams=(), queues=())
    return ConfigRecord(
        revision=revision, change_id=str(revision), author='x', cell=cell
    )


@attrs.define
class Network:
    """Peer table and router of this daemon, with links to two peers."""

    clock: ManualClock
    config_store: ConfigStore
    links: list
    table: PeerTable
    router: Router
    owners: dict
    own_heartbeats: list

    def owned_by(self, number, epoch, domain='far'):
        """Record a heartbeat of a peer that owns a partition."""
        owned = OwnedPartition(
            domain=domain,
            partition=0,
            epoch=epoch,
            waiting_count=0,
            free=Resources(8),
            largest=Resources(8),
        )
        self.table.record_heartbeat(
            attrs.evolve(HEARTBEAT, daemon_id=f'p{number}', owned=(owned,))
        )

    async def exchange(self, **fields):
        """Exchange heartbeats with both peers."""
        for number, link in enumerate(self.links):
            heartbeat = attrs.evolve(
                HEARTBEAT, daemon_id=f'p{number}', **fields
            )
            link.answers['heartbeat'] = [pack_heartbeat(heartbeat)]
            await self.table._exchange(self.table.peers[f'p{number}'])


@pytest.fixture
def network(new_store):
    """Return this daemon and two peers without heartbeats."""
    clock = ManualClock(100)
    store = new_store(clock)
    config_store = ConfigStore(store, clock, 5)
    config_store.update_if_newer(record_of(1))
    links = [FakeLink(), FakeLink()]
    own_heartbeats = [attrs.evolve(HEARTBEAT, daemon_id='me', domain='dom')]
    peers = {
        f'p{number}': Peer(peer_id=f'p{number}', domain='far', link=link)
        for number, link in enumerate(links)
    }
    table = PeerTable(
        peers, SETTINGS, config_store, clock, lambda: own_heartbeats[0]
    )
    owners = {}
    router = Router('dom', owners, table, _Metrics())
    return Network(
        clock, config_store, links, table, router, owners, own_heartbeats
    )


class _Metrics:
    def record_retry(self, reason):
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
async def test_submit(network, monkeypatch, answer, first, repeated):
    """Guard against ``not_run`` from a daemon that cannot know it.

    Property: "not run" means not run; accepted durable work is not lost.
    """
    monkeypatch.setattr('currantreach_daemon._router._RETRY_DELAY_S', 0)
    network.owned_by(0, 2)
    network.links[0].answers['submit'] = [answer]
    for is_repeated, expected in ((False, first), (True, repeated)):
        found = await network.router.submit(SPEC, 'h', is_repeated=is_repeated)
        assert found.state == expected


async def test_submit_without_owner(network, monkeypatch):
    """Guard against a wrong answer while the partition has no owner.

    A first submission was not run; the outcome of a repeated one is unknown.
    """
    monkeypatch.setattr('currantreach_daemon._router._RETRY_DELAY_S', 0)
    found = await network.router.submit(SPEC, 'h', is_repeated=True)
    assert (found.state, found.can_retry) == ('unknown', True)
    found = await network.router.submit(SPEC, 'h', is_repeated=False)
    assert found.reason == 'no_owner'


async def test_newest_owner(network):
    """Guard against routing to an old owner that sends heartbeats.

    Property: no task runs in two places.
    """
    network.owned_by(1, 7)
    network.owned_by(0, 6)
    assert network.table.owner_of('far', 0).peer_id == 'p1'
    network.clock.advance(3)
    assert network.table.owner_of('far', 0) is None


@pytest.mark.parametrize(('epoch', 'is_local'), [(1, True), (3, False)])
async def test_successor_of_local_owner(network, epoch, is_local):
    """Guard against a local owner that answers although it was replaced."""
    network.owners[0] = LocalOwner()
    network.owned_by(0, epoch, 'dom')
    network.links[0].answers['cancel'] = [LinkError('x')]
    answers = await network.router.cancel(['dom.0.2.a'], 'tine')
    expected = 'not_run' if is_local else 'unknown'
    assert answers[0].state == expected
    assert (not network.links[0].calls) is is_local


async def test_wait_for_successor(network, monkeypatch):
    """Guard against a wait that ends because the owner changes.

    Property: each caller gets the answer to its own request.
    """
    monkeypatch.setattr('currantreach_daemon._router._RETRY_DELAY_S', 0)
    network.owned_by(0, 2)
    network.links[0].answers['wait'] = [
        LinkError('x'),
        answer_of('unknown', can_retry=True),
        answer_of('finished', output=('done',)),
    ]
    answer = await network.router.wait(ID, 'tine', 30)
    assert answer.output == ('done',)


async def test_cancel_in_order(network):
    """Guard against cancellation answers in another order than the ids.

    Property: each caller gets the answer to its own request.
    """
    network.owners[0] = LocalOwner()
    ids = ('dom.0.1.a', ID, 'dom.0.1.b', 'dom.0.1.a')
    answers = await network.router.cancel(ids, 'tine')
    assert tuple(answer.request_id for answer in answers) == ids
    assert [answer.state for answer in answers][1] == 'unknown'


async def test_freshness_from_peers(network):
    """Guard against a stale configuration that counts as fresh.

    Property: work runs only for the team of the key; revoked keys stop.
    """
    network.config_store._store.faults['all'] = 'down'
    with pytest.raises(StoreUnavailableError):
        await network.config_store.poll()
    network.clock.advance(50)
    await network.exchange(config_age_s=6)
    assert not network.config_store.is_fresh(network.clock.now_s())
    await network.exchange(config_age_s=2)
    assert network.config_store.is_fresh(network.clock.now_s())
    newer = encode_json(record_of(2)).decode()
    for link in network.links:
        link.answers['fetch_config'] = [
            attrs.make_class('Text', ['text'])(newer)
        ]
    await network.exchange(config_revision=2, config_age_s=1)
    assert network.config_store.revision == 2
    network.clock.advance(4)
    await network.exchange(config_revision=1, config_age_s=0)
    network.clock.advance(1)
    assert not network.config_store.is_fresh(network.clock.now_s())


@pytest.mark.parametrize('has_store', [True, False])
async def test_freshness_without_store(network, has_store):
    """Guard against a wrong freshness while this daemon has no store.

    The configuration counts as fresh if all daemons report the outage at the
    same revision, but not once a peer has store contact or reports are old.

    Property: work runs only for the team of the key; revoked keys stop.
    """
    network.own_heartbeats[0] = attrs.evolve(
        network.own_heartbeats[0], has_store=False
    )
    await network.exchange(has_store=False, config_age_s=60)
    assert network.config_store.is_fresh(network.clock.now_s())
    network.clock.advance(6)
    heartbeat = attrs.evolve(HEARTBEAT, has_store=has_store, config_age_s=60)
    network.links[0].answers['heartbeat'] = [pack_heartbeat(heartbeat)]
    await network.table._exchange(network.table.peers['p0'])
    assert not network.config_store.is_fresh(network.clock.now_s())


async def test_leaving_workers():
    """Guard against use of leaving, drained or foreign workers.

    Property: leaving workers receive no new work.
    """
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
    watcher = HostListWatcher(settings, hosts, owners, lambda: record)
    running = asyncio.create_task(watcher.run())
    while not hosts.count:
        await asyncio.sleep(0)
    running.cancel()
    for partition, owner in owners.items():
        assert owner.worker_names == [
            registration.name
            for registration in listed[:7]
            if partition_of(registration, 2) == partition
        ]
    assert sum(len(owner.worker_names) for owner in owners.values()) == 7


class _Hosts:
    def __init__(self, listed):
        self.listed = listed
        self.count = 0

    async def workers(self):
        self.count += 1
        return tuple(self.listed)


async def test_announced_revision(network):
    """Guard against a late announcement of a new revision.

    A peer that got the previous revision in a reply is notified at once.

    Property: accepted configuration is in effect and never reverts.
    """
    heartbeat = attrs.evolve(HEARTBEAT, daemon_id='p0', config_revision=2)
    network.own_heartbeats[0] = attrs.evolve(
        network.own_heartbeats[0], config_revision=1
    )
    assert network.table.receive_heartbeat(heartbeat).config_revision == 1

    network.config_store.update_if_newer(record_of(2))
    network.table.announce_revision()

    assert network.table.peers['p0'].send_now.is_set()


async def test_heartbeat_answered_with_error(network):
    """Guard against heartbeats that stop when a peer answers with an error."""
    network.links[0].answers['heartbeat'] = [CurrantreachError('injected')]
    running = asyncio.create_task(
        network.table.run_heartbeats(network.table.peers['p0'])
    )
    while 'heartbeat' not in network.links[0].calls:
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    is_done = running.done()
    running.cancel()
    assert not is_done
