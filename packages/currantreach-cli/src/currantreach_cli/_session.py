"""Options of all commands and the session they run in."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Final, Literal

import aiohttp
import attrs
from cyclopts import Parameter

from currantreach_cli._client import Client, NoDaemonError, RetryPolicy
from currantreach_cli._output import ExitCode, judge, show, show_error
from currantreach_types.errors import (
    ConfigurationError,
    LostAnswerError,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from currantreach_cli._client import Reply

__all__ = ('COMMON', 'Common', 'perform')


@Parameter(name='*')
@attrs.frozen(kw_only=True)
class Common:
    """Options of all commands.

    :ivar url: base address of a daemon or load balancer.
    :ivar key: key of the caller; the environment keeps it off the screen.
    :ivar output: form of the output.
    """

    url: Annotated[str, Parameter(env_var='CURRANTREACH_URL')] = (
        'http://127.0.0.1:8080'
    )
    key: Annotated[
        str,
        Parameter(env_var='CURRANTREACH_KEY', show_default=False),
    ] = attrs.field(default='', repr=False)
    output: Literal['text', 'json'] = 'text'


COMMON: Final = Common()


async def perform(
    common: Common,
    work: Callable[[Client], Awaitable[Reply]],
) -> ExitCode:
    """Run the calls of a command, print the reply and return its code."""
    headers = {'Authorization': f'Bearer {common.key}'} if common.key else {}
    try:
        async with aiohttp.ClientSession(headers=headers) as http:
            reply = await work(Client(http, common.url, RetryPolicy()))
    except NoDaemonError as absent:
        show_error(str(absent), common.output)
        return ExitCode.unreachable
    except LostAnswerError as lost:
        show_error(str(lost), common.output)
        return ExitCode.unknown
    except (ConfigurationError, ValueError) as fault:
        # aiohttp raises ValueError for addresses and headers it cannot send.
        show_error(str(fault), common.output)
        return ExitCode.usage
    show(reply.payload, common.output)
    return judge(reply)
