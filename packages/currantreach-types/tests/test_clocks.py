"""Clocks of hosts that are suspended."""

from __future__ import annotations

import time

from currantreach_types import BootClock


def test_boot_clock_counts_a_suspension(monkeypatch):
    """A leader that was suspended took its lease for a valid one.

    The monotonic clock stands still during a suspension, the clock since boot
    does not.
    """
    readings_s = {time.CLOCK_BOOTTIME: 100, time.CLOCK_MONOTONIC: 100}
    monkeypatch.setattr(time, 'clock_gettime', readings_s.get)
    monkeypatch.setattr(time, 'monotonic', lambda: 100)
    clock = BootClock()
    began_s = clock.now_s()
    readings_s[time.CLOCK_BOOTTIME] += 4
    assert clock.now_s() == began_s + 4
