"""Tests of shedding."""

from __future__ import annotations

from currantreach_daemon._shedding import Shedder
from currantreach_types import ManualClock


def test_part_follows_lateness():
    """Guard against refusals at normal load and against none at overload."""
    shedder = Shedder(ManualClock())
    for _ in range(100):
        shedder.note(0.01)
    assert shedder.refused_part() == 0

    shedder.note(0.1)
    assert shedder.refused_part() == 0

    for _ in range(100):
        shedder.note(1)
    assert shedder.refused_part() > 0.9

    for _ in range(100):
        shedder.note(0)
    assert shedder.refused_part() == 0
