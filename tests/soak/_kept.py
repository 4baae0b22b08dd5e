"""Connections that are used until the daemon closes them or is gone."""

from __future__ import annotations

import asyncio
import collections
import datetime
import json
import time

from tests.soak._callers import HOST

# A daemon without faults around it answers within this time.
_PATIENCE_S = 3
# A request that is on its way while a connection closes may be lost.
_SLACK_S = 0.2
_REOPEN_S = 0.05
# Times between the head and the body of a request, and between two requests.
_BODY_PAUSES_S = (0, 0, 0.02, 0.1, 0.4)
_PAUSES_S = (0, 0.02, 0.1, 0.4, 1.2)
_METHODS = ('POST', 'POST', 'GET', 'GET', 'DELETE', 'count', 'spare')
_LENGTH = 'content-length'


class KeptConnections:
    """Sends one request after the other on each connection.

    :ivar counts: number of requests by what became of them.
    """

    def __init__(self, callers, random):
        """Prepare to send.

        :param callers: callers whose accepted jobs are asked for.
        """
        self.counts = collections.Counter()
        self._callers = callers
        self._world = callers.world
        self._random = random

    async def load(self, frontends, connection_count, seconds):
        """Keep connections to each daemon busy for a while."""
        end_s = time.monotonic() + seconds
        await asyncio.gather(
            *(
                self._use(address, end_s)
                for address in frontends
                for _ in range(connection_count)
            ),
        )

    async def _use(self, address, end_s):
        host, _, port = address.partition(':')
        while time.monotonic() < end_s:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(_REOPEN_S)
                continue
            is_kept = True
            while is_kept and time.monotonic() < end_s:
                is_kept = await self._exchange(address, reader, writer)
            writer.close()

    async def _exchange(self, address, reader, writer):
        """Send a request; return whether the connection stays open."""
        head, body = self._request()
        writer.write(head)
        if body:
            await asyncio.sleep(self._random.choice(_BODY_PAUSES_S))
            if reader.at_eof():
                self.counts['not_sent'] += 1
                return False
            writer.write(body)
        sent_at_s = time.monotonic()
        try:
            async with asyncio.timeout(_PATIENCE_S):
                status, is_kept = await _answer(reader)
        except TimeoutError:
            self._note_cut(address, head, sent_at_s, 'no answer')
            return False
        except (OSError, EOFError) as error:
            if time.monotonic() < sent_at_s + _SLACK_S:
                self.counts['cut_at_once'] += 1
            else:
                self._note_cut(address, head, sent_at_s, type(error).__name__)
            return False
        self.counts[status] += 1
        if is_kept:
            await asyncio.sleep(self._random.choice(_PAUSES_S))
        return is_kept and not reader.at_eof()

    def _note_cut(self, address, head, sent_at_s, text):
        self.counts['cut'] += 1
        line = head.partition(b' HTTP')[0].decode()
        now = datetime.datetime.now(datetime.UTC).time()
        age_s = round(time.monotonic() - sent_at_s, 3)
        self._world.breach('cut', f'{address} {line} {now} {age_s} {text}')

    def _request(self):
        known = [
            job
            for job in self._world.jobs.values()
            if job.is_accepted and not job.is_cancelling
        ]
        method = self._random.choice(_METHODS)
        if method == 'spare':
            # A queue and a key that come and go with the configuration.
            return _encode('POST', '/spare/0123456789abcdef', 'spare', {})
        if method == 'count' or not known:
            return _encode('GET', '/steady/', 'steady')
        job = self._random.choice(known)
        path = f'/{job.team}/{job.job_id}'
        if method == 'DELETE':
            # An id that nobody submitted, so that no job is cancelled.
            path = f'/{job.team}/ffff{job.job_id[4:]}'
        body = job.body if method == 'POST' else None
        return _encode(method, path, job.team, body)


def _encode(method, path, team, body=None):
    encoded = b'' if body is None else json.dumps(body).encode()
    head = (
        f'{method} {path} HTTP/1.1\r\n'
        f'Host: {HOST}\r\n'
        f'Authorization: Bearer key-{team}\r\n'
        f'Content-Length: {len(encoded)}\r\n\r\n'
    )
    return head.encode(), encoded


async def _answer(reader):
    """Read a whole answer.

    :returns: its status, and whether the connection is kept open.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    first, *rows = head.decode().split('\r\n')
    fields = {}
    for row in rows:
        name, _, field = row.partition(':')
        fields[name.lower()] = field.strip()
    await reader.readexactly(int(fields.get(_LENGTH, 0)))
    return int(first.split()[1]), fields.get('connection') != 'close'
