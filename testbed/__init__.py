"""Local multi-process cells for the demo, the proofs and the benches."""

from __future__ import annotations

from testbed._caller import Caller, SentRequest
from testbed._cell import Cell, CellPlan
from testbed._checker import Findings, check_logs
from testbed._process import Process, free_ports
from testbed._relay import Relay

__all__ = (
    'Caller',
    'Cell',
    'CellPlan',
    'Findings',
    'Process',
    'Relay',
    'SentRequest',
    'check_logs',
    'free_ports',
)
