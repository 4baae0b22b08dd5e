"""Tests of claims on partitions."""

from __future__ import annotations

import pytest

from currantreach_state import ClaimStore, Session
from currantreach_types.errors import (
    ConflictError,
    LostAnswerError,
    StaleEpochError,
)


@pytest.fixture
def keepers(store, clock, run):
    """Return the claim keepers of three live daemons."""
    found = {}
    for name in 'abc':
        session = Session(store, clock, 'north-1', name)
        run(session.open())
        found[name] = ClaimStore(store, 'north-1', name, session)
        found[name].session = session
    return found


def test_live_owner_keeps_its_claim(keepers, clock, run):
    """Guard against a takeover from a daemon whose session lasts."""
    claim = run(keepers['a'].acquire(0, None))
    with pytest.raises(ConflictError):
        run(keepers['b'].acquire(0, run(keepers['b'].read(0))))
    clock.advance(3.9)
    run(keepers['b'].session.renew())
    run(keepers['c'].session.renew())
    clock.advance(0.1)

    takes = [keepers[name].acquire(0, claim) for name in 'bc']
    # Both have read that the session is gone before one of them writes.
    for take in takes * 3:
        take.send(None)
    assert run(takes[0]).epoch == 2
    with pytest.raises(ConflictError):
        run(takes[1])


def test_lost_answers_are_settled(keepers, store, run):
    """Guard against a write taken for a success or failure it was not."""
    store.faults.append('lost')
    claim = run(keepers['a'].acquire(0, None))
    assert claim == run(keepers['a'].read(0))
    store.faults.append('late')
    with pytest.raises(LostAnswerError):
        run(keepers['a'].acquire(1, None))
    assert run(keepers['b'].acquire(1, None)).owner == 'b'
    store.land()
    assert run(keepers['b'].read(1)).owner == 'b'


def test_late_hand_over_loses_to_the_owner(keepers, store, run):
    """Guard against two owners after a handing over that seemed to fail."""
    claim = run(keepers['a'].acquire(0, None))
    successor = keepers['b'].session.session_id
    store.faults.append('late')
    with pytest.raises(LostAnswerError):
        run(keepers['a'].transfer(claim, 'b', successor))
    claim = run(keepers['a'].acquire(0, run(keepers['a'].read(0))))
    store.land()
    assert run(keepers['a'].read(0)) == claim

    run(keepers['a'].transfer(claim, 'b', successor))
    handed = run(keepers['b'].read(0))
    assert keepers['b'].is_current(handed)
    assert run(keepers['b'].acquire(0, handed)).epoch == 4
    run(keepers['b'].session.close())
    assert not keepers['b'].is_current(handed)
    with pytest.raises(StaleEpochError):
        run(keepers['b'].acquire(0, handed))
    run(keepers['b'].session.renew())
    assert not keepers['b'].is_current(handed)
