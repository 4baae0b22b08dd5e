"""Checks across several fields of a base file and its overlays."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from currantreach_config._faults import FileFindings

__all__ = ('check_base', 'check_overlay', 'entries')

_Entry = dict[str, Any]

_KEYS: Final = 'keys'
_NAME: Final = 'name'
_QUEUES: Final = 'queues'
_TEAM: Final = 'team'
_TEAMS: Final = 'teams'
_OPEN_TEAM: Final = 'open_team'
_UPPER_LIMIT: Final = 'upper_limit'
_UNKNOWN_TEAM: Final = 'the team is unknown'
_NAME_A_TEAM: Final = 'name a team of the base file'


def entries(
    document: Mapping[str, Any],
    section: str,
) -> Iterator[tuple[str, _Entry]]:
    """Yield the path and content of each object in a list of objects."""
    listed = document.get(section)
    if not isinstance(listed, list):
        return
    for index, entry in enumerate(listed):
        if isinstance(entry, dict):
            yield f'$.{section}[{index}]', entry


def check_base(base: Mapping[str, Any], findings: FileFindings) -> None:
    """Check the references between the parts of a base file."""
    _check_unique(base, _TEAMS, _NAME, findings)
    _check_unique(base, _QUEUES, _NAME, findings)
    _check_unique(base, _KEYS, 'key_id', findings)
    team_names = {
        _string_member(entry, _NAME) for _, entry in entries(base, _TEAMS)
    }
    for queue_path, queue in entries(base, _QUEUES):
        _check_queue(queue, queue_path, team_names, findings)
    for key_path, key in entries(base, _KEYS):
        _check_key(key, f'{key_path}.team', team_names, findings)


def check_overlay(
    overlay: Mapping[str, Any],
    base: Mapping[str, Any],
    findings: FileFindings,
) -> None:
    """Check an overlay against its base file."""
    for section in (_TEAMS, _QUEUES):
        _check_unique(overlay, section, _NAME, findings)
        base_names = {
            _string_member(entry, _NAME) for _, entry in entries(base, section)
        }
        for path, entry in entries(overlay, section):
            name = _string_member(entry, _NAME)
            if name and name not in base_names:
                findings.report_value(
                    f'{path}.name',
                    name,
                    'the base file has no such entry',
                    f'add it to {section} of the base file',
                )
    limits = {
        _string_member(team, _NAME): team.get(_UPPER_LIMIT)
        for _, team in entries(base, _TEAMS)
    }
    for team_path, team in entries(overlay, _TEAMS):
        _check_limit(
            team.get(_UPPER_LIMIT),
            limits.get(_string_member(team, _NAME)),
            f'{team_path}.upper_limit',
            findings,
        )


def _string_member(entry: Mapping[str, Any], name: str) -> str:
    found = entry.get(name)
    return found if isinstance(found, str) else ''


def _check_unique(
    document: Mapping[str, Any],
    section: str,
    identity: str,
    findings: FileFindings,
) -> None:
    seen: set[str] = set()
    for path, entry in entries(document, section):
        name = _string_member(entry, identity)
        if name and name in seen:
            findings.report_value(
                f'{path}.{identity}',
                name,
                f'{section} has a duplicate entry',
                'remove or rename one of them',
            )
        seen.add(name)


def _check_queue(
    queue: Mapping[str, Any],
    path: str,
    team_names: set[str],
    findings: FileFindings,
) -> None:
    teams = queue.get(_TEAMS)
    for index, team in enumerate(teams if isinstance(teams, list) else ()):
        if isinstance(team, str) and team not in team_names:
            findings.report_value(
                f'{path}.teams[{index}]',
                team,
                _UNKNOWN_TEAM,
                _NAME_A_TEAM,
            )
    _check_open_team(queue, f'{path}.open_team', team_names, findings)


def _check_open_team(
    queue: Mapping[str, Any],
    path: str,
    team_names: set[str],
    findings: FileFindings,
) -> None:
    open_team = _string_member(queue, _OPEN_TEAM)
    if queue.get('is_open') is not True:
        if open_team:
            findings.report_value(
                path,
                open_team,
                'the queue is not open',
                'remove open_team or set is_open',
            )
    elif not open_team:
        findings.report(
            path,
            'an open queue has no open_team to charge',
            _NAME_A_TEAM,
        )
    elif open_team not in team_names:
        findings.report_value(path, open_team, _UNKNOWN_TEAM, _NAME_A_TEAM)


def _check_key(
    key: Mapping[str, Any],
    path: str,
    team_names: set[str],
    findings: FileFindings,
) -> None:
    team = _string_member(key, _TEAM)
    if key.get('role') == 'operator':
        if team:
            findings.report_value(
                path,
                team,
                'an operator key belongs to no team',
                'write an empty string',
            )
    elif team not in team_names:
        findings.report_value(path, team, _UNKNOWN_TEAM, _NAME_A_TEAM)


def _check_limit(
    override: object,
    base_limit: object,
    path: str,
    findings: FileFindings,
) -> None:
    if not isinstance(override, dict) or not isinstance(base_limit, dict):
        return
    for name, amount in override.items():
        base_amount = base_limit.get(name, 0)
        if (
            _is_number(amount)
            and _is_number(base_amount)
            and amount > base_amount
        ):
            findings.report_value(
                f'{path}.{name}',
                amount,
                f'the upper limit in the base file is {base_amount}',
                'use at most that amount, or raise it in the base file',
            )


def _is_number(raw: object) -> bool:
    return isinstance(raw, int | float)
