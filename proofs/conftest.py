"""Fixtures of the proofs, which run two at a time since they mostly wait."""

from __future__ import annotations

import asyncio
import contextlib
import inspect
import pathlib
import shutil
import tempfile
from concurrent import futures
from typing import TYPE_CHECKING, Any

import pytest

from proofs._ledger import Ledger
from testbed import Cell

if TYPE_CHECKING:
    from collections.abc import Callable

    from testbed import CellPlan

_AT_ONCE = 2
_RUNNING = pytest.StashKey[futures.Future[None]]()
_LEDGER = pytest.StashKey[Ledger]()


class CellOpener:
    """Opens cells that are ended with the proof."""

    def __init__(self) -> None:
        """Start without cells."""
        self._stack = contextlib.AsyncExitStack()
        self._directory = pathlib.Path(tempfile.mkdtemp(prefix='proof-'))

    async def __call__(self, plan: CellPlan) -> Cell:
        """Start a cell."""
        return await self._stack.enter_async_context(
            Cell(plan, self._directory),
        )

    async def __aenter__(self) -> CellOpener:
        """Open cells from now on."""
        return self

    async def __aexit__(self, *error: Any) -> None:
        """End all cells; the logs of a failed proof are kept."""
        await self._stack.aclose()
        if error[0] is None:
            shutil.rmtree(self._directory)


def pytest_collection_finish(session: pytest.Session) -> None:
    """Keep the functions of the proofs before they are wrapped."""
    for chosen in _proofs(session):
        kept = Ledger()
        chosen.stash[_LEDGER] = kept
        chosen.user_properties.append(('ledger', kept))


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Wait for a proof; the first one starts them all."""
    if _LEDGER not in pyfuncitem.stash:
        return None
    if _RUNNING not in pyfuncitem.stash:
        _start_all(pyfuncitem.session)
    pyfuncitem.stash[_RUNNING].result()
    return True


@pytest.fixture
def open_cell() -> None:
    """Stand for the opener of cells that the proof is given."""


@pytest.fixture
def ledger() -> None:
    """Stand for the ledger that the proof is given."""


def _proofs(session: pytest.Session) -> list[pytest.Function]:
    return [
        chosen
        for chosen in session.items
        if isinstance(chosen, pytest.Function)
        and chosen.get_closest_marker('proof')
    ]


def _start_all(session: pytest.Session) -> None:
    threads = futures.ThreadPoolExecutor(_AT_ONCE)
    session.config.add_cleanup(
        lambda: threads.shutdown(wait=True, cancel_futures=True),
    )
    for chosen in _proofs(session):
        proof = getattr(chosen.module, chosen.originalname)
        chosen.stash[_RUNNING] = threads.submit(
            _run,
            proof,
            chosen.stash[_LEDGER],
        )


def _run(proof: Callable[..., Any], kept: Ledger) -> None:
    asyncio.run(_prove(proof, kept))


async def _prove(proof: Callable[..., Any], kept: Ledger) -> None:
    async with CellOpener() as opener:
        given = {'open_cell': opener, 'ledger': kept}
        names = inspect.signature(proof).parameters
        try:
            await proof(**{name: given[name] for name in names})
        finally:
            # Breaches say more than a later check that failed with them.
            assert not kept.breaches
        assert kept.fault_count, 'a proof without a fault shows nothing'
