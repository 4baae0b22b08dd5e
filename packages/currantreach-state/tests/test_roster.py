"""Tests of the roster of a failure domain."""

from __future__ import annotations

import pytest

from currantreach_state import Roster, RosterMember


@pytest.fixture
def roster(store):
    """Return an empty roster."""
    return Roster(store, 'north-1')


def test_concurrent_joins_are_all_kept(roster, run):
    """Guard against a registration lost to a concurrent change."""
    joins = [roster.join(name, 's', 'address') for name in 'abc']
    # All of them read the roster before the first of them writes it.
    for join in joins * 3:
        join.send(None)
    for join in joins:
        run(join)

    assert set(run(roster.members()).members) == {'a', 'b', 'c'}


@pytest.mark.parametrize('fault', ['lost', 'late'])
def test_lost_answers_are_resolved(roster, store, run, fault):
    """Guard against joining or leaving that fails silently."""
    store.faults.extend((None, fault))
    run(roster.join('a', 's1', 'address'))
    assert 'a' in run(roster.members()).members
    store.faults.extend((None, fault))
    run(roster.leave('a'))
    assert not run(roster.members()).members


def test_successor_replaces_the_entry(roster, run):
    """Guard against a successor that is removed or treated as absent."""
    first = run(roster.join('a', 's1', 'old')).members['a']
    run(roster.join('b', 's', 'address'))
    run(roster.join('a', 's2', 'new'))
    view = run(roster.leave('a', 's1'))
    assert view.members['a'] == RosterMember(
        session_id='s2', address='new', absent_revision=first.absent_revision
    )

    left = run(roster.leave('a', 's2'))
    again = run(roster.join('a', 's2', 'new')).members['a']
    assert again.absent_revision == left.revision
