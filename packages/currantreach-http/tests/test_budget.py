"""Tests of the bound on the bytes of all requests.

Without one, a crowd of bodies of permitted size ended a process.
"""

from __future__ import annotations

import pytest

from currantreach_http import ByteBudget

LIMIT_BYTES = 800_000
# Large requests leave an eighth to small ones.
LARGE_LIMIT_BYTES = 700_000
LARGE_BYTES = 200_000
SMALL_BYTES = 1000


@pytest.fixture
def budget():
    """Return an unused budget."""
    return ByteBudget(LIMIT_BYTES)


@pytest.fixture
def refused():
    """Return the list of refused requests."""
    return []


@pytest.fixture
def open_holding(budget, refused):
    """Return a function that opens a named holding with received bytes."""

    def open_named(name, size_bytes=0):
        holding = budget.open(lambda: refused.append(name))
        if size_bytes:
            budget.receive(holding, size_bytes)
        return holding

    return open_named


def test_newest_of_the_largest_is_refused_first(budget, open_holding, refused):
    """A crowd must not displace requests that arrived before it."""
    open_holding('oldest', LARGE_BYTES)
    open_holding('old', LARGE_BYTES)
    open_holding('newest', LARGE_BYTES)
    assert not refused
    assert budget.receive(open_holding('smaller'), LARGE_BYTES // 2 + 1)
    assert refused == ['newest']
    assert budget.total_bytes <= LARGE_LIMIT_BYTES


def test_present_request_may_be_the_one_to_refuse(
    budget, open_holding, refused
):
    """The caller of the budget refuses it, so it is not refused twice."""
    for _ in range(3):
        open_holding('old', LARGE_BYTES)
    assert not budget.receive(open_holding('late'), LARGE_BYTES)
    assert not refused
    assert budget.total_bytes == 3 * LARGE_BYTES


def test_small_requests_use_the_last_part(budget, open_holding, refused):
    """Ordinary requests were refused together with large ones."""
    served = open_holding('served')
    assert budget.serve(served, LARGE_LIMIT_BYTES)
    assert budget.receive(open_holding('small'), SMALL_BYTES)
    assert not budget.receive(open_holding('large'), LARGE_BYTES)
    assert not refused


def test_served_requests_are_never_refused(budget, open_holding, refused):
    """A job that may have been stored must not be reported as refused."""
    assert budget.serve(open_holding('served'), LARGE_LIMIT_BYTES)
    accepted = [
        budget.receive(open_holding('small'), SMALL_BYTES) for _ in range(200)
    ]
    assert accepted.count(True) == (LIMIT_BYTES // 8) // SMALL_BYTES
    assert 'served' not in refused
    assert budget.total_bytes <= LIMIT_BYTES


def test_decoded_request_that_does_not_fit(budget, open_holding):
    """A small body may become a large job."""
    assert budget.serve(open_holding('first'), LARGE_BYTES)
    assert not budget.serve(open_holding('second'), LIMIT_BYTES)
    assert budget.total_bytes == LARGE_BYTES


def test_closed_connection_holds_nothing(budget, open_holding):
    """Bytes of closed connections used up the budget."""
    holding = open_holding('closed', LARGE_BYTES)
    budget.serve(holding, SMALL_BYTES)
    budget.receive(holding, SMALL_BYTES)
    budget.close(holding)
    assert budget.total_bytes == 0


def test_closed_holding_stays_empty(budget, open_holding, refused):
    """Bytes set after a connection was lost were held until a restart."""
    other = open_holding('other', LARGE_BYTES)
    holding = open_holding('closed', LARGE_BYTES)
    budget.close(holding)
    budget.set_bytes(holding, received_bytes=1, served_bytes=1)
    assert budget.receive(holding, LIMIT_BYTES)
    assert budget.serve(holding, LIMIT_BYTES)
    budget.close(holding)
    assert not refused
    assert budget.total_bytes == other.received_bytes == LARGE_BYTES
