"""Stand-in of the platform's store, with faults."""

from __future__ import annotations

import asyncio
import base64
import itertools
import random
import time

from aiohttp import web

# A watch looks for changes and expired leases this often.
_TICK_S = 0.01
_SILENCE_S = 30


def _row(key, item):
    return {
        'key': key,
        'value': base64.b64encode(item['value']).decode(),
        'revision': item['revision'],
        'created': item['created'],
        'lease': item['lease'],
    }


class StoreStandIn:
    """Keys, leases, watches and transactions in memory.

    :ivar mode: '' for sound, 'busy', 'reset' or 'silent'.
    :ivar lost: share of the writes that take effect without an answer.
    :ivar delay_s: time that each answer takes.
    """

    def __init__(self, seed):
        """Start empty."""
        self.mode = ''
        self.lost = 0
        self.delay_s = 0.003
        self.items = {}
        self.leases = {}
        self.log = []
        self.first_revision = 0
        self.revision = 1
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)

    def forget_history(self):
        """Drop what watches could still read."""
        self.first_revision = self.revision
        self.log.clear()

    def write(self, key, stored, lease=0):
        """Write a key as the operator or a worker does."""
        self.revision += 1
        old = self.items.get(key)
        created = old['created'] if old else self.revision
        self.items[key] = {
            'value': stored,
            'revision': self.revision,
            'created': created,
            'lease': lease,
        }
        self.log.append((self.revision, key))

    def remove(self, key):
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.log.append((self.revision, key))

    async def serve(self, request):
        """Answer one call."""
        await asyncio.sleep(self.delay_s)
        if self.mode == 'silent':
            await asyncio.sleep(_SILENCE_S)
        if self.mode == 'reset':
            request.transport.abort()
        if self.mode:
            return web.Response(status=503)
        self._expire()
        name, _, rest = request.path.removeprefix('/currantreach/').partition(
            '/',
        )
        call = getattr(self, f'_{name.replace("-", "_")}')
        response = await call(request, rest)
        is_write = request.method != 'GET'
        if is_write and self._random.random() < self.lost:
            request.transport.abort()
        return response

    async def _kv_key(self, request, _):
        key = request.query['key']
        if key not in self.items:
            return web.Response(status=404)
        return web.json_response(
            {**_row(key, self.items[key]), 'at': self.revision},
        )

    async def _kv_range(self, request, _):
        after = request.query.get('after', '')
        keys = sorted(
            key
            for key in self.items
            if key.startswith(request.query['prefix']) and key > after
        )
        page = keys[:500]
        return web.json_response(
            {
                'items': [_row(key, self.items[key]) for key in page],
                'hasMore': len(keys) > len(page),
                'at': self.revision,
            },
        )

    async def _kv_watch(self, request, _):
        prefix = request.query['prefix']
        after = int(request.query['after'])
        end_s = time.monotonic() + int(request.query['waitMs']) / 1000
        while True:
            self._expire()
            if after < self.first_revision:
                return web.Response(status=410)
            found = {
                key: revision
                for revision, key in self.log
                if revision > after and key.startswith(prefix)
            }
            if found or time.monotonic() >= end_s:
                break
            await asyncio.sleep(_TICK_S)
        events = [
            _row(key, self.items[key])
            if key in self.items
            else {'key': key, 'revision': revision, 'deleted': True}
            for key, revision in found.items()
        ]
        return web.json_response({'events': events, 'at': self.revision})

    async def _kv_txn(self, request, _):
        body = await request.json()
        expected = body.get('expectedRev', [])
        present = {
            row['key']: self.items.get(row['key'], {}).get('revision', 0)
            for row in expected
        }
        if any(present[row['key']] != row['revision'] for row in expected):
            rows = [
                _row(key, self.items[key])
                if key in self.items
                else {'key': key, 'revision': 0}
                for key in present
            ]
            return web.json_response({'items': rows}, status=412)
        for write in body.get('write', []):
            if write.get('lease') and write['lease'] not in self.leases:
                return web.Response(status=404)
        self.revision += 1
        for accepted in body.get('write', []):
            self._put(accepted)
        for key in body.get('remove', []):
            if self.items.pop(key, None) is not None:
                self.log.append((self.revision, key))
        return web.json_response({'revision': self.revision})

    async def _kv_lease(self, request, _):
        body = await request.json()
        lease = next(self._numbers)
        ttl_s = body['ttlMs'] / 1000
        self.leases[lease] = [ttl_s, time.monotonic() + ttl_s]
        return web.json_response({'lease': lease, 'ttlMs': body['ttlMs']})

    async def _kv_keep(self, _, rest):
        lease = self.leases.get(int(rest))
        if lease is None:
            return web.Response(status=404)
        lease[1] = time.monotonic() + lease[0]
        return web.json_response({'ttlMs': round(lease[0] * 1000)})

    async def _kv_lease_end(self, _, rest):
        self._end_lease(int(rest))
        return web.json_response({})

    def _put(self, write):
        old = self.items.get(write['key'])
        self.items[write['key']] = {
            'value': base64.b64decode(write['value']),
            'revision': self.revision,
            'created': old['created'] if old else self.revision,
            'lease': write.get('lease', 0),
        }
        self.log.append((self.revision, write['key']))

    def _expire(self):
        now_s = time.monotonic()
        for lease, (_, end_s) in tuple(self.leases.items()):
            if end_s <= now_s:
                self._end_lease(lease)

    def _end_lease(self, lease):
        if self.leases.pop(lease, None) is None:
            return
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)
