"""Only platform/ knows the names of the platform, and it decides nothing."""

from __future__ import annotations

import ast
import pathlib

import pytest

ROOT = pathlib.Path(__file__).parent.parent
ADAPTER = ROOT / 'platform'
# Names that only the platform's pages use; words of the field are left out.
WIRE_NAMES = (
    '/currantreach/',
    'ackedThrough',
    'allowed":',
    'antiAffinity',
    'deadlineMs',
    'expectedRev',
    'fencingToken',
    'fillCount',
    'firstRunMs',
    'hostMachine',
    'kv-txn',
    'maxUnavailable',
    'memMb',
    'op/config',
    'recommendation',
    'repeatCount',
    'servers/',
    'X-Expect-Instance',
)
DECIDING = (
    'currantreach_decisions',
    'currantreach_jobs._',
    'currantreach_state',
)


def sources(folder):
    """Return the sources below a folder that are no tests."""
    return [
        path
        for path in sorted(folder.rglob('*.py'))
        if 'tests' not in path.parts and 'build' not in path.parts
    ]


@pytest.mark.parametrize('name', WIRE_NAMES)
def test_wire_names_stay_in_the_adapter(name):
    """A name of the wire outside platform/ ties the product to one site."""
    users = [
        path.name
        for path in sources(ROOT / 'packages')
        if name in path.read_text()
    ]
    assert not users


def test_adapter_imports_no_decision():
    """An adapter that imports the deciding parts could decide itself."""
    imported = []
    for path in sources(ADAPTER):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.ImportFrom) and node.module:
                imported.append(node.module)
    deciding = [name for name in imported if name.startswith(DECIDING)]
    assert 'currantreach_jobs' in imported
    assert not deciding


def test_platform_folder_is_no_package():
    """A package named platform would hide the standard module."""
    assert not (ADAPTER / '__init__.py').exists()
