"""Stand-in of the platform's metadata store."""

import asyncio
import base64
import itertools
import time

from aiohttp import web

_POLL_INTERVAL_S = 0.01
_ANSWER_S = 0.004
_PAGE_SIZE = 500
_MAX_ENTRIES = 32


class Store:
    """Keys with revisions, leases, watches and transactions.

    Answers are linearizable: each call takes effect at one moment.

    :ivar lose_answer: tells for the body of a transaction that takes effect
        whether its answer is lost.
    """

    def __init__(self, record):
        """Create an empty store."""
        self.items = {}
        self.lose_answer = None
        self._record = record
        self._leases = {}
        self._history = []
        self._compacted_revision = 0
        self._revision = 1
        self._lease_ids = itertools.count(1)

    def write(self, key, value, lease=0):
        """Write a key on behalf of the operator or a worker."""
        self._revision += 1
        self._put(key, value, lease)

    def remove(self, key):
        """Remove a key, if it exists."""
        if self.items.pop(key, None) is not None:
            self._revision += 1
            self._history.append((self._revision, key))

    def compact(self):
        """Discard the history, so that all watches have to begin anew."""
        self._revision += 1
        self._compacted_revision = self._revision
        self._history.clear()
        self._record.write('history_discarded', revision=self._revision)

    async def serve(self, request):
        """Answer one call."""
        await asyncio.sleep(_ANSWER_S)
        self._expire_leases()
        parts = request.path.split('/')
        call = getattr(self, '_' + parts[2].replace('-', '_'))
        return await call(request, parts[3] if len(parts) > 3 else '')

    async def _kv_key(self, request, _):
        key = request.query['key']
        if key not in self.items:
            return web.Response(status=404)
        return web.json_response(
            {**self._row(key), 'at': self._revision},
        )

    async def _kv_range(self, request, _):
        after = request.query.get('after', '')
        keys = sorted(
            key
            for key in self.items
            if key.startswith(request.query['prefix']) and key > after
        )
        return web.json_response(
            {
                'items': [self._row(key) for key in keys[:_PAGE_SIZE]],
                'hasMore': len(keys) > _PAGE_SIZE,
                'at': self._revision,
            },
        )

    async def _kv_watch(self, request, _):
        prefix = request.query['prefix']
        after = int(request.query['after'])
        end_s = time.monotonic() + int(request.query['waitMs']) / 1000
        while True:
            self._expire_leases()
            if after < self._compacted_revision:
                return web.Response(status=410)
            changed = {
                key: revision
                for revision, key in self._history
                if revision > after and key.startswith(prefix)
            }
            if changed or time.monotonic() >= end_s:
                break
            await asyncio.sleep(_POLL_INTERVAL_S)
        events = [
            self._row(key)
            if key in self.items
            else {'key': key, 'revision': revision, 'deleted': True}
            for key, revision in changed.items()
        ]
        return web.json_response({'events': events, 'at': self._revision})

    async def _kv_txn(self, request, _):
        body = await request.json()
        expected = body.get('expectedRev', [])
        writes = body.get('write', [])
        removed = body.get('remove', [])
        if len(expected) + len(writes) + len(removed) > _MAX_ENTRIES:
            return web.Response(status=400)
        if any(self._revision_of(row['key']) != row['revision']
               for row in expected):
            rows = [
                self._row(row['key'])
                if row['key'] in self.items
                else {'key': row['key'], 'revision': 0}
                for row in expected
            ]
            return web.json_response({'items': rows}, status=412)
        if any(row.get('lease', 0) and row['lease'] not in self._leases
               for row in writes):
            return web.Response(status=404)
        self._revision += 1
        revision = self._revision
        for row in writes:
            self._put(
                row['key'],
                base64.b64decode(row['value']),
                row.get('lease', 0),
            )
        for key in removed:
            if self.items.pop(key, None) is not None:
                self._history.append((revision, key))
        if self.lose_answer is not None and self.lose_answer(body):
            keys = ','.join(row['key'] for row in writes)
            self._record.write('store_answer_lost', keys=keys)
            request.transport.abort()
        return web.json_response({'revision': revision})

    async def _kv_lease(self, request, _):
        ttl_ms = (await request.json())['ttlMs']
        lease = next(self._lease_ids)
        self._leases[lease] = [ttl_ms / 1000, time.monotonic() + ttl_ms / 1000]
        return web.json_response({'lease': lease, 'ttlMs': ttl_ms})

    async def _kv_keep(self, _, lease_id):
        lease = self._leases.get(int(lease_id))
        if lease is None:
            return web.Response(status=404)
        lease[1] = time.monotonic() + lease[0]
        return web.json_response({'ttlMs': round(lease[0] * 1000)})

    async def _kv_lease_end(self, _, lease_id):
        if int(lease_id) not in self._leases:
            return web.Response(status=404)
        self._end_lease(int(lease_id))
        return web.json_response({})

    def _row(self, key):
        item = self.items[key]
        return {
            'key': key,
            'value': base64.b64encode(item['value']).decode(),
            'revision': item['revision'],
            'created': item['created'],
            'lease': item['lease'],
        }

    def _revision_of(self, key):
        item = self.items.get(key)
        return item['revision'] if item else 0

    def _put(self, key, value, lease):
        previous = self.items.get(key)
        self.items[key] = {
            'value': value,
            'revision': self._revision,
            'created': previous['created'] if previous else self._revision,
            'lease': lease,
        }
        self._history.append((self._revision, key))

    def _expire_leases(self):
        now_s = time.monotonic()
        for lease, (_, end_s) in tuple(self._leases.items()):
            if end_s <= now_s:
                self._end_lease(lease)

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)
