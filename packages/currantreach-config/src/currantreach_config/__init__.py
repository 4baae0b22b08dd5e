"""Configuration: base file, overlays, keys and daemon settings."""

from __future__ import annotations

from currantreach_config._diff import Change, diff
from currantreach_config._faults import ConfigurationFaultsError, Fault
from currantreach_config._keys import KeyRing, new_key, usable_keys
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
    first_record,
    grant_key,
    merge_change,
    withdraw_key,
)
from currantreach_config._settings import (
    DaemonSettings,
    LogLevel,
    PeerSettings,
    WorkerFencing,
    load_settings,
    peer_secret_of,
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
    'check_documents',
    'check_files',
    'diff',
    'drain_worker',
    'first_record',
    'grant_key',
    'load_settings',
    'merge_change',
    'new_key',
    'peer_secret_of',
    'usable_keys',
    'withdraw_key',
)
