"""Replay benchmark of both schedulers: ``python -m bench``."""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
import time
import types

from bench.quick import QuickNaiveScheduler
from bench.replay import Replay
from bench.report import (
    Sampler,
    collect_metrics,
    count_lost_deadlines,
    print_line,
)
from bench.rules import RULES, disable_rule
from bench.scaling import scaling
from bench.workload import DEPLOYMENTS, arrivals
from currantreach_decisions import IndexedScheduler

SCHEDULERS = types.MappingProxyType(
    {'naive': QuickNaiveScheduler, 'indexed': IndexedScheduler},
)
_TITLE_WIDTH = 22
_LOADS = (0.5, 0.95, 1.5)


def main() -> None:
    """Run the requested replays and print their metrics."""
    options = _options()
    for rule in options.without or ():
        disable_rule(rule)
    command = ' '.join(['python -m bench', *sys.argv[1:]])
    print_line(f'command: {command}')
    document: dict[str, object] = {
        'command': command,
        'seed': options.seed,
    }
    if options.scaling:
        document['scaling'] = scaling(options.seed)
    else:
        document['replays'] = _replays(options)
    if options.json:
        text = json.dumps(document, indent=1)
        pathlib.Path(options.json).write_text(f'{text}\n', encoding='utf-8')


def _options() -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(prog='python -m bench')
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--json', help='file for the figures')
    parser.add_argument('--scaling', action='store_true')
    parser.add_argument('--without', choices=RULES, action='append')
    parser.add_argument('--load', type=float, action='append')
    parser.add_argument('--deployment', choices=DEPLOYMENTS, action='append')
    parser.add_argument('--scheduler', choices=SCHEDULERS, action='append')
    return parser.parse_args()


def _replays(options: argparse.Namespace) -> list[dict[str, object]]:
    """Replay each deployment at each load."""
    return [
        _compare_schedulers(name, load, options)
        for name in options.deployment or DEPLOYMENTS
        for load in options.load or _LOADS
    ]


def _compare_schedulers(
    name: str,
    load: float,
    options: argparse.Namespace,
) -> dict[str, object]:
    """Replay one deployment at one load with each scheduler."""
    seed = options.seed
    print_line(f'\n{name} at load {load}, seed {seed}')
    outcome: dict[str, object] = {'deployment': name, 'load': load}
    replays = {}
    for scheduler in options.scheduler or SCHEDULERS:
        replay, metrics = _replay(scheduler, name, load, seed)
        replays[scheduler] = replay
        outcome[scheduler] = metrics
        _print_metrics(scheduler, metrics)
    if len(replays) == len(SCHEDULERS):
        lost = count_lost_deadlines(replays['indexed'], replays['naive'])
        outcome['deadlines_only_naive_met'] = lost
        print_line(f'  deadlines that only naive met: {lost}')
    return outcome


def _replay(
    scheduler: str,
    name: str,
    load: float,
    seed: int,
) -> tuple[Replay, dict[str, object]]:
    """Replay one scheduler and return its metrics."""
    deployment = DEPLOYMENTS[name]
    events = arrivals(deployment, load, seed)
    sampler = Sampler(deployment)
    replay = Replay(SCHEDULERS[scheduler](), deployment, events, sampler)
    start_s = time.perf_counter()
    replay.run()
    metrics = collect_metrics(replay, sampler)
    metrics['replay_s'] = round(time.perf_counter() - start_s, 1)
    return replay, metrics


def _print_metrics(scheduler: str, metrics: dict[str, object]) -> None:
    """Print the metrics of one replay."""
    print_line(f'  {scheduler}')
    classes = dict(metrics.pop('classes'))
    urgent = metrics.pop('urgent')
    for name, waits in (*classes.items(), ('urgent', urgent)):
        row = ' '.join(f'{label}={figure}' for label, figure in waits.items())
        title = name.ljust(_TITLE_WIDTH)
        print_line(f'    {title} {row}')
    for key, amount in metrics.items():
        title = key.ljust(_TITLE_WIDTH)
        print_line(f'    {title} {amount}')
    metrics.update(classes=classes, urgent=urgent)


if __name__ == '__main__':
    main()
