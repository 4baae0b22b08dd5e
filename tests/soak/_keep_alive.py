"""Keep-alive connections that are reused until a daemon closes them."""

from __future__ import annotations

import asyncio
import collections
import datetime
import json
import time

from tests.soak._callers import HOST

# A daemon that no fault affects answers within this time.
_ANSWER_TIMEOUT_S = 3
# A request in flight may be lost while its connection is being closed.
_CLOSE_RACE_S = 0.2
_RECONNECT_DELAY_S = 0.05
# Delays of the body after the head of a request, and between two requests.
_BODY_DELAYS_S = (0, 0, 0.02, 0.1, 0.4)
_REQUEST_INTERVALS_S = (0, 0.02, 0.1, 0.4, 1.2)
_METHODS = ('POST', 'POST', 'GET', 'GET', 'DELETE', 'count', 'spare')
_CONTENT_LENGTH = 'content-length'


class KeepAliveClients:
    """Sends consecutive requests on each connection.

    :ivar request_counts: number of requests by status or kind of failure.
    """

    def __init__(self, callers, random):
        """Prepare the clients.

        :param callers: callers whose accepted jobs are requested.
        """
        self.request_counts = collections.Counter()
        self._callers = callers
        self._checker = callers.checker
        self._random = random

    async def run(self, frontends, connection_count, seconds):
        """Keep several connections to each daemon busy for a while."""
        end_s = time.monotonic() + seconds
        await asyncio.gather(
            *(
                self._use_connections(address, end_s)
                for address in frontends
                for _ in range(connection_count)
            ),
        )

    async def _use_connections(self, address, end_s):
        host, _, port = address.partition(':')
        while time.monotonic() < end_s:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(_RECONNECT_DELAY_S)
                continue
            is_reusable = True
            while is_reusable and time.monotonic() < end_s:
                is_reusable = await self._exchange(address, reader, writer)
            writer.close()

    async def _exchange(self, address, reader, writer):
        """Send a request and return whether the connection is reusable."""
        head, body = self._choose_request()
        writer.write(head)
        if body:
            await asyncio.sleep(self._random.choice(_BODY_DELAYS_S))
            if reader.at_eof():
                self.request_counts['not_sent'] += 1
                return False
            writer.write(body)
        sent_at_s = time.monotonic()
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                status, is_reusable = await _read_response(reader)
        except TimeoutError:
            self._record_cut(address, head, sent_at_s, 'no answer')
            return False
        except (OSError, EOFError) as error:
            if time.monotonic() < sent_at_s + _CLOSE_RACE_S:
                self.request_counts['cut_at_once'] += 1
            else:
                self._record_cut(address, head, sent_at_s, type(error).__name__)
            return False
        self.request_counts[status] += 1
        if is_reusable:
            await asyncio.sleep(self._random.choice(_REQUEST_INTERVALS_S))
        return is_reusable and not reader.at_eof()

    def _record_cut(self, address, head, sent_at_s, text):
        self.request_counts['cut'] += 1
        line = head.partition(b' HTTP')[0].decode()
        now = datetime.datetime.now(datetime.UTC).time()
        elapsed_s = round(time.monotonic() - sent_at_s, 3)
        self._checker.record_violation(
            'cut', f'{address} {line} {now} {elapsed_s} {text}'
        )

    def _choose_request(self):
        known_jobs = [
            job
            for job in self._checker.jobs.values()
            if job.is_accepted and not job.is_cancelling
        ]
        method = self._random.choice(_METHODS)
        if method == 'spare':
            # A queue with a key that only some configurations contain.
            return _encode_request(
                'POST', '/spare/0123456789abcdef', 'spare', {}
            )
        if method == 'count' or not known_jobs:
            return _encode_request('GET', '/steady/', 'steady')
        job = self._random.choice(known_jobs)
        path = f'/{job.team}/{job.job_id}'
        if method == 'DELETE':
            # An id that was never submitted, so that no job is cancelled.
            path = f'/{job.team}/ffff{job.job_id[4:]}'
        body = job.body if method == 'POST' else None
        return _encode_request(method, path, job.team, body)


def _encode_request(method, path, team, body=None):
    encoded = b'' if body is None else json.dumps(body).encode()
    head = (
        f'{method} {path} HTTP/1.1\r\n'
        f'Host: {HOST}\r\n'
        f'Authorization: Bearer key-{team}\r\n'
        f'Content-Length: {len(encoded)}\r\n\r\n'
    )
    return head.encode(), encoded


async def _read_response(reader):
    """Read a complete response.

    :returns: its status, and whether the daemon keeps the connection open.
    """
    head = await reader.readuntil(b'\r\n\r\n')
    status_line, *rows = head.decode().split('\r\n')
    fields = {}
    for row in rows:
        name, _, field = row.partition(':')
        fields[name.lower()] = field.strip()
    await reader.readexactly(int(fields.get(_CONTENT_LENGTH, 0)))
    return int(status_line.split()[1]), fields.get('connection') != 'close'
