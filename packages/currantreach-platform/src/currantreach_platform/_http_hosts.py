"""HTTP client for the host list."""

from __future__ import annotations

import attrs

from currantreach_platform._channel import Channel
from currantreach_platform._exchange import (
    HttpRequest,
    NoResponseError,
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
    """Entry of the published host list; only workers have a capacity."""

    name: str
    kind: str
    failure_domain: str
    rack: str
    address: str
    state: HostState
    capacity: Resources = Resources()
    labels: dict[str, str] = attrs.field(factory=dict)

    def to_worker_info(self) -> WorkerInfo:
        """Convert the entry to a worker."""
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
class _HostsResponse:
    """Response to ``GET /v1/hosts``."""

    hosts: tuple[_Host, ...]


class HttpHostList(HostList):
    """Client for the published HTTP interface of the host list."""

    def __init__(self, url: str, timeout_s: float = 1) -> None:
        """Create the connection pool; requires a running event loop.

        :param url: base URL of the host list.
        :param timeout_s: total time limit of a request.
        """
        self._channel = Channel(url, timeout_s)

    async def workers(self) -> tuple[WorkerInfo, ...]:
        """Return all workers on the list.

        :raises PlatformError: if the list cannot be read.
        """
        request = HttpRequest(method='GET', path='/v1/hosts')
        try:
            response = await self._channel.send(request)
        except (NotSentError, NoResponseError) as exc:
            raise PlatformError(f'host list: {exc}; retry later') from exc
        if response.status != _OK:
            raise PlatformError(
                f'host list: status {response.status}; check its URL',
            )
        return _decode_workers(response.body)

    async def close(self) -> None:
        """Close all connections."""
        await self._channel.close()


def _decode_workers(body: bytes) -> tuple[WorkerInfo, ...]:
    try:
        response = decode_json(body, _HostsResponse)
    except MalformedMessageError as exc:
        raise PlatformError(
            f'host list: malformed response: {exc}; check its version'
        ) from exc
    return tuple(
        host.to_worker_info()
        for host in response.hosts
        if host.kind == _WORKER_KIND
    )
