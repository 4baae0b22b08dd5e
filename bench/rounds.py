"""Print a table of the finished scores: ``python -m bench.rounds``.

The scores come from the entries in the directory ``journal``.
"""

from __future__ import annotations

import json
import pathlib
from typing import Any

_JOURNAL = pathlib.Path('journal')
_DAYS = ('quiet-1', 'trouble-1', 'scale-1', 'trouble-2', 'scale-2', 'trouble-3')


def main() -> None:
    """Print a table row for each finished score."""
    header = ['Entry', 'Site', 'Change', 'Score', *_DAYS, 'Rules broken']
    print(_row(header))
    print(_row(['---' for _ in header]))
    for path in sorted(_JOURNAL.glob('*.json')):
        entry = json.loads(path.read_text())
        if entry['cmd'] == 'score' and entry['ok']:
            print(_row(_cells_of(entry)))


def _cells_of(entry: dict[str, Any]) -> list[str]:
    days = {day['name']: day for day in entry['days']}
    gains = [
        format(days[name]['G'], '.3f') if name in days else '-'
        for name in _DAYS
    ]
    violations = [
        f'{day["name"]}: {rule} {count}'
        for day in entry['days']
        for rule, count in day['rules'].items()
    ]
    site = pathlib.PurePath(entry['argv'][0]).stem
    score = format(entry['score'], '.3f')
    return [
        entry['id'],
        site,
        entry['why'],
        score,
        *gains,
        '; '.join(violations) or 'none',
    ]


def _row(cells: list[str]) -> str:
    return f'| {" | ".join(cells)} |'


if __name__ == '__main__':
    main()
