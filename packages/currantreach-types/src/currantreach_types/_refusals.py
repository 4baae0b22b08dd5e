"""Reasons not to run a request and what the caller can do."""

from __future__ import annotations

import types

import attrs

__all__ = ('REFUSALS', 'Refusal', 'get_refusal')


@attrs.frozen(slots=True)
class Refusal:
    """Reason why a request was not run.

    :ivar reason: machine-readable name, also the label of its counter.
    :ivar remedy: what the caller can do about it.
    :ivar can_retry: whether the same request can succeed later.
    :ivar retry_after_s: seconds to wait before a retry.
    """

    reason: str
    remedy: str
    can_retry: bool = False
    retry_after_s: float = 0

    def with_retry_after(self, retry_after_s: float) -> Refusal:
        """Return a copy with another ``retry_after_s``."""
        return attrs.evolve(self, retry_after_s=retry_after_s)


BODY_MALFORMED = Refusal(
    'body_malformed',
    'correct the field that the message names and submit again',
)
BODY_TOO_LARGE = Refusal('body_too_large', 'send a body within the limit')
CANCELLED = Refusal('cancelled', 'submit again if the work is still wanted')
CONNECTION_LIMIT = Refusal(
    'connection_limit',
    'retry over fewer connections or at another entry host',
    can_retry=True,
    retry_after_s=1,
)
CONFIGURATION_STALE = Refusal(
    'configuration_stale',
    'wait until this failure domain reaches the store or its peers again',
    can_retry=True,
    retry_after_s=5,
)
DEADLINE_UNREACHABLE = Refusal(
    'deadline_unreachable',
    'retry with a later deadline or after the burst',
    can_retry=True,
    retry_after_s=1,
)
ID_EPOCH_PASSED = Refusal(
    'id_epoch_passed',
    'fetch a new request id and submit again',
    can_retry=True,
)
ID_REUSED = Refusal(
    'id_reused',
    'use a new request id for a request with another body',
)
KEY_MISSING = Refusal('key_missing', 'send a key as bearer token')
KEY_UNKNOWN = Refusal('key_unknown', 'ask an operator for a valid key')
KEY_WITHDRAWN = Refusal('key_withdrawn', 'ask an operator for a new key')
KEY_OTHER_TEAM = Refusal(
    'key_other_team',
    'use a key of the team that the request names',
)
LIMIT_NEVER_FITS = Refusal(
    'limit_never_fits',
    'ask for less than the upper limit of the team',
)
NEVER_FITS = Refusal(
    'never_fits',
    'ask for no more than one worker holds, or fewer gang tasks',
)
NO_OWNER = Refusal(
    'no_owner',
    'retry; a daemon is taking over this part of the fleet',
    can_retry=True,
    retry_after_s=2,
)
OVERLOADED = Refusal(
    'overloaded',
    'retry later with back-off, or at another entry host',
    can_retry=True,
    retry_after_s=1,
)
OWNER_UNREACHABLE = Refusal(
    'owner_unreachable',
    'retry; the request was not sent to the owner',
    can_retry=True,
    retry_after_s=1,
)
QUEUE_FULL = Refusal(
    'queue_full',
    'retry later with back-off',
    can_retry=True,
    retry_after_s=5,
)
QUEUE_UNKNOWN = Refusal('queue_unknown', 'use a queue of the configuration')
QUEUE_NOT_OPEN = Refusal(
    'queue_not_open',
    'send a key of a team that may use this queue',
)
REPEATED_FAILURE = Refusal(
    'repeated_failure',
    'check the job; it failed on several healthy workers',
)
RETRY_BUDGET_SPENT = Refusal(
    'retry_budget_spent',
    'slow down; this team retries more than its budget allows',
    can_retry=True,
    retry_after_s=10,
)
STOPPING = Refusal(
    'stopping',
    'retry; this daemon is shutting down',
    can_retry=True,
    retry_after_s=1,
)
STORE_UNAVAILABLE = Refusal(
    'store_unavailable',
    'retry; the work could not be recorded',
    can_retry=True,
    retry_after_s=5,
)
TEAM_RATE = Refusal(
    'team_rate',
    'send fewer requests at once for this team',
    can_retry=True,
    retry_after_s=1,
)
TEAM_UNKNOWN = Refusal('team_unknown', 'use a team of the configuration')
WORKER_REFUSED = Refusal(
    'worker_refused',
    'retry; the worker did not start the task',
    can_retry=True,
    retry_after_s=1,
)

REFUSALS = (
    BODY_MALFORMED,
    BODY_TOO_LARGE,
    CANCELLED,
    CONFIGURATION_STALE,
    CONNECTION_LIMIT,
    DEADLINE_UNREACHABLE,
    ID_EPOCH_PASSED,
    ID_REUSED,
    KEY_MISSING,
    KEY_OTHER_TEAM,
    KEY_UNKNOWN,
    KEY_WITHDRAWN,
    LIMIT_NEVER_FITS,
    NEVER_FITS,
    NO_OWNER,
    OVERLOADED,
    OWNER_UNREACHABLE,
    QUEUE_FULL,
    QUEUE_NOT_OPEN,
    QUEUE_UNKNOWN,
    REPEATED_FAILURE,
    RETRY_BUDGET_SPENT,
    STOPPING,
    STORE_UNAVAILABLE,
    TEAM_RATE,
    TEAM_UNKNOWN,
    WORKER_REFUSED,
)

_BY_REASON = types.MappingProxyType(
    {refusal.reason: refusal for refusal in REFUSALS},
)


def get_refusal(reason: str) -> Refusal:
    """Return the refusal with this reason.

    :raises KeyError: if no refusal has this reason.
    """
    return _BY_REASON[reason]
