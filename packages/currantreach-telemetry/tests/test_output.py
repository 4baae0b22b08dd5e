"""Tests of the log output with slow and closed readers."""

from __future__ import annotations

import contextlib
import os

import pytest

from currantreach_telemetry import NonBlockingOutput

LONG_LINE = 'x' * 1000


@pytest.fixture
def pipe():
    """Return the two ends of a pipe."""
    ends = os.pipe()
    yield ends
    for end in ends:
        with contextlib.suppress(OSError):
            os.close(end)


def test_slow_reader_does_not_block(pipe):
    """A full pipe must not block the process that writes the log."""
    reader, writer = pipe
    output = NonBlockingOutput(writer)
    for _ in range(200):
        output.write(f'{LONG_LINE}\n')
    assert output.dropped_count > 0
    os.read(reader, 1 << 20)
    output.write('next\n')
    output_text = os.read(reader, 1 << 20).decode()
    assert 'event=log_lines_dropped count=' in output_text
    assert output_text.endswith('next\n')
    assert not output.dropped_count


def test_line_rate_is_limited(pipe):
    """A burst of events must not cause unlimited output."""
    _, writer = pipe
    output = NonBlockingOutput(writer)
    for _ in range(5000):
        output.write('y\n')
    assert output.dropped_count > 0


def test_closed_reader_is_no_error(pipe):
    """A closed reader must not terminate the process."""
    reader, writer = pipe
    output = NonBlockingOutput(writer)
    os.close(reader)
    assert output.write('z\n') == 2
