"""Plans of the cells that the proofs start."""

from __future__ import annotations

import types
from typing import Any

from testbed import CellPlan

__all__ = (
    'DOMAINS',
    'SHORT_LEASES',
    'SMALL_CAPACITY',
    'SMALL_PLAN',
    'small_plan',
)

DOMAINS = ('north', 'south')
# The default session lease of 4 s would only make each takeover slower.
SHORT_LEASES = types.MappingProxyType(
    {
        'session_ttl_s': 2,
        'renew_interval_s': 0.5,
        'claim_margin_s': 0.25,
        'task_lease_s': 6,
    },
)
SMALL_CAPACITY = types.MappingProxyType(
    {
        'slot_count': 6,
        'cpu_milli': 24000,
        'memory_mib': 49152,
        'accelerator_count': 0,
        'connection_count': 64,
    },
)


def small_plan(**overrides: Any) -> CellPlan:
    """Return the plan of a cell that the load of the proofs fills."""
    fields: dict[str, Any] = {
        'site': 'agency',
        'domains': DOMAINS,
        'daemon_count': 2,
        'worker_count': 3,
        'capacity': SMALL_CAPACITY,
        'settings': SHORT_LEASES,
        **overrides,
    }
    return CellPlan(**fields)


SMALL_PLAN = small_plan()
