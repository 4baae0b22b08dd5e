"""Fixtures of the proofs, which run two at a time as they mostly wait."""

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

from proofs._report import ProofReport
from testbed import Cell

if TYPE_CHECKING:
    from collections.abc import Callable

    from testbed import CellPlan

_PARALLEL_PROOFS = 2
_FUTURE = pytest.StashKey[futures.Future[None]]()
_REPORT = pytest.StashKey[ProofReport]()


class CellOpener:
    """Opens cells that end with the proof."""

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
        """Return the opener."""
        return self

    async def __aexit__(self, *error: Any) -> None:
        """End all cells; keep the logs if the proof failed."""
        await self._stack.aclose()
        if error[0] is None:
            shutil.rmtree(self._directory)
        else:
            error[1].add_note(f'logs of the cell: {self._directory}')


def pytest_collection_finish(session: pytest.Session) -> None:
    """Attach a report to each proof."""
    for proof_item in _collected_proofs(session):
        report = ProofReport()
        proof_item.stash[_REPORT] = report
        proof_item.user_properties.append(('report', report))


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem: pytest.Function) -> bool | None:
    """Wait for a proof; the first call starts all of them."""
    if _REPORT not in pyfuncitem.stash:
        return None
    if _FUTURE not in pyfuncitem.stash:
        _submit_all(pyfuncitem.session)
    pyfuncitem.stash[_FUTURE].result()
    return True


@pytest.fixture
def open_cell() -> None:
    """Declare the fixture; the proof receives a :class:`CellOpener`."""


@pytest.fixture
def report() -> None:
    """Declare the fixture; the proof receives its report."""


def _collected_proofs(session: pytest.Session) -> list[pytest.Function]:
    return [
        proof_item
        for proof_item in session.items
        if isinstance(proof_item, pytest.Function)
        and proof_item.get_closest_marker('proof')
    ]


def _submit_all(session: pytest.Session) -> None:
    threads = futures.ThreadPoolExecutor(_PARALLEL_PROOFS)
    session.config.add_cleanup(
        lambda: threads.shutdown(wait=True, cancel_futures=True),
    )
    for proof_item in _collected_proofs(session):
        # The function as the module defines it, before pytest wraps it.
        proof = getattr(proof_item.module, proof_item.originalname)
        proof_item.stash[_FUTURE] = threads.submit(
            _run_in_thread,
            proof,
            proof_item.stash[_REPORT],
        )


def _run_in_thread(proof: Callable[..., Any], report: ProofReport) -> None:
    asyncio.run(_run_proof(proof, report))


async def _run_proof(proof: Callable[..., Any], report: ProofReport) -> None:
    async with CellOpener() as opener:
        fixtures = {'open_cell': opener, 'report': report}
        names = inspect.signature(proof).parameters
        try:
            await proof(**{name: fixtures[name] for name in names})
        finally:
            # Breaches explain more than a later assertion that they made fail.
            assert not report.breaches
        assert report.fault_count, 'a proof without a fault shows nothing'
