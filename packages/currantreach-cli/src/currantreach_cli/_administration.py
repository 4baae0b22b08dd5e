"""Commands of operators for keys, workers, teams and tasks."""

from __future__ import annotations

from typing import Final, Literal
from urllib.parse import quote

from cyclopts import App

from currantreach_cli._output import ExitCode, print_error
from currantreach_cli._session import COMMON, CommonOptions, run_command

__all__ = ('register',)

_ADMIN: Final = '/v1/admin'
_GET: Final = 'GET'
_POST: Final = 'POST'
_LIST: Final = 'list'


def register(app: App) -> None:
    """Add the command groups of operators to ``app``."""
    keys = App(name='key', help='Grant, revoke and list keys.')
    keys.command(grant)
    keys.command(revoke)
    keys.command(list_keys, name=_LIST)
    app.command(keys)
    _register_inspection(app)


def _register_inspection(app: App) -> None:
    workers = App(name='worker', help='List and drain workers.')
    workers.command(list_workers, name=_LIST)
    workers.command(drain)
    teams = App(name='team', help='List teams.')
    teams.command(list_teams, name=_LIST)
    tasks = App(name='task', help='List and explain tasks.')
    tasks.command(list_tasks, name=_LIST)
    tasks.command(explain)
    for group in (workers, teams, tasks):
        app.command(group)


async def grant(
    team: str = '',
    *,
    role: Literal['caller', 'operator'] = 'caller',
    common: CommonOptions = COMMON,
) -> int:
    """Grant a key and show its token, which is shown only once.

    :param team: team of a caller key; none for an operator key.
    """
    if bool(team) != (role == 'caller'):
        print_error(
            'name a team for a caller key and none for an operator key',
            common.output,
        )
        return ExitCode.usage
    # A repeated call would grant a second key.
    return await run_command(
        common,
        lambda client: client.call(
            _POST,
            f'{_ADMIN}/keys',
            {'team': team, 'role': role},
            is_repeatable=False,
        ),
    )


async def revoke(key_id: str, *, common: CommonOptions = COMMON) -> int:
    """Revoke a key permanently."""
    return await _call('DELETE', f'/keys/{_quoted(key_id)}', common)


async def list_keys(*, common: CommonOptions = COMMON) -> int:
    """List the keys without their secrets."""
    return await _call(_GET, '/keys', common)


async def list_workers(*, common: CommonOptions = COMMON) -> int:
    """List the workers."""
    return await _call(_GET, '/workers', common)


async def drain(worker: str, *, common: CommonOptions = COMMON) -> int:
    """Drain a worker: start no new tasks on it."""
    return await _call(_POST, f'/workers/{_quoted(worker)}/drain', common)


async def list_teams(*, common: CommonOptions = COMMON) -> int:
    """List the teams with their shares, limits and usage."""
    return await _call(_GET, '/teams', common)


async def list_tasks(*, common: CommonOptions = COMMON) -> int:
    """List the waiting and running tasks."""
    return await _call(_GET, '/tasks', common)


async def explain(task_id: str, *, common: CommonOptions = COMMON) -> int:
    """Explain why a task waits or where it runs."""
    return await _call(_GET, f'/tasks/{_quoted(task_id)}', common)


async def _call(method: str, path: str, common: CommonOptions) -> int:
    return await run_command(
        common,
        lambda client: client.call(method, f'{_ADMIN}{path}'),
    )


def _quoted(name: str) -> str:
    return quote(name, safe='')
