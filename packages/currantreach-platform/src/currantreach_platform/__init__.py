"""Clients of the platform: store, host list and workers."""

from __future__ import annotations

from currantreach_platform._channel import (
    Call,
    Channel,
    NoAnswerError,
    NotSentError,
    Reply,
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
    'Call',
    'Channel',
    'HostList',
    'HttpHostList',
    'HttpStore',
    'HttpWorkerClient',
    'KeyValue',
    'NoAnswerError',
    'NotSentError',
    'Reply',
    'Store',
    'TransactionalStore',
    'WatchResult',
    'WorkerClient',
    'Write',
)
