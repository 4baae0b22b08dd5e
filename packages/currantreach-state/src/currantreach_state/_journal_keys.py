"""Keys of a journal in the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from currantreach_state._journal_layout import Head, JournalRecord, Segment
from currantreach_types import decode_msgpack, encode_msgpack

if TYPE_CHECKING:
    from currantreach_platform import Store

__all__ = ('JournalKeys',)


class JournalKeys:
    """Typed access to the head and the segments of a journal."""

    def __init__(self, store: Store, domain: str, partition: int) -> None:
        """Use the keys of the journal of one partition."""
        self._store = store
        self._prefix = f'journal/{domain}/{partition}/'

    async def read_head(self) -> tuple[Head, int]:
        """Return the head and its revision, 0 if it is absent."""
        found = await self._store.get(self._head_key)
        if found is None:
            return Head(), 0
        return decode_msgpack(found.stored, Head), found.revision

    async def write_head(self, head: Head, expected_revision: int) -> int:
        """Write the head by compare-and-swap and return its revision."""
        return await self._store.put(
            self._head_key,
            encode_msgpack(head),
            expected_revision,
        )

    async def list_segments(self) -> dict[str, tuple[JournalRecord, ...]]:
        """Return the records of all segments, including obsolete ones."""
        listing = await self._store.list_prefix(self._segment_key(''))
        return {
            found.key.rpartition('/')[2]: _decode_records(found.stored)
            for found in listing.changed
        }

    async def read_segment(self, name: str) -> Segment | None:
        """Return a segment, or None if it is absent."""
        found = await self._store.get(self._segment_key(name))
        if found is None:
            return None
        return Segment(name, _decode_records(found.stored))

    async def write_segment(self, segment: Segment) -> None:
        """Create a segment.

        :raises ConflictError: if it exists.
        """
        key = self._segment_key(segment.name)
        await self._store.put(key, encode_msgpack(segment.records), 0)

    async def delete_segment(self, name: str) -> None:
        """Delete a segment if it exists."""
        found = await self._store.get(self._segment_key(name))
        if found is not None:
            await self._store.delete(found.key, found.revision)

    @property
    def _head_key(self) -> str:
        return f'{self._prefix}head'

    def _segment_key(self, name: str) -> str:
        return f'{self._prefix}segments/{name}'


def _decode_records(stored: bytes) -> tuple[JournalRecord, ...]:
    return decode_msgpack(stored, tuple[JournalRecord, ...])
