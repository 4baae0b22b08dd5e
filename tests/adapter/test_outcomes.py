"""Status codes of the responses to callers."""

from __future__ import annotations

from currantreach_adapter._caller_server import _STATUS_BY_OUTCOME
from currantreach_jobs import Outcome


def test_each_outcome_has_a_status():
    """An outcome without a status failed the request instead of refusing it."""
    assert set(_STATUS_BY_OUTCOME) == set(Outcome)
    assert _STATUS_BY_OUTCOME[Outcome.EVACUATED] == 429
