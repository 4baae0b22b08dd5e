"""Scheduling of jobs: records, placement, workers and recovery."""

from __future__ import annotations

from currantreach_jobs._daemon import JobDaemon
from currantreach_jobs._intake import Intake, Outcome, Verdict
from currantreach_jobs._model import (
    Advice,
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
from currantreach_jobs._ports import (
    AdvicePort,
    ConfigSource,
    Surroundings,
    WorkerDirectory,
    WorkerPort,
)
from currantreach_jobs._terms import JobSettings

__all__ = (
    'Advice',
    'AdvicePort',
    'ConfigSource',
    'EndKind',
    'EndedRun',
    'HoldReply',
    'HttpLimits',
    'Intake',
    'Job',
    'JobDaemon',
    'JobSettings',
    'JobState',
    'Outcome',
    'Queue',
    'RunningRun',
    'SiteConfig',
    'StartAnswer',
    'StartOrder',
    'Step',
    'Surroundings',
    'TaskKey',
    'Team',
    'Ticket',
    'Verdict',
    'WorkerDirectory',
    'WorkerPort',
    'WorkerReport',
)
