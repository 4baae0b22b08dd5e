"""What may keep a stage from being started."""

from __future__ import annotations

import enum

__all__ = ('WaitReason',)


class WaitReason(enum.StrEnum):
    """What kept a stage from being started in the last round.

    :cvar HELD: an earlier leader may have started its tasks on a worker.
    :cvar GANG_INCOMPLETE: members of its last run have not ended yet.
    :cvar TEAM_LIMIT: the team may not run more.
    :cvar PAUSED: a worker refused its last start a moment ago.
    :cvar ADVICE_PENDING: a call to the placement service is under way.
    :cvar NO_ADVISER_FREE: all daemons are busy with other such calls.
    :cvar NOT_ALLOWED: only workers that its queue forbids have room.
    :cvar RESERVED: only workers that are kept for a gang have room.
    :cvar NO_ROOM: no open worker has room.
    :cvar RECORDS_UNWRITTEN: nothing is started before the store has the
        records of other starts.
    :cvar RECORD_REJECTED: the store has rejected the record of the job.
    :cvar NO_CONFIGURATION: nothing is started before the limits of the teams
        are known.
    :cvar NO_LEASE: nothing is started while the leader's lease is not sure.
    """

    HELD = 'held'
    GANG_INCOMPLETE = 'gang_incomplete'
    TEAM_LIMIT = 'team_limit'
    PAUSED = 'paused'
    ADVICE_PENDING = 'advice_pending'
    NO_ADVISER_FREE = 'no_adviser_free'
    NOT_ALLOWED = 'not_allowed'
    RESERVED = 'reserved'
    NO_ROOM = 'no_room'
    RECORDS_UNWRITTEN = 'records_unwritten'
    RECORD_REJECTED = 'record_rejected'
    NO_CONFIGURATION = 'no_configuration'
    NO_LEASE = 'no_lease'
