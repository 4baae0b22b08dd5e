"""Fixtures of the proofs."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any

import pytest

from proofs._ledger import Ledger
from testbed import Cell

if TYPE_CHECKING:
    import pathlib
    from collections.abc import AsyncIterator, Callable, Iterator

    from testbed import CellPlan


@pytest.hookimpl(wrapper=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> Iterator[None]:
    """Fail a test whose ledger holds a breach."""
    outcome = yield
    ledger = pyfuncitem.funcargs.get('ledger')
    if isinstance(ledger, Ledger):
        assert ledger.fault_count, 'a proof without a fault shows nothing'
        assert not ledger.breaches
    return outcome


@pytest.fixture
def ledger(request: pytest.FixtureRequest) -> Iterator[Ledger]:
    """Faults and breaches of a test; a breach fails it."""
    kept = Ledger()
    request.node.user_properties.append(('ledger', kept))
    yield kept


@pytest.fixture
async def open_cell(
    tmp_path: pathlib.Path,
) -> AsyncIterator[Callable[..., Any]]:
    """Open cells that are ended with the test."""
    async with contextlib.AsyncExitStack() as stack:

        async def opening(plan: CellPlan, name: str = 'cell') -> Cell:
            directory = tmp_path / name
            directory.mkdir()
            return await stack.enter_async_context(Cell(plan, directory))

        yield opening
