"""Scheduling of jobs: records, placement, workers and recovery."""

from __future__ import annotations

from currantreach_jobs._bounds import (
    MAX_OCCURRENCES,
    MAX_STEPS,
    MAX_TASKS,
)
from currantreach_jobs._clients import (
    AdviceClient,
    ConfigSource,
    DaemonDependencies,
    RunClient,
    WorkerDirectory,
)
from currantreach_jobs._daemon import JobDaemon
from currantreach_jobs._model import (
    AdviceConfig,
    EndedRun,
    EndKind,
    HoldReply,
    HttpLimits,
    Job,
    JobState,
    Queue,
    RunningRun,
    SiteConfig,
    StartAnswer,
    StartOrder,
    Step,
    TaskKey,
    Team,
    Ticket,
    WorkerReport,
)
from currantreach_jobs._settings import JobSettings
from currantreach_jobs._submissions import (
    CallerResponse,
    Outcome,
    SubmissionService,
)

__all__ = (
    'MAX_OCCURRENCES',
    'MAX_STEPS',
    'MAX_TASKS',
    'AdviceClient',
    'AdviceConfig',
    'CallerResponse',
    'ConfigSource',
    'DaemonDependencies',
    'EndKind',
    'EndedRun',
    'HoldReply',
    'HttpLimits',
    'Job',
    'JobDaemon',
    'JobSettings',
    'JobState',
    'Outcome',
    'Queue',
    'RunClient',
    'RunningRun',
    'SiteConfig',
    'StartAnswer',
    'StartOrder',
    'Step',
    'SubmissionService',
    'TaskKey',
    'Team',
    'Ticket',
    'WorkerDirectory',
    'WorkerReport',
)
