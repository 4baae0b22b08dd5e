"""Claims, journal and allotments kept in the platform store."""

from __future__ import annotations

from currantreach_state._allotments import (
    AllotmentEntry,
    AllotmentRecord,
    Allotments,
)
from currantreach_state._config_record import ConfigKeeper, OutageReport
from currantreach_state._journal import Journal, JournalRecord, RecordKind

__all__ = (
    'AllotmentEntry',
    'AllotmentRecord',
    'Allotments',
    'ConfigKeeper',
    'Journal',
    'JournalRecord',
    'OutageReport',
    'RecordKind',
)
