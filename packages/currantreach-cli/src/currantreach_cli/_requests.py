"""Commands of callers."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any, Final
from urllib.parse import quote

import attrs
from cyclopts import Parameter

from currantreach_cli._output import ExitCode, print_error
from currantreach_cli._session import COMMON, CommonOptions, run_command
from currantreach_types.errors import ConfigurationError, OutcomeUnknownError

if TYPE_CHECKING:
    from cyclopts import App

    from currantreach_cli._client import Client, Reply

__all__ = ('register',)

_WAIT_STEP_S: Final = 10
_MS_PER_S: Final = 1000
_ACCEPTED: Final = 202
_FOUND: Final = 200
_REQUEST_ID: Final = 'request_id'
_POST: Final = 'POST'
_GET: Final = 'GET'
_REQUESTS: Final = '/v1/requests'


@Parameter(name='*')
@attrs.frozen(kw_only=True)
class ResourceOptions:
    """Resources that each task of a request uses."""

    slot_count: int = 1
    cpu_milli: int = 1000
    memory_mib: int = 256
    accelerator_count: int = 0
    connection_count: int = 0


@Parameter(name='*')
@attrs.frozen(kw_only=True)
class RequestOptions:
    """Options of a request.

    :ivar gang_size: number of tasks, all of which start together.
    :ivar unrepeatable: run at most once.
    :ivar urgent: schedule before other requests.
    :ivar expected_run_s: expected run time in seconds.
    :ivar deadline_s: latest start in seconds after submission.
    :ivar constraint: worker labels as ``name=value``.
    :ivar payload: text passed to the worker.
    """

    gang_size: int = 1
    unrepeatable: bool = False
    urgent: bool = False
    expected_run_s: float = 1
    deadline_s: float | None = None
    constraint: tuple[str, ...] = ()
    payload: str = ''

    def fields(self) -> dict[str, Any]:
        """Return the fields of the request body.

        :raises ConfigurationError: if a constraint has no value.
        """
        pairs = [label.partition('=') for label in self.constraint]
        if not all(separator for _, separator, _ in pairs):
            raise ConfigurationError(
                f'--constraint {self.constraint}: write each as name=value',
            )
        return {
            'gang_size': self.gang_size,
            'is_unrepeatable': self.unrepeatable,
            'is_urgent': self.urgent,
            'expected_run_s': self.expected_run_s,
            'deadline_s': self.deadline_s,
            'constraints': {name: label for name, _, label in pairs},
            'payload': self.payload,
        }


_SIZES: Final = ResourceOptions()
_TRAITS: Final = RequestOptions()


def register(app: App) -> None:
    """Add the commands of callers to ``app``."""
    app.command(submit)
    app.command(status_of, name='status')
    app.command(answer)
    app.command(cancel)
    app.command(list_requests, name='list')


async def submit(
    queue: str,
    *,
    team: str = '',
    workload: str = '',
    wait_s: float = 0,
    sizes: ResourceOptions = _SIZES,
    traits: RequestOptions = _TRAITS,
    common: CommonOptions = COMMON,
) -> int:
    """Submit a request; retries use the same request id.

    :param queue: queue of the request.
    :param team: team to charge; not needed on open queues.
    :param workload: kind of job, by default the name of the queue.
    :param wait_s: seconds to wait for the final answer.
    """

    body = {
        'team': team,
        'queue': queue,
        'workload': workload or queue,
        'resources': attrs.asdict(sizes),
    }
    return await run_command(
        common,
        functools.partial(
            _submit_and_wait,
            body=body,
            traits=traits,
            wait_s=wait_s,
        ),
    )


async def status_of(
    request_id: str | None = None,
    *,
    common: CommonOptions = COMMON,
) -> int:
    """Show the state of a request, or of the cell if no id is given."""
    path = '/v1/admin/status' if request_id is None else _path(request_id)
    return await run_command(common, lambda client: client.call(_GET, path))


async def answer(
    request_id: str,
    *,
    wait_s: float = 0,
    common: CommonOptions = COMMON,
) -> int:
    """Show the answer of a request, waiting for it if asked to.

    :param wait_s: seconds to wait for the final answer.
    """
    return await run_command(
        common,
        lambda client: _await_answer(client, request_id, wait_s),
    )


async def cancel(*request_ids: str, common: CommonOptions = COMMON) -> int:
    """Cancel requests."""
    if not request_ids:
        print_error('name at least one request id', common.output)
        return ExitCode.usage
    if len(request_ids) == 1:
        path = _path(request_ids[0])
        return await run_command(
            common,
            lambda client: client.call('DELETE', path),
        )
    body = {'request_ids': list(request_ids)}
    return await run_command(
        common,
        lambda client: client.call('POST', '/v1/cancellations', body),
    )


async def list_requests(*, common: CommonOptions = COMMON) -> int:
    """List the requests of the caller's team."""
    return await run_command(
        common,
        lambda client: client.call(_GET, _REQUESTS),
    )


async def _submit_and_wait(
    client: Client,
    body: dict[str, Any],
    traits: RequestOptions,
    wait_s: float,
) -> Reply:
    reply = await _submit(client, {**body, **traits.fields()})
    if reply.status == _ACCEPTED and wait_s > 0:
        request_id = reply.payload[_REQUEST_ID]
        return await _await_answer(client, request_id, wait_s)
    return reply


async def _submit(client: Client, body: dict[str, Any]) -> Reply:
    issued = await client.call(
        _POST,
        '/v1/request-ids',
        {'queue': body['queue']},
    )
    if issued.is_error:
        return issued
    request_id = issued.payload[_REQUEST_ID]
    try:
        reply = await client.call(
            _POST,
            _REQUESTS,
            {_REQUEST_ID: request_id, **body},
        )
    except OutcomeUnknownError as lost:
        raise OutcomeUnknownError(
            f'{lost}; run: currantreach status {request_id}',
        ) from lost
    if not (reply.was_lost and reply.is_error):
        return reply
    return await _look_up_request(client, request_id)


async def _look_up_request(client: Client, request_id: str) -> Reply:
    # The refusal is the response to a retry. The first attempt may have been
    # accepted; only the owner's record of the request id shows that.
    found = await client.call(_GET, _path(request_id))
    if found.status == _FOUND:
        return found
    raise OutcomeUnknownError(
        f'request {request_id}: a response was lost and the state is unknown; '
        + f'run: currantreach status {request_id}',
    )


async def _await_answer(
    client: Client,
    request_id: str,
    wait_s: float,
) -> Reply:
    # A poll that ends without an answer has lasted its full timeout, so the
    # remaining time can be counted without a clock.
    path = _path(request_id)
    while True:
        step_s = min(wait_s, _WAIT_STEP_S)
        wait_s -= step_s
        timeout_ms = int(step_s * _MS_PER_S)
        reply = await client.call(
            _GET,
            f'{path}/answer?timeout_ms={timeout_ms}',
            wait_s=step_s,
        )
        if reply.status != _ACCEPTED or wait_s <= 0:
            return reply


def _path(request_id: str) -> str:
    quoted = quote(request_id, safe='')
    return f'{_REQUESTS}/{quoted}'
