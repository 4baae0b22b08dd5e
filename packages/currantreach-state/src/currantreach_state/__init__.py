"""Claims, journal, allotments and configuration in the platform store."""

from __future__ import annotations

from currantreach_state._allotments import (
    AllotmentEntry,
    AllotmentRecord,
    Allotments,
)
from currantreach_state._claims import Claim, ClaimKeeper
from currantreach_state._config_record import ConfigKeeper, OutageReport
from currantreach_state._journal import Journal, JournalRecord, RecordKind
from currantreach_state._promises import (
    Consent,
    PromiseBook,
    PromiseRun,
    TakeoverRule,
)
from currantreach_state._roster import Roster, RosterMember, RosterView
from currantreach_state._session import MemberRecord, Session, member_key

__all__ = (
    'AllotmentEntry',
    'AllotmentRecord',
    'Allotments',
    'Claim',
    'ClaimKeeper',
    'ConfigKeeper',
    'Consent',
    'Journal',
    'JournalRecord',
    'MemberRecord',
    'OutageReport',
    'PromiseBook',
    'PromiseRun',
    'RecordKind',
    'Roster',
    'RosterMember',
    'RosterView',
    'Session',
    'TakeoverRule',
    'member_key',
)
