"""Commands of operators for the configuration."""

from __future__ import annotations

import functools
import json
import uuid
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import attrs
from cyclopts import App

from currantreach_cli._client import Reply
from currantreach_cli._output import (
    ExitCode,
    exit_code_of,
    print_error,
    print_payload,
)
from currantreach_cli._session import COMMON, CommonOptions, run_command
from currantreach_config import ConfigurationFaultsError, check_files
from currantreach_types.errors import ConfigurationError

if TYPE_CHECKING:
    from currantreach_cli._client import Client

__all__ = ('register',)

_CONFIG: Final = '/v1/admin/config'
_HISTORY: Final = '/v1/admin/config/history'
_GET: Final = 'GET'
_POST: Final = 'POST'
_OK: Final = 200


def register(app: App) -> None:
    """Add the group ``config`` to ``app``."""
    group = App(name='config', help='Check, compare and apply files.')
    group.command(check)
    group.command(compare, name='diff')
    group.command(apply)
    group.command(show_current, name='show')
    group.command(history)
    app.command(group)


async def check(
    base: str,
    *overlays: str,
    remote: bool = False,
    common: CommonOptions = COMMON,
) -> int:
    """Check a base file and overlays without applying them.

    :param remote: also let a daemon check the files.
    """
    try:
        cell = check_files(base, overlays)
    except ConfigurationFaultsError as exc:
        return _show_faults(exc, common)
    if remote:
        return await _send(f'{_CONFIG}/check', base, overlays, common)
    counts = {
        'site': cell.site,
        'teams': len(cell.teams),
        'queues': len(cell.queues),
        'keys': len(cell.keys),
        'faults': [],
    }
    print_payload(counts, common.output)
    return ExitCode.done


async def compare(
    base: str,
    *overlays: str,
    common: CommonOptions = COMMON,
) -> int:
    """Show what applying the files would change."""
    return await _send(f'{_CONFIG}/diff', base, overlays, common)


async def apply(
    base: str,
    *overlays: str,
    revision: int | None = None,
    common: CommonOptions = COMMON,
) -> int:
    """Apply files unless the configuration has changed meanwhile.

    :param revision: revision that the files are based on, by default the
        current one.
    """
    try:
        check_files(base, overlays)
    except ConfigurationFaultsError as exc:
        return _show_faults(exc, common)

    return await run_command(
        common,
        functools.partial(
            _apply_files,
            paths=(base, overlays),
            revision=revision,
        ),
    )


async def show_current(*, common: CommonOptions = COMMON) -> int:
    """Show the current record and where it is in effect."""
    return await run_command(common, lambda client: client.call(_GET, _CONFIG))


async def history(*, common: CommonOptions = COMMON) -> int:
    """List the accepted changes."""
    return await run_command(common, lambda client: client.call(_GET, _HISTORY))


async def _send(
    path: str,
    base: str,
    overlays: tuple[str, ...],
    common: CommonOptions,
) -> int:
    return await run_command(
        common,
        lambda client: client.call(_POST, path, _documents(base, overlays)),
    )


async def _apply_files(
    client: Client,
    paths: tuple[str, tuple[str, ...]],
    revision: int | None,
) -> Reply:
    if revision is None:
        current = await client.call(_GET, _CONFIG)
        if current.is_error:
            return current
        revision = _revision_of(current.payload)
    return await _apply(client, _documents(*paths), revision)


async def _apply(
    client: Client,
    documents: dict[str, Any],
    revision: int,
) -> Reply:
    change_id = uuid.uuid4().hex
    reply = await client.call(
        _POST,
        f'{_CONFIG}/apply',
        {
            **documents,
            'expected_revision': revision,
            'change_id': change_id,
        },
    )
    if reply.was_lost and exit_code_of(reply) is ExitCode.conflict:
        return await _find_change(client, change_id, reply)
    return reply


async def _find_change(
    client: Client,
    change_id: str,
    conflict: Reply,
) -> Reply:
    # The first attempt may have been accepted and then followed by the
    # change of another operator; the retry then reports a conflict.
    history_reply = await client.call(_GET, _HISTORY)
    records = (
        []
        if history_reply.is_error
        else history_reply.payload.get('records', [])
    )
    for record in records:
        if record.get('change_id') == change_id:
            return Reply(_OK, record)
    return conflict


def _revision_of(payload: dict[str, Any]) -> int:
    record = payload.get('record') or {}
    return int(record.get('revision', 0))


def _documents(base: str, overlays: tuple[str, ...]) -> dict[str, Any]:
    return {
        'base': _read_json(base),
        'overlays': [
            {'name': overlay, 'document': _read_json(overlay)}
            for overlay in overlays
        ],
    }


def _read_json(path: str) -> Any:
    try:
        return json.loads(Path(path).read_bytes())
    except (OSError, ValueError) as exc:
        raise ConfigurationError(
            f'{path} cannot be read ({exc}); name a readable JSON file',
        ) from exc


def _show_faults(
    exc: ConfigurationFaultsError,
    common: CommonOptions,
) -> ExitCode:
    if common.output == 'json':
        faults = [attrs.asdict(fault) for fault in exc.faults]
        print_payload({'faults': faults}, common.output)
    else:
        print_error(str(exc), common.output)
    return ExitCode.usage
