"""Configuration: base file, overlays, keys and daemon settings."""

from __future__ import annotations

from currantreach_config._diff import Change, diff
from currantreach_config._faults import ConfigurationFaultsError, Fault
from currantreach_config._keys import KeyRing, active_keys, new_key
from currantreach_config._merge import check_documents, check_files
from currantreach_config._model import (
    CellConfig,
    ConfigRecord,
    KeyRecord,
    KeyRole,
    LimitsConfig,
    QueueConfig,
    TeamConfig,
)
from currantreach_config._records import (
    drain_worker,
    grant_key,
    initial_record,
    merge_change,
    withdraw_key,
)
from currantreach_config._settings import (
    DaemonSettings,
    LogLevel,
    PeerSettings,
    WorkerFencing,
    load_settings,
    read_peer_secret,
)

__all__ = (
    'CellConfig',
    'Change',
    'ConfigRecord',
    'ConfigurationFaultsError',
    'DaemonSettings',
    'Fault',
    'KeyRecord',
    'KeyRing',
    'KeyRole',
    'LimitsConfig',
    'LogLevel',
    'PeerSettings',
    'QueueConfig',
    'TeamConfig',
    'WorkerFencing',
    'active_keys',
    'check_documents',
    'check_files',
    'diff',
    'drain_worker',
    'grant_key',
    'initial_record',
    'load_settings',
    'merge_change',
    'new_key',
    'read_peer_secret',
    'withdraw_key',
)
