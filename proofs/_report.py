"""Report of a proof: injected faults and breaches of guarantees."""

from __future__ import annotations

import types
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from testbed import Findings

__all__ = ('GUARANTEES', 'ProofReport')

GUARANTEES: Mapping[str, str] = types.MappingProxyType(
    {
        'P1': 'no worker holds more than its capacity',
        'P2': 'no task runs in two places',
        'P3': 'work only for the team of the key; revoked keys stop',
        'P4': 'no team runs more than its upper limit',
        'P5': 'each caller gets the answer to its own request',
        'P6': 'not run means not run; accepted durable work is not lost',
        'P7': 'unrepeatable work runs at most once',
        'P8': 'leaving workers receive no new work',
        'P9': 'a graceful stop interrupts no request',
        'P10': 'accepted configuration is in effect and never reverts',
    },
)
_GUARANTEES_OF = types.MappingProxyType(
    {
        'over_commits': ('P1',),
        'doubled': ('P2', 'P7'),
        'untruthful': ('P6',),
        'lost': ('P6',),
        'incomplete': ('P5',),
        'over_limit': ('P4',),
        'failed_early': ('P6',),
    },
)


@attrs.define(slots=True)
class ProofReport:
    """Faults that a proof injected and breaches that it observed.

    :ivar fault_count: number of injected faults.
    :ivar breaches: descriptions of the breaches of each guarantee.
    """

    fault_count: int = 0
    breaches: dict[str, list[str]] = attrs.field(factory=dict)

    def count_faults(self, count: int = 1) -> None:
        """Count injected faults."""
        self.fault_count += count

    def expect(self, guarantee: str, *, is_met: bool, details: str) -> None:
        """Record a breach unless a condition is met."""
        if not is_met:
            self.breaches.setdefault(guarantee, []).append(details)

    def add_findings(self, findings: Findings) -> None:
        """Record the findings of the log check as breaches."""
        for kind, lines in attrs.asdict(findings).items():
            for guarantee in _GUARANTEES_OF[kind]:
                for line in lines:
                    self.expect(
                        guarantee,
                        is_met=False,
                        details=f'{kind} {line}',
                    )
