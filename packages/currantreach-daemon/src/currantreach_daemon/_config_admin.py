"""HTTP interface to the configuration and keys, for operators."""

from __future__ import annotations

import asyncio
import secrets
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import attrs
import msgspec
from aiohttp import web

from currantreach_config import (
    CellConfig,
    ConfigRecord,
    KeyRecord,
    KeyRing,
    KeyRole,
    active_keys,
    check_documents,
    diff,
    drain_worker,
    grant_key,
    initial_record,
    merge_change,
    new_key,
    withdraw_key,
)
from currantreach_daemon._operators import for_operator
from currantreach_daemon._replies import (
    answer_response,
    authorization_of,
    json_response,
    read_body,
)
from currantreach_daemon._requests import not_run_answer
from currantreach_telemetry import log_warning
from currantreach_types import Refusal, decode_strict_json, refusals
from currantreach_types.errors import (
    ConflictError,
    MalformedMessageError,
    OutcomeUnknownError,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from currantreach_config import Change
    from currantreach_daemon._admission import AdmissionController
    from currantreach_daemon._overview import Overview
    from currantreach_state import ConfigStore

__all__ = ('ConfigAdmin',)

# Time for the write of a change and the wait until it is in force together,
# since the clients of operators time out after 10 s.
_ANSWER_TIMEOUT_S = 8
_IN_FORCE_POLL_S = 0.05
_CHANGE_ID_BYTES = 8
_CONFIG = '/v1/admin/config'
_KEYS = '/v1/admin/keys'


@attrs.frozen(slots=True, kw_only=True)
class OverlayBody:
    """One overlay file of a configuration change."""

    name: str
    document: dict[str, Any]


@attrs.frozen(slots=True, kw_only=True)
class ConfigBody:
    """Files of a configuration change.

    :ivar expected_revision: revision on which the change is based, 0 for none.
    :ivar change_id: id that identifies repeated calls of the same change.
    """

    base: dict[str, Any]
    overlays: tuple[OverlayBody, ...] = ()
    expected_revision: int = 0
    change_id: str = ''


@attrs.frozen(slots=True, kw_only=True)
class KeyBody:
    """Body of a call that grants a key."""

    team: str = ''
    role: KeyRole = KeyRole.caller


class ConfigAdmin:
    """Handlers of the routes for operators that change the configuration."""

    def __init__(
        self,
        admission: AdmissionController,
        config_store: ConfigStore,
        overview: Overview,
    ) -> None:
        """Serve the configuration of a cell."""
        self._admission = admission
        self._config_store = config_store
        self._overview = overview
        self._writes: set[asyncio.Task[None]] = set()

    def routes(self) -> Sequence[web.AbstractRouteDef]:
        """Return all routes."""
        drain = '/v1/admin/workers/{name}/drain'
        operator_only = for_operator(self._admission)
        return [
            web.get(_CONFIG, operator_only(self.show)),
            web.get(f'{_CONFIG}/history', operator_only(self.history)),
            web.post(f'{_CONFIG}/check', operator_only(self.check)),
            web.post(f'{_CONFIG}/diff', operator_only(self.diff)),
            web.post(f'{_CONFIG}/apply', self.apply),
            web.get(_KEYS, operator_only(self.list_keys)),
            web.post(_KEYS, operator_only(self.grant)),
            web.delete(f'{_KEYS}/{{id}}', operator_only(self.withdraw)),
            web.post(drain, operator_only(self.drain)),
        ]

    async def show(self, _request: web.Request, _author: str) -> web.Response:
        """Show the configuration record in force."""
        return json_response(
            {
                'record': _without_secrets(self._config_store.record),
                'in_force': self._overview.in_force(),
            },
        )

    async def history(
        self,
        _request: web.Request,
        _author: str,
    ) -> web.Response:
        """List the earlier revisions."""
        records = await self._config_store.history()
        return json_response(
            {
                'records': [
                    {
                        'revision': record.revision,
                        'change_id': record.change_id,
                        'author': record.author,
                    }
                    for record in records
                ],
            },
        )

    async def check(self, request: web.Request, _author: str) -> web.Response:
        """Validate files without applying them."""
        cell = _cell_of(await _config_body(request))
        return json_response({'faults': [], 'site': cell.site})

    async def diff(self, request: web.Request, _author: str) -> web.Response:
        """Compare files with the configuration in force."""
        cell = _cell_of(await _config_body(request))
        return json_response({'changes': self._changes_to(cell)})

    async def apply(self, request: web.Request) -> web.Response:
        """Apply files and wait until they are in force."""
        body = await _config_body(request)
        cell = _cell_of(body)
        author = self._author_of(request, cell)
        if isinstance(author, Refusal):
            return answer_response(not_run_answer('', author))
        end_s = _call_deadline_s()
        record = self._config_store.record
        if record is not None and record.change_id == body.change_id:
            return await self._confirm(record.revision, end_s)
        change_id = body.change_id or _new_change_id()
        if record is None:
            next_record = initial_record(
                cell, change_id=change_id, author=author
            )
        else:
            next_record = merge_change(
                record,
                cell,
                change_id=change_id,
                author=author,
            )
        if next_record.revision == body.expected_revision + 1:
            return await self._write(next_record)
        written = await self._revision_of(body.change_id)
        if not written:
            return _conflict_response(record)
        return await self._confirm(written, end_s)

    async def list_keys(
        self,
        _request: web.Request,
        _author: str,
    ) -> web.Response:
        """List all keys without their hashes."""
        record = self._record()
        return json_response(
            {
                'keys': [
                    {'key_id': key.key_id, 'team': key.team, 'role': key.role}
                    for key in active_keys(record)
                ],
                'withdrawn': record.withdrawn,
            },
        )

    async def grant(self, request: web.Request, author: str) -> web.Response:
        """Grant a key; its token is shown in this response only."""
        body = decode_strict_json(await read_body(request), KeyBody)
        token, key = new_key(body.team, body.role)
        response = await self._write(
            grant_key(
                self._record(),
                key,
                change_id=_new_change_id(),
                author=author,
            ),
        )
        if response.status != HTTPStatus.OK:
            return response
        return json_response({'token': token, 'key_id': key.key_id})

    async def withdraw(
        self,
        request: web.Request,
        author: str,
    ) -> web.Response:
        """Withdraw a key permanently."""
        return await self._write(
            withdraw_key(
                self._record(),
                request.match_info['id'],
                change_id=_new_change_id(),
                author=author,
            ),
        )

    async def drain(self, request: web.Request, author: str) -> web.Response:
        """Close a worker for new tasks."""
        return await self._write(
            drain_worker(
                self._record(),
                request.match_info['name'],
                change_id=_new_change_id(),
                author=author,
            ),
        )

    def _author_of(
        self,
        request: web.Request,
        cell: CellConfig,
    ) -> str | Refusal:
        authorization = authorization_of(request)
        if self._config_store.record is not None:
            found = self._admission.authenticate_operator(authorization)
            return found if isinstance(found, Refusal) else found.key_id
        # There is no configuration yet, so the first call is authenticated
        # against its own files: they must contain the operator key it uses.
        ring = KeyRing(initial_record(cell, change_id='', author=''))
        key = ring.authenticate(authorization.removeprefix('Bearer '))
        if isinstance(key, Refusal):
            return key
        if key.role != KeyRole.operator:
            return refusals.KEY_OTHER_TEAM
        return key.key_id

    async def _revision_of(self, change_id: str) -> int:
        """Return the revision that an earlier call of a change wrote, or 0."""
        if not change_id:
            return 0
        for earlier in await self._config_store.history():
            if earlier.change_id == change_id:
                return earlier.revision
        return 0

    async def _write(self, record: ConfigRecord) -> web.Response:
        end_s = _call_deadline_s()
        writing = asyncio.create_task(
            self._config_store.write(record, record.revision - 1),
        )
        self._writes.add(writing)
        writing.add_done_callback(self._on_written)
        # A cancelled write could still take effect, so it is continued after
        # the response.
        await asyncio.wait((writing,), timeout=_remaining_s(end_s))
        if not writing.done():
            raise OutcomeUnknownError(
                'the store did not answer in time, so it is not known yet '
                + 'whether the change was written',
            )
        try:
            writing.result()
        except ConflictError:
            return _conflict_response(self._config_store.record)
        return await self._confirm(record.revision, end_s)

    def _on_written(self, writing: asyncio.Task[None]) -> None:
        self._writes.discard(writing)
        error = None if writing.cancelled() else writing.exception()
        if error is not None and not isinstance(error, ConflictError):
            log_warning('config_write_failed', error=error)

    async def _confirm(self, revision: int, end_s: float) -> web.Response:
        missing = self._overview.missing(revision)
        while missing and _remaining_s(end_s):
            await asyncio.sleep(_IN_FORCE_POLL_S)
            missing = self._overview.missing(revision)
        return json_response(
            {
                'revision': revision,
                'in_force': self._overview.in_force(),
                'missing': missing,
            },
        )

    def _changes_to(self, cell: CellConfig) -> list[Change]:
        record = self._config_store.record
        if record is None:
            return diff(CellConfig(site='', teams=(), queues=()), cell)
        return diff(record.cell, cell)

    def _record(self) -> ConfigRecord:
        record = self._config_store.record
        if record is None:
            raise MalformedMessageError(
                'the cell has no configuration yet; apply one first',
            )
        return record


def _call_deadline_s() -> float:
    """Return the loop time by which a call has to be answered."""
    return asyncio.get_running_loop().time() + _ANSWER_TIMEOUT_S


def _remaining_s(end_s: float) -> float:
    return max(float(0), end_s - asyncio.get_running_loop().time())


def _conflict_response(record: ConfigRecord | None) -> web.Response:
    return json_response(
        {
            'reason': 'conflict',
            'remedy': 'read the configuration again and apply on top of it',
            'current_revision': 0 if record is None else record.revision,
            'author': '' if record is None else record.author,
        },
        HTTPStatus.CONFLICT,
    )


async def _config_body(request: web.Request) -> ConfigBody:
    return decode_strict_json(await read_body(request), ConfigBody)


def _cell_of(body: ConfigBody) -> CellConfig:
    return check_documents(
        msgspec.json.encode(body.base),
        [
            (overlay.name, msgspec.json.encode(overlay.document))
            for overlay in body.overlays
        ],
    )


def _new_change_id() -> str:
    return secrets.token_hex(_CHANGE_ID_BYTES)


def _without_secrets(record: ConfigRecord | None) -> ConfigRecord | None:
    if record is None:
        return None
    return attrs.evolve(
        record,
        cell=attrs.evolve(record.cell, keys=_without_hashes(record.cell.keys)),
        granted=_without_hashes(record.granted),
    )


def _without_hashes(keys: tuple[KeyRecord, ...]) -> tuple[KeyRecord, ...]:
    return tuple(attrs.evolve(key, salt_hex='', hash_hex='') for key in keys)
