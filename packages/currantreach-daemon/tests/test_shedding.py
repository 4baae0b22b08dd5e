"""Tests of load shedding."""

from __future__ import annotations

from currantreach_daemon._shedding import LoadShedder
from currantreach_types import ManualClock


def test_ratio_follows_lag():
    """Guard against refusals at normal load, and none at overload."""
    shedder = LoadShedder(ManualClock())
    for _ in range(100):
        shedder.record_lag(0.01)
    assert shedder.refusal_ratio() == 0

    shedder.record_lag(0.1)
    assert shedder.refusal_ratio() == 0

    for _ in range(100):
        shedder.record_lag(1)
    assert shedder.refusal_ratio() > 0.9

    for _ in range(100):
        shedder.record_lag(0)
    assert shedder.refusal_ratio() == 0
