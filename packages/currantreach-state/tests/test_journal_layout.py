"""Tests of the layout of the journal."""

from __future__ import annotations

from currantreach_state import JournalRecord, RecordKind
from currantreach_state._journal_layout import Head, Layout, Segment


def _record(request_id, kind=RecordKind.accepted):
    return JournalRecord(
        request_id=request_id,
        kind=kind,
        spec_json='{}',
        answer_json='',
        body_hash='',
    )


def test_rewritten_segment_keeps_its_newest_records():
    """Guard against accepted requests lost by compacting a segment."""
    layout = Layout()
    request_ids = ('a', 'b', 'c')
    segment = Segment('old', tuple(_record(name) for name in request_ids))
    layout.load(Head(segments=('old',)), {'old': segment.records})
    ended = tuple(_record(name, RecordKind.ended) for name in ('b', 'c'))
    layout.apply(layout.plan(Head(records=ended), None, None))
    assert layout.sparse_segment() == 'old'
    plan = layout.plan(Head(records=(_record('d'),)), None, segment)
    layout.apply(plan)
    assert not plan.head.segments
    live = Layout().load(plan.head, {})
    assert {record.request_id for record in live} == {'a', 'b', 'c', 'd'}
    assert {
        record.request_id
        for record in live
        if record.kind == RecordKind.accepted
    } == {'a', 'd'}
