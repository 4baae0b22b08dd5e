"""Reasons why a stage waits."""

from __future__ import annotations

import enum

__all__ = ('WaitReason',)


class WaitReason(enum.StrEnum):
    """Why a stage was not started in the last round.

    :cvar HELD: an earlier leader may have started its tasks on a worker whose
        runs are not known yet.
    :cvar GANG_INCOMPLETE: some tasks of the gang's last run have not ended.
    :cvar TEAM_LIMIT: the team has reached its limit.
    :cvar PAUSED: a worker has just refused a start of the stage.
    :cvar ADVICE_PENDING: a call to the placement service is in flight.
    :cvar NO_ADVISER_FREE: all daemons are busy with other such calls.
    :cvar NOT_ALLOWED: only workers that the placement service forbids have
        free capacity.
    :cvar RESERVED: only workers that are reserved for another stage have free
        capacity.
    :cvar EVACUATED: only workers in evacuated failure domains have free
        capacity, or no others exist. A start order is withdrawn for the same
        reason.
    :cvar NO_ROOM: no usable worker was found with enough free capacity. The
        wait monitor replaces it by ``RESERVED``, ``NOT_ALLOWED`` or
        ``EVACUATED`` where one of them applies.
    :cvar RECORDS_UNWRITTEN: the records of other starts are not stored yet.
    :cvar RECORD_REJECTED: the store has rejected the record of the job.
    :cvar NO_CONFIGURATION: the limits of the teams are not known yet.
    :cvar NO_LEASE: the leader's lease may have expired.
    :cvar EVACUATIONS_UNKNOWN: the store has not answered the watch on the
        evacuations for so long that a new one may be binding already.
    """

    HELD = 'held'
    GANG_INCOMPLETE = 'gang_incomplete'
    TEAM_LIMIT = 'team_limit'
    PAUSED = 'paused'
    ADVICE_PENDING = 'advice_pending'
    NO_ADVISER_FREE = 'no_adviser_free'
    NOT_ALLOWED = 'not_allowed'
    RESERVED = 'reserved'
    EVACUATED = 'evacuated'
    NO_ROOM = 'no_room'
    RECORDS_UNWRITTEN = 'records_unwritten'
    RECORD_REJECTED = 'record_rejected'
    NO_CONFIGURATION = 'no_configuration'
    NO_LEASE = 'no_lease'
    EVACUATIONS_UNKNOWN = 'evacuations_unknown'
