"""Claims, journal and allotments kept in the platform store."""

from __future__ import annotations

from currantreach_state._claims import Claim, ClaimKeeper
from currantreach_state._promises import (
    Consent,
    PromiseBook,
    PromiseRun,
    TakeoverRule,
)
from currantreach_state._roster import Roster, RosterMember, RosterView
from currantreach_state._session import MemberRecord, Session, member_key

__all__ = (
    'Claim',
    'ClaimKeeper',
    'Consent',
    'MemberRecord',
    'PromiseBook',
    'PromiseRun',
    'Roster',
    'RosterMember',
    'RosterView',
    'Session',
    'TakeoverRule',
    'member_key',
)
