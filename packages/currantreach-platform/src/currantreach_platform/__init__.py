"""Clients for the platform: store, host list and workers."""

from __future__ import annotations

from currantreach_platform._bound_channel import (
    BoundChannel,
    OtherProcessError,
)
from currantreach_platform._channel import Channel
from currantreach_platform._exchange import (
    HttpRequest,
    HttpResponse,
    NoResponseError,
    NotSentError,
)
from currantreach_platform._hosts import HostList
from currantreach_platform._http_hosts import HttpHostList
from currantreach_platform._http_store import HttpStore
from currantreach_platform._http_workers import HttpWorkerClient
from currantreach_platform._store import (
    KeyValue,
    Store,
    TransactionalStore,
    WatchResult,
    Write,
)
from currantreach_platform._workers import WorkerClient

__all__ = (
    'BoundChannel',
    'Channel',
    'HostList',
    'HttpHostList',
    'HttpRequest',
    'HttpResponse',
    'HttpStore',
    'HttpWorkerClient',
    'KeyValue',
    'NoResponseError',
    'NotSentError',
    'OtherProcessError',
    'Store',
    'TransactionalStore',
    'WatchResult',
    'WorkerClient',
    'Write',
)
