"""Configuration: base file, overlays, keys and daemon settings."""

from __future__ import annotations

from currantreach_config._model import (
    CellConfig,
    ConfigRecord,
    KeyRecord,
    KeyRole,
    LimitsConfig,
    QueueConfig,
    TeamConfig,
)

__all__ = (
    'CellConfig',
    'ConfigRecord',
    'KeyRecord',
    'KeyRole',
    'LimitsConfig',
    'QueueConfig',
    'TeamConfig',
)
