"""In-memory stand-ins for the platform's services, for tests and the demo."""

from __future__ import annotations

from currantreach_standins._fleet import Fleet, FleetSettings, WorkerEntry
from currantreach_standins._hosts_app import hosts_app
from currantreach_standins._serving import start_app
from currantreach_standins._store_app import store_app
from currantreach_standins._task_log import TaskLog
from currantreach_standins._workers_app import workers_app

__all__ = (
    'Fleet',
    'FleetSettings',
    'TaskLog',
    'WorkerEntry',
    'hosts_app',
    'start_app',
    'store_app',
    'workers_app',
)
