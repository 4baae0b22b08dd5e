"""Tests of the store's state against a simple model."""

from __future__ import annotations

import pytest
from hypothesis import given, strategies

from currantreach_standins import _store_state
from currantreach_types import ManualClock

_KEYS = strategies.sampled_from(('a/1', 'a/2', 'b/1'))
_STEPS = strategies.lists(
    strategies.tuples(strategies.sampled_from(('put', 'delete')), _KEYS),
    max_size=40,
)


@given(steps=_STEPS)
def test_changes_match_the_history_after_compaction(steps):
    """Guard against a compacted log that loses or repeats changes."""
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(_store_state, '_LOG_SLACK', 2)
        state = _store_state.StoreState(ManualClock())
    present = {}
    last_change = {}
    revision = 0
    for number, (step, key) in enumerate(steps):
        expected = present.get(key, 0)
        if step == 'put':
            revision += 1
            stored = str(number).encode()
            present[key] = state.put(key, stored, expected, '')
            assert present[key] == revision
        else:
            state.delete(key, expected)
            revision += 1 if expected else 0
            present.pop(key, None)
        if step == 'put' or expected:
            last_change[key] = revision

    for after in range(revision + 1):
        changes = state.changes('a/', after)
        seen = {entry.key: entry.revision for entry in changes.changed}
        later = {
            key
            for key, changed in last_change.items()
            if changed > after and key.startswith('a/')
        }
        assert changes.revision == revision
        assert seen == {key: present[key] for key in later & present.keys()}
        assert set(changes.deleted) == later - present.keys()
