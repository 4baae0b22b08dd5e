"""Tests of the boundary between platform/ and the packages."""

from __future__ import annotations

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
ADAPTER = ROOT / 'platform'
# Names that are specific to the platform, without common words.
WIRE_NAMES = (
    '/currantreach/',
    'ackedThrough',
    'coldRemainingMs',
    'allowed":',
    'antiAffinity',
    'deadlineMs',
    'evacuateMs',
    'expectedRev',
    'fencingToken',
    'fillCount',
    'firstRunMs',
    'hostMachine',
    'kv-txn',
    'maxUnavailable',
    'memMb',
    'op/config',
    'op/evacuate',
    'recommendation',
    'repeatCount',
    'servers/',
    'X-Expect-Instance',
)
SCHEDULING_MODULES = (
    'currantreach_decisions',
    'currantreach_jobs._',
    'currantreach_state',
)


def source_files(folder):
    """Return the source files in a folder, except tests."""
    return [
        path
        for path in sorted(folder.rglob('*.py'))
        if 'tests' not in path.parts and 'build' not in path.parts
    ]


@pytest.mark.parametrize('name', WIRE_NAMES)
def test_wire_names_stay_in_the_adapter(name):
    """A wire name outside platform/ ties the packages to one platform."""
    users = [
        path.name
        for path in source_files(ROOT / 'packages')
        if name in path.read_text()
    ]
    assert not users


def test_adapter_imports_no_scheduling_logic():
    """An adapter that imports such a module could make decisions itself."""
    imported = []
    for path in source_files(ADAPTER):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                imported.append(node.module)
    forbidden = [
        name for name in imported if name.startswith(SCHEDULING_MODULES)
    ]
    assert 'currantreach_jobs' in imported
    assert not forbidden


def test_platform_folder_is_not_a_package():
    """A package named platform would hide the standard library module."""
    assert not (ADAPTER / '__init__.py').exists()
