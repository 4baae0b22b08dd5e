"""Run all proofs and print a summary line for each guarantee."""

from __future__ import annotations

import collections
import pathlib
import sys
from typing import TYPE_CHECKING

import pytest

from proofs._report import GUARANTEES, ProofReport

if TYPE_CHECKING:
    from collections.abc import Iterator

_LINE = '{:4} {:60} {:>2} proofs {:>5} faults {:>3} breaches {:>2} failed\n'


class Summary:
    """Pytest plugin that adds up the reports of all proofs."""

    def __init__(self) -> None:
        """Start without results."""
        self.fault_counts: collections.Counter[str] = collections.Counter()
        self.breaches: collections.Counter[str] = collections.Counter()
        self.passed: collections.Counter[str] = collections.Counter()
        self.failed: collections.Counter[str] = collections.Counter()

    @pytest.hookimpl(wrapper=True)
    def pytest_runtest_makereport(
        self,
        item: pytest.Item,
        call: pytest.CallInfo[None],
    ) -> Iterator[None]:
        """Count a proof after its call, or if its setup or teardown fails."""
        report = yield
        if call.when == 'call' or report.failed:
            self._count(item, has_failed=not report.passed)
        return report

    def write_lines(self) -> None:
        """Print a summary line for each guarantee."""
        for name, text in GUARANTEES.items():
            sys.stdout.write(
                _LINE.format(
                    name,
                    text,
                    self.passed[name] + self.failed[name],
                    self.fault_counts[name],
                    self.breaches[name],
                    self.failed[name],
                ),
            )

    def _count(self, item: pytest.Item, *, has_failed: bool) -> None:
        proof_report = dict(item.user_properties).get('report', ProofReport())
        counts = self.failed if has_failed else self.passed
        guarantees = {mark.args[0] for mark in item.iter_markers('proof')}
        for name in guarantees:
            counts[name] += 1
            self.fault_counts[name] += proof_report.fault_count
        for name, lines in proof_report.breaches.items():
            self.breaches[name] += len(lines)


def main() -> int:
    """Run the proofs and return the exit code."""
    summary = Summary()
    directory = str(pathlib.Path(__file__).parent)
    code = pytest.main(['-q', directory, *sys.argv[1:]], plugins=[summary])
    summary.write_lines()
    has_all_proofs = all(summary.passed[name] for name in GUARANTEES)
    return int(code) or int(bool(summary.breaches)) or int(not has_all_proofs)


if __name__ == '__main__':
    sys.exit(main())
