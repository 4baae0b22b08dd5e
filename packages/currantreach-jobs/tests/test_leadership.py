"""Fencing tokens of a leader."""

from __future__ import annotations

from currantreach_jobs._settings import Leadership


def lead(epoch):
    """Return a leadership of an epoch."""
    return Leadership(epoch=epoch, revision=1, valid_until_s=9, acquired_at_s=0)


def test_tokens_rise_within_and_across_leaders():
    """A worker must refuse what was sent with any earlier token."""
    earlier = lead(5)
    tokens = [earlier.create_token() for _ in range(1000)]
    tokens.append(lead(6).create_token())
    assert tokens == sorted(set(tokens))


def test_leader_without_tokens_left_ends():
    """The tokens of a leader must not reach those of the next one."""
    leadership = lead(5)
    last = 0
    while not leadership.is_over:
        last = leadership.create_token()
    assert last < lead(6).create_token()


def test_tokens_are_exact_numbers():
    """A token must survive as a JSON number, also for an epoch from the time.

    An unreadable epoch in the store is replaced by the Unix time.
    """
    token = lead(4_000_000_000).create_token()
    assert int(float(token)) == token
