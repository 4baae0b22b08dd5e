"""Tests of the links between daemons, over real sockets."""

from __future__ import annotations

import asyncio

import pytest
import zmq
from zmq import asyncio as async_zmq

from currantreach_links import NotSentError, PeerLink, PeerServer
from currantreach_links._frames import FrameCodec, Reply, Request
from currantreach_types import decode_msgpack, encode_msgpack
from currantreach_types.errors import ConflictError, LinkError

SECRET = b'a secret that all daemons share'
ANY_PORT = 'tcp://127.0.0.1:0'


class StallingProxy:
    """Proxy that can stall its existing connections, but not new ones."""

    def __init__(self, target):
        self._target = target.removeprefix('tcp://').split(':')
        self._open = asyncio.Event()
        self._writers = []
        self.connection_count = 0

    def close(self):
        self._server.close()
        for writer in self._writers:
            writer.close()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1')
        port = self._server.sockets[0].getsockname()[1]
        self._open.set()
        return f'tcp://127.0.0.1:{port}'

    def stall(self):
        self._open.clear()
        self._open = asyncio.Event()
        self._open.set()

    async def _serve(self, reader, writer):
        self.connection_count += 1
        is_open = self._open
        upstream = await asyncio.open_connection(*self._target)
        self._writers += [writer, upstream[1]]
        await asyncio.gather(
            self._forward(reader, upstream[1], is_open),
            self._forward(upstream[0], writer, is_open),
        )

    async def _forward(self, reader, writer, is_open):
        while chunk := await reader.read(4096):
            await is_open.wait()
            writer.write(chunk)


@pytest.fixture
def gates():
    """Return events that delay the replies to ``wait`` calls."""
    return {name: asyncio.Event() for name in ('first', 'second')}


@pytest.fixture
async def server(gates):
    """Return a started server."""

    async def echo(body):
        return body

    async def wait(body):
        await gates[decode_msgpack(body, str)].wait()
        return body

    async def conflict(_body):
        raise ConflictError('lost; read it again', 7)

    async def fault(_body):
        raise ValueError('not expected')

    handlers = {'echo': echo, 'wait': wait, 'conflict': conflict}
    peer = PeerServer(
        ANY_PORT,
        SECRET,
        {**handlers, 'fault': fault},
        max_concurrent_per_method=2,
    )
    await peer.start()
    yield peer
    await peer.close()


@pytest.fixture
async def connect():
    """Return a function that creates links, closed after the test."""
    links = []

    def factory(address, secret=SECRET, **options):
        links.append(PeerLink('peer', address, secret, **options))
        return links[-1]

    yield factory
    await asyncio.gather(*(link.close() for link in links))


async def test_results_and_errors(server, connect):
    """Guard against errors that lose their type or stop the server."""
    asyncio.get_running_loop().set_exception_handler(lambda *_args: None)
    link = connect(server.address)

    assert await link.call('echo', {'a': 1}, dict, 5) == {'a': 1}
    with pytest.raises(ConflictError) as caught:
        await link.call('conflict', None, str, 5)
    assert caught.value.current_revision == 7
    with pytest.raises(Exception, match='see the peer log'):
        await link.call('fault', None, str, 5)
    assert await link.call('echo', 'still there', str, 5) == 'still there'


async def test_replies_out_of_order_and_late(server, connect, gates):
    """Guard against matching a reply to another call."""
    link = connect(server.address)
    with pytest.raises(LinkError) as late:
        await link.call('wait', 'first', str, 0.05)
    assert not isinstance(late.value, NotSentError)
    second = asyncio.create_task(link.call('wait', 'second', str, 5))
    assert await link.call('echo', 'overtakes', str, 5) == 'overtakes'

    with pytest.raises(NotSentError, match='too many'):
        await link.call('wait', 'second', str, 5)
    gates['first'].set()
    assert await link.call('wait', 'first', str, 5) == 'first'
    gates['second'].set()
    assert await second == 'second'


async def test_repeated_and_forged_replies(connect):
    """Guard against accepting repeated, forged or reflected replies."""
    codec = FrameCodec(SECRET)
    forger = FrameCodec(b'another secret, as long as that')
    router = async_zmq.Context.instance().socket(zmq.ROUTER)
    port = router.bind_to_random_port('tcp://127.0.0.1')
    link = connect(f'tcp://127.0.0.1:{port}')

    async def exchange(text):
        call = asyncio.create_task(link.call('echo', text, str, 5))
        peer, frame = await router.recv_multipart()
        call_id = codec.decode_frame(frame, Request).call_id
        forged = Reply(call_id=call_id, body=encode_msgpack('forged'))
        reply = Reply(call_id=call_id, body=encode_msgpack(text))
        await router.send_multipart([peer, frame])
        await router.send_multipart([peer, b''])
        await router.send_multipart([peer, forger.encode_frame(forged)])
        await router.send_multipart([peer, codec.encode_frame(reply)])
        await router.send_multipart([peer, codec.encode_frame(reply)])
        return await call

    assert await exchange('one') == 'one'
    assert await exchange('two') == 'two'
    assert link.rejected_count == 6
    router.close()


async def test_rejected_frames_are_counted(server, connect):
    """Guard against unauthenticated frames being handled or fatal."""
    codec = FrameCodec(SECRET)
    with pytest.raises(LinkError):
        await connect(server.address, b'not the right secret').call(
            'echo', 'x', str, 0.2
        )
    sealed = codec.encode_frame(Request(call_id=b'1', method='echo'))
    with async_zmq.Context.instance().socket(zmq.DEALER) as raw:
        raw.connect(server.address)
        absent = codec.encode_frame(Request(call_id=b'1', method='absent'))
        await raw.send(b'')
        await raw.send(sealed[:-1])
        await raw.send_multipart([sealed, sealed])
        await raw.send(absent)
        assert await connect(server.address).call('echo', 'x', str, 5) == 'x'
        # The reply to the last frame shows that all others were processed.
        await raw.send(sealed)
        await raw.recv_multipart()

    assert server.rejected_counts == {
        'wrong_mac': 3,
        'malformed': 1,
        'unknown_method': 1,
    }


async def test_dead_connection_is_replaced(server, connect, gates):
    """Guard against waiting forever on a dead connection."""
    proxy = StallingProxy(server.address)
    link = connect(await proxy.start(), peer_timeout_s=0.2)
    slow = asyncio.create_task(link.call('wait', 'first', str, 30))
    # The link probes the peer, so that a slow handler is not mistaken for a
    # dead connection.
    await asyncio.sleep(1)
    assert link.reconnect_count == 0

    proxy.stall()
    with pytest.raises(LinkError):
        await link.call('echo', 'x', str, 30)
    with pytest.raises(LinkError):
        await slow
    assert await link.call('echo', 'x', str, 5) == 'x'
    assert link.reconnect_count == 1
    assert proxy.connection_count == 2
    proxy.close()


async def test_queue_to_an_unreachable_peer_is_bounded(
    connect, unused_tcp_port
):
    """Guard against an unbounded queue and calls sent after a timeout."""
    address = f'tcp://127.0.0.1:{unused_tcp_port}'
    link = connect(address, max_in_flight=3)
    calls = [
        asyncio.create_task(link.call('echo', 'x', str, 0.3)) for _ in range(3)
    ]
    await asyncio.sleep(0)
    with pytest.raises(NotSentError, match='full'):
        await link.call('echo', 'x', str, 30)
    outcomes = await asyncio.gather(*calls, return_exceptions=True)
    assert {type(outcome) for outcome in outcomes} == {NotSentError}
    handled = []

    async def echo(body):
        handled.append(body)
        return body

    server = PeerServer(address, SECRET, {'echo': echo})
    await server.start()
    assert await link.call('echo', 'fresh', str, 5) == 'fresh'
    await server.close()
    assert handled == [encode_msgpack('fresh')]


async def test_call_to_an_odd_address_is_not_sent():
    """An odd address in the record of a member ended the caller's task."""
    for address in ('', 'nowhere', 'tcp://127.0.0.1:99999', 'tcp://[::1'):
        link = PeerLink('odd', address, b's' * 32)
        with pytest.raises(NotSentError):
            await link.call('method', None, dict, 0.1)
        await link.close()


@pytest.fixture
async def holding_server():
    """Return a server with a limit on bytes, and the event that it awaits."""
    may_answer = asyncio.Event()

    async def wait(body):
        await may_answer.wait()
        return body

    peer = PeerServer(ANY_PORT, SECRET, {'wait': wait}, max_held_bytes=50_000)
    await peer.start()
    yield peer, may_answer
    await peer.close()


async def wait_until_held(held):
    """Wait until a server or a link holds the bytes of a call."""
    async with asyncio.timeout(5):
        while not held._held_bytes:
            await asyncio.sleep(0.001)


async def test_server_limits_the_bytes_of_requests(holding_server, connect):
    """Requests of the largest size could hold half a gigabyte."""
    server, may_answer = holding_server
    link = connect(server.address)
    large = 'x' * 40_000
    first = asyncio.create_task(link.call('wait', large, str, 5))
    await wait_until_held(server)
    with pytest.raises(NotSentError, match='too large'):
        await link.call('wait', large, str, 5)
    assert server.rejected_counts['too_many_bytes'] == 1
    small = asyncio.create_task(link.call('wait', 'small', str, 5))
    may_answer.set()
    assert await small == 'small'
    assert await first == large
    assert await link.call('wait', large, str, 5) == large


async def test_link_limits_the_bytes_of_calls(holding_server, connect):
    """Calls to a slow peer could hold two gigabytes."""
    server, may_answer = holding_server
    link = connect(server.address, max_held_bytes=50_000)
    large = 'x' * 40_000
    first = asyncio.create_task(link.call('wait', large, str, 5))
    await wait_until_held(link)
    with pytest.raises(NotSentError, match='too many bytes'):
        await link.call('wait', large, str, 5)
    small = asyncio.create_task(link.call('wait', 'small', str, 5))
    await wait_until_held(server)
    may_answer.set()
    assert await small == 'small'
    assert await first == large
    assert link._held_bytes == 0


async def test_more_requests_than_the_receive_queue(server, connect):
    """A short receive queue must delay requests and lose none."""
    link = connect(server.address)
    assert await link.call('echo', 'connected', str, 5) == 'connected'
    calls = [link.call('echo', str(number), str, 10) for number in range(300)]
    replies = await asyncio.gather(*calls, return_exceptions=True)
    # The others were rejected, as two are handled at once.
    assert all(
        reply == str(number) or isinstance(reply, NotSentError)
        for number, reply in enumerate(replies)
    )
