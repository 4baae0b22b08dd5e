"""Learned values with a bounded number of keys."""

from __future__ import annotations

import collections
from collections.abc import Hashable
from typing import TYPE_CHECKING, Generic, TypeVar

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

__all__ = ('Average', 'BoundedStates')

_Key = TypeVar('_Key', bound=Hashable)
_State = TypeVar('_State')


@attrs.define(slots=True, eq=False, weakref_slot=False)
class Average:
    """Average in which the newest samples keep a least weight.

    :ivar run_count: sum of the weights, up to a limit.
    """

    run_count: float = 0
    mean: float = 0

    def add(self, sample: float, limit: float, weight: float = 1) -> None:
        """Add a sample; earlier ones fade once the limit is reached."""
        self.run_count = min(limit, self.run_count + weight)
        gain = min(1, weight / self.run_count)
        self.mean += gain * (sample - self.mean)


class BoundedStates(Generic[_Key, _State]):
    """States by key; the least recently used one is evicted at the limit."""

    def __init__(self, limit: int, create: Callable[[], _State]) -> None:
        """Start without keys."""
        self._limit = limit
        self._create = create
        self._states: collections.OrderedDict[_Key, _State]
        self._states = collections.OrderedDict()

    def __len__(self) -> int:
        """Return the number of keys."""
        return len(self._states)

    def get(self, key: _Key) -> _State | None:
        """Return the state of a key without counting it as used."""
        return self._states.get(key)

    def use(self, key: _Key) -> _State:
        """Return the state of a key, which may be new."""
        state = self._states.get(key)
        if state is None:
            state = self._create()
            self._states[key] = state
            if len(self._states) > self._limit:
                self._states.popitem(last=False)
        else:
            self._states.move_to_end(key)
        return state

    def discard(self, key: _Key) -> None:
        """Drop a key, if it is known."""
        self._states.pop(key, None)

    def newest_first(self) -> Iterator[tuple[_Key, _State]]:
        """Yield all keys and states, the most recently used one first."""
        return reversed(self._states.items())
