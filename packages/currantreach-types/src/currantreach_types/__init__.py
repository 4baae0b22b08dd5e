"""Data classes, wire codec, refusals, errors and clocks."""

from __future__ import annotations

from currantreach_types._clock import (
    BootClock,
    Clock,
    ManualClock,
    MonotonicClock,
    unix_now_ms,
)
from currantreach_types._codec import (
    decode_json,
    decode_msgpack,
    decode_strict_json,
    encode_json,
    encode_msgpack,
)
from currantreach_types._refusals import Refusal
from currantreach_types._request_ids import RequestId, new_request_id
from currantreach_types._resources import Resources
from currantreach_types._tasks import (
    Answer,
    PolicyKind,
    RequestState,
    TaskSpec,
    task_id,
)
from currantreach_types._workers import (
    HostState,
    Inventory,
    StartOrder,
    StartOutcome,
    StartResult,
    TaskPhase,
    WorkerEvents,
    WorkerInfo,
    WorkerTask,
)

__all__ = (
    'Answer',
    'BootClock',
    'Clock',
    'HostState',
    'Inventory',
    'ManualClock',
    'MonotonicClock',
    'PolicyKind',
    'Refusal',
    'RequestId',
    'RequestState',
    'Resources',
    'StartOrder',
    'StartOutcome',
    'StartResult',
    'TaskPhase',
    'TaskSpec',
    'WorkerEvents',
    'WorkerInfo',
    'WorkerTask',
    'decode_json',
    'decode_msgpack',
    'decode_strict_json',
    'encode_json',
    'encode_msgpack',
    'new_request_id',
    'task_id',
    'unix_now_ms',
)
