"""Newest configuration record, and when it was confirmed as the newest."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from currantreach_config import ConfigRecord
from currantreach_types import decode_json, encode_json
from currantreach_types.errors import (
    ConfigurationError,
    ConflictError,
    OutcomeUnknownError,
    PlatformError,
    StoreUnavailableError,
)

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from currantreach_platform import KeyValue, Store
    from currantreach_types import Clock

__all__ = ('ConfigStore', 'OutageReport')

# Watching this key instead of ``config/`` avoids reading the history.
_CURRENT_KEY = 'config/current'
_HISTORY_PREFIX = 'config/history/'
_HISTORY_DIGITS = 9
_POLL_TIMEOUT_S = 2
_WRITE_ATTEMPTS = 4
_VALUE_LIMIT_BYTES = 1000000
_NEVER_S = float('-inf')


@attrs.frozen(slots=True, kw_only=True)
class OutageReport:
    """Report of a daemon on the configuration during a store outage.

    :ivar revision: newest revision that it knows.
    :ivar has_store_contact: whether the store recently answered it.
    :ivar has_unsettled_write: whether it may have written a newer revision.
    """

    revision: int
    has_store_contact: bool
    has_unsettled_write: bool = False


class ConfigStore:
    """Read, watch and write the configuration record.

    It caches the newest record that this process knows.
    """

    def __init__(
        self,
        store: Store,
        clock: Clock,
        freshness_s: float,
    ) -> None:
        """Start without a configuration.

        :param freshness_s: how long a revision counts as the newest after it
            was confirmed.
        """
        self._store = store
        self._clock = clock
        self._freshness_s = freshness_s
        self._record: ConfigRecord | None = None
        self._confirmed_at_s = _NEVER_S
        self._last_contact_s = _NEVER_S
        self._watched_revision: int | None = None
        self._uncertain_revision = 0

    @property
    def record(self) -> ConfigRecord | None:
        """Return the newest known record."""
        return self._record

    @property
    def revision(self) -> int:
        """Return the newest known revision, 0 for none."""
        return self._record.revision if self._record else 0

    @property
    def confirmed_at_s(self) -> float:
        """Return the latest time at which no newer revision existed."""
        return self._confirmed_at_s

    def is_fresh(self, now_s: float) -> bool:
        """Tell whether API keys may be checked against the record."""
        if self._record is None:
            return False
        return now_s - self._confirmed_at_s <= self._freshness_s

    def update_if_newer(self, record: ConfigRecord) -> bool:
        """Replace the record if ``record`` is newer; return whether it is."""
        if record.revision <= self.revision:
            return False
        self._record = record
        return True

    async def poll(self) -> None:
        """Wait for a change for up to 2 s.

        :raises PlatformError: if the store did not answer.
        """
        sent_at_s = self._clock.now_s()
        known_revision = self.revision
        if self._watched_revision is None:
            changes = await self._store.list_prefix(_CURRENT_KEY)
        else:
            changes = await self._store.watch(
                _CURRENT_KEY,
                self._watched_revision,
                _POLL_TIMEOUT_S,
            )
        self._last_contact_s = sent_at_s
        records = [_decoded(found) for found in changes.changed]
        is_old = changes.revision < (self._watched_revision or 0)
        for record in records:
            self.update_if_newer(record)
            is_old = is_old or record.revision < known_revision
        if is_old:
            # An answer older than the known state confirms nothing.
            return
        self._watched_revision = changes.revision
        self._confirm(sent_at_s)

    async def write(
        self,
        next_record: ConfigRecord,
        expected_revision: int,
    ) -> None:
        """Write the successor of a revision.

        The record to replace is written to the history first, so the next
        change makes up for a failed write to the history. After an error the
        same record may be written again.

        :raises ConflictError: if another change was written first; it has the
            newest revision and its text names the author.
        :raises OutcomeUnknownError: if it is unknown whether it was written.
        :raises StoreUnavailableError: if it was not written.
        """
        _check(next_record, expected_revision)
        sent_at_s = self._clock.now_s()
        attempt_count = 0
        while attempt_count < _WRITE_ATTEMPTS:
            attempt_count += 1
            if await self._try_write(next_record):
                self._uncertain_revision = 0
                self.update_if_newer(next_record)
                self._confirm(sent_at_s)
                return
        raise _unknown_error()

    async def history(self) -> tuple[ConfigRecord, ...]:
        """Return all accepted records, the newest first.

        :raises PlatformError: if the store did not answer.
        """
        listed = await self._store.list_prefix(_HISTORY_PREFIX)
        records = [_decoded(found) for found in listed.changed]
        by_revision = {record.revision: record for record in records}
        if self._record is not None:
            by_revision.setdefault(self._record.revision, self._record)
        return tuple(
            by_revision[revision]
            for revision in sorted(by_revision, reverse=True)
        )

    def confirm_by_peer(
        self,
        revision: int,
        age_s: float,
        sent_at_s: float,
    ) -> bool:
        """Confirm the revision by an answer of a peer.

        :param revision: newest revision that the peer knows.
        :param age_s: age of the confirmation of the peer when it answered.
        :param sent_at_s: time before the request was sent.
        :returns: whether the peer knows no newer revision.
        """
        if revision > self.revision:
            return False
        self._confirm(sent_at_s - max(age_s, 0))
        return True

    def confirm_by_outage_round(
        self,
        registered: Collection[str],
        reports: Mapping[str, OutageReport],
        sent_at_s: float,
    ) -> bool:
        """Confirm the revision by the reports of all daemons in an outage.

        :param registered: all registered daemons of all domains, including
            this one.
        :param reports: report of each daemon that answered, including this
            one.
        :param sent_at_s: time before the first request was sent.
        :returns: whether no daemon can have written a newer revision.
        """
        if not registered or not reports.keys() >= frozenset(registered):
            return False
        expected = OutageReport(
            revision=self.revision,
            has_store_contact=False,
        )
        if any(report != expected for report in reports.values()):
            return False
        self._confirm(sent_at_s)
        return True

    def outage_report(self) -> OutageReport:
        """Return the report of this daemon for an outage round."""
        silent_s = self._clock.now_s() - self._last_contact_s
        return OutageReport(
            revision=self.revision,
            has_store_contact=silent_s <= self._freshness_s,
            has_unsettled_write=self._uncertain_revision > self.revision,
        )

    def _confirm(self, confirmed_at_s: float) -> None:
        self._confirmed_at_s = max(self._confirmed_at_s, confirmed_at_s)

    async def _try_write(self, next_record: ConfigRecord) -> bool:
        """Write the record unless an earlier attempt has written it.

        :returns: whether the record is written; if not, try again.
        """
        try:
            found = await self._store.get(_CURRENT_KEY)
            current = _decoded(found) if found else None
            if await self._is_written(next_record, current):
                await self._try_write_history(next_record)
                return True
            await self._write_history(current)
        except OutcomeUnknownError:
            # Reading and writing the history can be repeated.
            return False
        except PlatformError as exc:
            raise self._failure(next_record, exc) from exc
        try:
            await self._store.put(
                _CURRENT_KEY,
                encode_json(next_record),
                found.revision if found else 0,
            )
        except ConflictError:
            return False
        except OutcomeUnknownError:
            # The write may still arrive; the next attempt expects the same
            # revision, so only one of them takes effect.
            self._uncertain_revision = next_record.revision
            return False
        except StoreUnavailableError as unavailable:
            raise self._failure(next_record, unavailable) from unavailable
        await self._try_write_history(next_record)
        return True

    async def _is_written(
        self,
        next_record: ConfigRecord,
        current: ConfigRecord | None,
    ) -> bool:
        """Tell whether the change was written, also if newer ones exist."""
        current_revision = current.revision if current else 0
        if current is None or current_revision < next_record.revision:
            if current_revision == next_record.revision - 1:
                return False
            raise ConflictError(
                f'the newest revision is {current_revision}; apply the change '
                'to it',
                current_revision,
            )
        winner = current
        if current_revision > next_record.revision:
            past = await self._store.get(_history_key(next_record.revision))
            winner = _decoded(past) if past else current
        self.update_if_newer(current)
        if winner.change_id == next_record.change_id:
            return True
        raise ConflictError(
            f'revision {winner.revision} by {winner.author} was written '
            f'first; apply the change to revision {current_revision}',
            current_revision,
        )

    async def _write_history(self, record: ConfigRecord | None) -> None:
        if record is None:
            return
        try:
            await self._store.put(
                _history_key(record.revision),
                encode_json(record),
                0,
            )
        except ConflictError:
            return

    async def _try_write_history(self, record: ConfigRecord) -> None:
        try:
            await self._write_history(record)
        except PlatformError:
            # The next change writes the history before it replaces the
            # record.
            return

    def _failure(
        self,
        next_record: ConfigRecord,
        error: PlatformError,
    ) -> PlatformError:
        """Return the error that tells what is known about the change."""
        if isinstance(error, ConflictError):
            return error
        if self._uncertain_revision == next_record.revision:
            return _unknown_error()
        return StoreUnavailableError('the change was not written; retry')


def _check(next_record: ConfigRecord, expected_revision: int) -> None:
    revision = expected_revision + 1
    if next_record.revision != revision:
        raise ConfigurationError(
            f'the next revision is {revision}; give the change this number',
        )
    size = len(encode_json(next_record))
    if size > _VALUE_LIMIT_BYTES:
        raise ConfigurationError(
            f'the configuration takes {size} bytes; shorten it to '
            f'{_VALUE_LIMIT_BYTES}',
        )


def _decoded(found: KeyValue) -> ConfigRecord:
    return decode_json(found.stored, ConfigRecord)


def _history_key(revision: int) -> str:
    return _HISTORY_PREFIX + str(revision).zfill(_HISTORY_DIGITS)


def _unknown_error() -> OutcomeUnknownError:
    return OutcomeUnknownError(
        'it is unknown whether the change was written; write it again',
    )
