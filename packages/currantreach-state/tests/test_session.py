"""Tests of membership sessions."""

from __future__ import annotations

import math

import pytest

from currantreach_state import Session, member_key
from currantreach_types.errors import OutcomeUnknownError, StoreUnavailableError


@pytest.fixture
def session(store, clock, run):
    """Return an open session with a lease of 4 s and a margin of 0.5 s."""
    opened = Session(store, clock, 'north-1', 'a', ttl_s=4, margin_s=0.5)
    run(opened.open())
    return opened


def test_deadline_counts_from_before_sending(session, store, clock, run):
    """Guard against a deadline after the expiry of the lease."""
    steps = session.renew()
    steps.send(None)
    clock.advance(1)
    steps.send(None)
    clock.advance(2)

    assert run(steps)
    assert session.deadline_s == pytest.approx(103.5)
    store.faults.append('lost')
    with pytest.raises(OutcomeUnknownError):
        run(session.renew())
    assert session.deadline_s == pytest.approx(103.5)


def test_lost_lease_starts_a_new_session(session, store, clock, run):
    """Guard against claims that outlive the session of their owner."""
    old_id = session.session_id
    clock.advance(4)
    store.faults.extend((None, 'down'))
    with pytest.raises(StoreUnavailableError):
        run(session.renew())
    assert session.session_id == old_id

    assert not run(session.renew())
    assert session.session_id != old_id
    assert session.deadline_s == pytest.approx(107.5)
    run(session.close())
    assert session.deadline_s == -math.inf
    assert store.peek(member_key('north-1', 'a')) is None


@pytest.mark.parametrize('fault', ['lost', 'late'])
def test_record_of_a_predecessor_is_replaced(session, store, clock, run, fault):
    """Guard against a member record that expires with the predecessor."""
    clock.advance(3)
    successor = Session(store, clock, 'north-1', 'a')
    store.faults.extend((None, None, fault))
    run(successor.open())
    clock.advance(3)

    record = store.peek(member_key('north-1', 'a'))
    assert successor.session_id in record.stored.decode()
