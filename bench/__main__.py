"""Replay both schedulers side by side: ``python -m bench``."""

from __future__ import annotations

import argparse
import json
import pathlib
import sys
import time
import types

from bench.quick import QuickNaiveScheduler
from bench.replay import Replay
from bench.report import Sampler, figures, lost_deadlines, say
from bench.rules import RULES, switch_off
from bench.scaling import scaling
from bench.workload import DEPLOYMENTS, arrivals
from currantreach_decisions import IndexedScheduler

SCHEDULERS = types.MappingProxyType(
    {'naive': QuickNaiveScheduler, 'indexed': IndexedScheduler},
)
_WIDTH = 22
_LOADS = (0.5, 0.95, 1.5)


def main() -> None:
    """Run the replays that the options ask for and print their figures."""
    options = _options()
    for rule in options.without or ():
        switch_off(rule)
    command = ' '.join(['python -m bench', *sys.argv[1:]])
    say(f'command: {command}')
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
    """Read the command line."""
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
        _side_by_side(name, load, options)
        for name in options.deployment or DEPLOYMENTS
        for load in options.load or _LOADS
    ]


def _side_by_side(
    name: str,
    load: float,
    options: argparse.Namespace,
) -> dict[str, object]:
    """Replay one deployment at one load with each scheduler."""
    seed = options.seed
    say(f'\n{name} at load {load}, seed {seed}')
    outcome: dict[str, object] = {'deployment': name, 'load': load}
    replays = {}
    for scheduler in options.scheduler or SCHEDULERS:
        replay, found = _replay(scheduler, name, load, seed)
        replays[scheduler] = replay
        outcome[scheduler] = found
        _print(scheduler, found)
    if len(replays) == len(SCHEDULERS):
        lost = lost_deadlines(replays['indexed'], replays['naive'])
        outcome['deadlines_only_naive_met'] = lost
        say(f'  deadlines that only naive met: {lost}')
    return outcome


def _replay(
    scheduler: str,
    name: str,
    load: float,
    seed: int,
) -> tuple[Replay, dict[str, object]]:
    """Replay one scheduler."""
    deployment = DEPLOYMENTS[name]
    events = arrivals(deployment, load, seed)
    sampler = Sampler(deployment)
    replay = Replay(SCHEDULERS[scheduler](), deployment, events, sampler)
    start_s = time.perf_counter()
    replay.run()
    found = figures(replay, sampler)
    found['replay_s'] = round(time.perf_counter() - start_s, 1)
    return replay, found


def _print(scheduler: str, found: dict[str, object]) -> None:
    """Print the figures of one replay."""
    say(f'  {scheduler}')
    classes = dict(found.pop('classes'))
    urgent = found.pop('urgent')
    for name, waits in (*classes.items(), ('urgent', urgent)):
        row = ' '.join(f'{label}={part}' for label, part in waits.items())
        title = name.ljust(_WIDTH)
        say(f'    {title} {row}')
    for key, amount in found.items():
        title = key.ljust(_WIDTH)
        say(f'    {title} {amount}')
    found.update(classes=classes, urgent=urgent)


if __name__ == '__main__':
    main()
