"""Newest configuration record, its proof of freshness and its history."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Final

import attrs

from currantreach_config import ConfigRecord
from currantreach_types import decode_json, encode_json
from currantreach_types.errors import (
    ConflictError,
    LostAnswerError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from currantreach_platform import Store
    from currantreach_types import Clock

__all__ = ('ConfigKeeper',)

_CURRENT: Final = 'config/current'
_HISTORY: Final = 'config/history/'
_POLL_TIMEOUT_S: Final = 2
_UNSETTLED: Final = 'the change is not settled; apply it again'


class ConfigKeeper:
    """Follows the configuration record of the store.

    :ivar record: newest record known, if any.
    :ivar proof_at_s: time as of which it is known to be the newest.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        freshness_s: float,
    ) -> None:
        """Start without a record.

        :param freshness_s: age at which a proof no longer counts.
        """
        self.record: ConfigRecord | None = None
        self.proof_at_s = -math.inf
        self._store = store
        self._clock = clock
        self._freshness_s = freshness_s
        self._watched_revision = 0
        self._key_revision = 0

    @property
    def revision(self) -> int:
        """Return the revision of the record, 0 if there is none."""
        return 0 if self.record is None else self.record.revision

    def is_fresh(self, now_s: float) -> bool:
        """Tell whether the record was lately proved to be the newest."""
        return now_s - self.proof_at_s <= self._freshness_s

    async def poll(self) -> None:
        """Wait for a change; a poll that returns is a proof of freshness.

        :raises PlatformError: if the store does not answer.
        """
        sent_s = self._clock.now_s()
        if self._watched_revision:
            seen = await self._store.watch(
                _CURRENT,
                self._watched_revision,
                _POLL_TIMEOUT_S,
            )
        else:
            seen = await self._store.list_prefix(_CURRENT)
        # A store that lost its data counts from the start again.
        self._watched_revision = max(seen.revision, 1)
        for entry in seen.changed:
            self._key_revision = entry.revision
            self.offer(decode_json(entry.stored, ConfigRecord))
        self._prove(sent_s)

    def offer(self, record: ConfigRecord) -> None:
        """Take a record if it is newer than the one in force."""
        if record.revision > self.revision:
            self.record = record

    async def write(self, record: ConfigRecord, expected_revision: int) -> None:
        """Write the record that follows ``expected_revision``.

        :raises ConflictError: if another record came first; it is then known.
        :raises PlatformError: if the outcome is not known.
        """
        if expected_revision != self.revision:
            raise self._conflict()
        try:
            self._key_revision = await self._store.put(
                _CURRENT,
                encode_json(record),
                self._key_revision,
            )
        except (ConflictError, LostAnswerError):
            await self._settle(record)
        self.offer(record)
        await self._keep_history(record)

    async def history(self) -> tuple[ConfigRecord, ...]:
        """Return the records that were accepted, the newest first."""
        listed = await self._store.list_prefix(_HISTORY)
        records = [
            decode_json(entry.stored, ConfigRecord) for entry in listed.changed
        ]
        if self.record is not None and self.record not in records:
            records.append(self.record)
        records.sort(key=lambda record: record.revision, reverse=True)
        return tuple(records)

    def note_peer_proof(
        self,
        revision: int,
        age_s: float,
        sent_at_s: float,
    ) -> None:
        """Use the proof of a peer that has the same or an older record.

        :param age_s: age of the peer's proof when it answered.
        :param sent_at_s: time before the question was sent.
        """
        if revision == self.revision:
            self._prove(sent_at_s - age_s)

    def note_outage_round(self, revision: int, sent_at_s: float) -> None:
        """Note that no daemon can reach the store and all agree.

        :param sent_at_s: time before the first question was sent.
        """
        if revision == self.revision:
            self._prove(sent_at_s)

    def _prove(self, at_s: float) -> None:
        self.proof_at_s = max(self.proof_at_s, at_s)

    async def _settle(self, record: ConfigRecord) -> None:
        try:
            current = await self._store.get(_CURRENT)
        except StoreUnavailableError as exc:
            # The read had no effect, but the write before it may have one.
            raise LostAnswerError(_UNSETTLED) from exc
        if current is None:
            raise LostAnswerError(_UNSETTLED)
        self._key_revision = current.revision
        stored = decode_json(current.stored, ConfigRecord)
        self.offer(stored)
        if stored.change_id != record.change_id:
            raise self._conflict()

    async def _keep_history(self, record: ConfigRecord) -> None:
        # The record in force is part of the history by itself, so a failure
        # here loses no change; the next change keeps its own entry.
        key = f'{_HISTORY}{record.revision:010}'
        entry = attrs.evolve(record, granted=())
        try:
            await self._store.put(key, encode_json(entry), 0)
        except (ConflictError, LostAnswerError):
            return

    def _conflict(self) -> ConflictError:
        author = '' if self.record is None else self.record.author
        return ConflictError(
            f'revision {self.revision} by {author} came first; read it again',
            self.revision,
        )
