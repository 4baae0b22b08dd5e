"""Tests of claims on partitions."""

from __future__ import annotations

import pytest

from currantreach_state import ClaimStore, Session
from currantreach_types.errors import (
    ConflictError,
    OutcomeUnknownError,
    StaleEpochError,
)


@pytest.fixture
def claim_stores(store, clock, run):
    """Return the claim stores of three live daemons."""
    found = {}
    for name in 'abc':
        session = Session(store, clock, 'north-1', name)
        run(session.open())
        found[name] = ClaimStore(store, 'north-1', name, session)
        found[name].session = session
    return found


def test_live_owner_keeps_its_claim(claim_stores, clock, run):
    """Guard against a takeover from a daemon with a live session."""
    claim = run(claim_stores['a'].acquire(0, None))
    with pytest.raises(ConflictError):
        run(claim_stores['b'].acquire(0, run(claim_stores['b'].read(0))))
    clock.advance(3.9)
    run(claim_stores['b'].session.renew())
    run(claim_stores['c'].session.renew())
    clock.advance(0.1)

    acquisitions = [claim_stores[name].acquire(0, claim) for name in 'bc']
    # Both have read that the session has ended before one of them writes.
    for acquisition in acquisitions * 3:
        acquisition.send(None)
    assert run(acquisitions[0]).epoch == 2
    with pytest.raises(ConflictError):
        run(acquisitions[1])


def test_lost_answers_are_resolved(claim_stores, store, run):
    """Guard against a lost answer misread as a success or failure."""
    store.faults.append('lost')
    claim = run(claim_stores['a'].acquire(0, None))
    assert claim == run(claim_stores['a'].read(0))
    store.faults.append('late')
    with pytest.raises(OutcomeUnknownError):
        run(claim_stores['a'].acquire(1, None))
    assert run(claim_stores['b'].acquire(1, None)).owner == 'b'
    store.apply_late_call()
    assert run(claim_stores['b'].read(1)).owner == 'b'


def test_late_transfer_loses_to_the_owner(claim_stores, store, run):
    """Guard against two owners after a transfer that seemed to fail."""
    claim = run(claim_stores['a'].acquire(0, None))
    successor = claim_stores['b'].session.session_id
    store.faults.append('late')
    with pytest.raises(OutcomeUnknownError):
        run(claim_stores['a'].transfer(claim, 'b', successor))
    claim = run(claim_stores['a'].acquire(0, run(claim_stores['a'].read(0))))
    store.apply_late_call()
    assert run(claim_stores['a'].read(0)) == claim

    run(claim_stores['a'].transfer(claim, 'b', successor))
    transferred = run(claim_stores['b'].read(0))
    assert claim_stores['b'].is_current(transferred)
    assert run(claim_stores['b'].acquire(0, transferred)).epoch == 4
    run(claim_stores['b'].session.close())
    assert not claim_stores['b'].is_current(transferred)
    with pytest.raises(StaleEpochError):
        run(claim_stores['b'].acquire(0, transferred))
    run(claim_stores['b'].session.renew())
    assert not claim_stores['b'].is_current(transferred)
