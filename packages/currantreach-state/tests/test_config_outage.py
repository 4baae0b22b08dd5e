"""Test of the configuration record during a store outage."""

from __future__ import annotations

import pytest

from currantreach_config import CellConfig, ConfigRecord
from currantreach_state import ConfigStore
from currantreach_types.errors import OutcomeUnknownError


def test_lost_write_before_an_outage_is_not_denied(clock, store, run):
    """Guard against reporting a change as not written that was written."""
    config_store = ConfigStore(store, clock, freshness_s=5)
    record = ConfigRecord(
        revision=1,
        change_id='first',
        author='operator',
        cell=CellConfig(site='agency', teams=(), queues=()),
    )
    # The read succeeds, the write loses its answer, then the store is down.
    store.faults.extend(('', 'lost', 'down'))
    with pytest.raises(OutcomeUnknownError):
        run(config_store.write(record, 0))
    assert store.peek('config/current') is not None
