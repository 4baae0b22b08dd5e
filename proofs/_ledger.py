"""Faults injected by a test and breaches that it found."""

from __future__ import annotations

import types
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Mapping

    from testbed import Findings

__all__ = ('GUARANTEES', 'Ledger')

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
    },
)


@attrs.define(slots=True)
class Ledger:
    """What one test did and saw.

    :ivar fault_count: number of faults injected.
    :ivar breaches: breaches by guarantee.
    """

    fault_count: int = 0
    breaches: dict[str, list[str]] = attrs.field(factory=dict)

    def fault(self, count: int = 1) -> None:
        """Count faults."""
        self.fault_count += count

    def expect(self, guarantee: str, *, is_met: bool, seen: str) -> None:
        """Note a breach unless a condition is met."""
        if not is_met:
            self.breaches.setdefault(guarantee, []).append(seen)

    def add(self, findings: Findings) -> None:
        """Note what the check of the logs found."""
        for kind, lines in attrs.asdict(findings).items():
            for guarantee in _GUARANTEES_OF[kind]:
                for line in lines:
                    self.expect(
                        guarantee,
                        is_met=False,
                        seen=f'{kind} {line}',
                    )
