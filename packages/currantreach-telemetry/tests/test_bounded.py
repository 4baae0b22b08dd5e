"""Log output beside slow and absent readers."""

from __future__ import annotations

import contextlib
import os

import pytest

from currantreach_telemetry import BoundedOutput

LONG_LINE = 'x' * 1000


@pytest.fixture
def pipe():
    """Return the two ends of a pipe."""
    ends = os.pipe()
    yield ends
    for end in ends:
        with contextlib.suppress(OSError):
            os.close(end)


def test_slow_reader_blocks_nobody(pipe):
    """A full pipe must not stop the process that writes its log."""
    reader, writer = pipe
    output = BoundedOutput(writer)
    for _ in range(200):
        output.write(f'{LONG_LINE}\n')
    assert output.dropped_count > 0
    os.read(reader, 1 << 20)
    output.write('next\n')
    told = os.read(reader, 1 << 20).decode()
    assert 'event=log_lines_dropped count=' in told
    assert told.endswith('next\n')
    assert not output.dropped_count


def test_volume_is_bounded(pipe):
    """A storm of events must not write without bound."""
    _, writer = pipe
    output = BoundedOutput(writer)
    for _ in range(5000):
        output.write('y\n')
    assert output.dropped_count > 0


def test_absent_reader_is_no_error(pipe):
    """A reader that went away must not end the process."""
    reader, writer = pipe
    output = BoundedOutput(writer)
    os.close(reader)
    assert output.write('z\n') == 2
