"""Host list over HTTP."""

from __future__ import annotations

import attrs

from currantreach_platform._channel import (
    Call,
    Channel,
    NoAnswerError,
    NotSentError,
)
from currantreach_platform._hosts import HostList
from currantreach_types import HostState, Resources, WorkerInfo, decode_json
from currantreach_types.errors import MalformedMessageError, PlatformError

__all__ = ('HttpHostList',)

_OK = 200
_WORKER_KIND = 'worker'


@attrs.frozen(slots=True, kw_only=True)
class _Host:
    """Entry of the published format; hosts of other kinds lack capacity."""

    name: str
    kind: str
    failure_domain: str
    rack: str
    address: str
    state: HostState
    capacity: Resources = Resources()
    labels: dict[str, str] = attrs.field(factory=dict)

    def as_worker(self) -> WorkerInfo:
        """Return the entry in the form that the other packages use."""
        return WorkerInfo(
            name=self.name,
            failure_domain=self.failure_domain,
            rack=self.rack,
            url=self.address,
            capacity=self.capacity,
            state=self.state,
            labels=self.labels,
        )


@attrs.frozen(slots=True, kw_only=True)
class _Hosts:
    """Answer to ``GET /v1/hosts``."""

    hosts: tuple[_Host, ...]


class HttpHostList(HostList):
    """Client of the host list's published HTTP format."""

    def __init__(self, url: str, deadline_s: float = 1) -> None:
        """Prepare the connections; must be called in a running event loop.

        :param url: base address of the host list.
        :param deadline_s: total time of one call.
        """
        self._channel = Channel(url, deadline_s)

    async def workers(self) -> tuple[WorkerInfo, ...]:
        """Return all workers that the platform knows.

        :raises PlatformError: if the list cannot be read.
        """
        call = Call(method='GET', path='/v1/hosts')
        try:
            reply = await self._channel.call(call)
        except (NotSentError, NoAnswerError) as exc:
            raise PlatformError(f'host list: {exc}; retry later') from exc
        if reply.status != _OK:
            raise PlatformError(
                f'host list: status {reply.status}; check its address',
            )
        return _read_workers(reply.body)

    async def close(self) -> None:
        """Close all connections."""
        await self._channel.close()


def _read_workers(body: bytes) -> tuple[WorkerInfo, ...]:
    try:
        answer = decode_json(body, _Hosts)
    except MalformedMessageError as exc:
        raise PlatformError(f'host list: {exc}; check its version') from exc
    return tuple(
        host.as_worker() for host in answer.hosts if host.kind == _WORKER_KIND
    )
