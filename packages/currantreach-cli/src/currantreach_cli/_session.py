"""Common options of the commands and their HTTP session."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Final, Literal

import aiohttp
import attrs
from cyclopts import Parameter

from currantreach_cli._client import Client, DaemonUnreachableError, RetryPolicy
from currantreach_cli._output import (
    ExitCode,
    exit_code_of,
    print_error,
    print_payload,
)
from currantreach_types.errors import (
    ConfigurationError,
    OutcomeUnknownError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from currantreach_cli._client import Reply

__all__ = ('COMMON', 'CommonOptions', 'run_command')


@Parameter(name='*')
@attrs.frozen(kw_only=True)
class CommonOptions:
    """Options of all commands.

    :ivar url: base address of a daemon or load balancer.
    :ivar key: key of the caller; the environment keeps it off the screen.
    :ivar output: output format.
    """

    url: Annotated[str, Parameter(env_var='CURRANTREACH_URL')] = (
        'http://127.0.0.1:8080'
    )
    key: Annotated[
        str,
        Parameter(env_var='CURRANTREACH_KEY', show_default=False),
    ] = attrs.field(default='', repr=False)
    output: Literal['text', 'json'] = 'text'


COMMON: Final = CommonOptions()


async def run_command(
    common: CommonOptions,
    command: Callable[[Client], Awaitable[Reply]],
) -> ExitCode:
    """Run a command, print its reply and return the exit code."""
    headers = {'Authorization': f'Bearer {common.key}'} if common.key else {}
    try:
        async with aiohttp.ClientSession(headers=headers) as session:
            reply = await command(Client(session, common.url, RetryPolicy()))
    except DaemonUnreachableError as absent:
        print_error(str(absent), common.output)
        return ExitCode.unreachable
    except OutcomeUnknownError as lost:
        print_error(str(lost), common.output)
        return ExitCode.unknown
    except (ConfigurationError, ValueError) as fault:
        # aiohttp raises ValueError for invalid addresses and headers.
        print_error(str(fault), common.output)
        return ExitCode.usage
    print_payload(reply.payload, common.output)
    return exit_code_of(reply)
