"""Claims, journal and allotments kept in the platform store."""

from __future__ import annotations

from currantreach_state._allotments import (
    AllotmentEntry,
    AllotmentRecord,
    Allotments,
)
from currantreach_state._claims import Claim, ClaimStore
from currantreach_state._config_record import ConfigStore, OutageReport
from currantreach_state._journal import Journal, JournalRecord, RecordKind
from currantreach_state._peer_leases import (
    PeerLeaseGrantor,
    PeerLeaseHolder,
    TakeoverRule,
    TakeoverVote,
)
from currantreach_state._roster import Roster, RosterMember, RosterView
from currantreach_state._session import MemberRecord, Session, member_key

__all__ = (
    'AllotmentEntry',
    'AllotmentRecord',
    'Allotments',
    'Claim',
    'ClaimStore',
    'ConfigStore',
    'Journal',
    'JournalRecord',
    'MemberRecord',
    'OutageReport',
    'PeerLeaseGrantor',
    'PeerLeaseHolder',
    'RecordKind',
    'Roster',
    'RosterMember',
    'RosterView',
    'Session',
    'TakeoverRule',
    'TakeoverVote',
    'member_key',
)
