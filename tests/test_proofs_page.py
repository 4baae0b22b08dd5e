"""Tests of the page on the proofs."""

from __future__ import annotations

import ast
import pathlib
import re

from proofs._report import GUARANTEES

_ROOT = pathlib.Path(__file__).parent.parent
_PAGE = _ROOT / 'docs' / 'proofs.md'
_NODE_ID = re.compile(r'`((?:proofs|packages|tests)/[\w/.-]+\.py)::(\w+)`')


def _functions_of(path):
    tree = ast.parse((_ROOT / path).read_text())
    return {
        node.name: node
        for node in tree.body
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef)
    }


def _proved_guarantees(function):
    return {
        mark.args[0].value
        for mark in function.decorator_list
        if isinstance(mark, ast.Call)
        and ast.unparse(mark.func).endswith('proof')
    }


def test_page_names_existing_proofs_of_each_guarantee():
    """Guard against a guarantee on the page without an existing proof."""
    named = {}
    for line in _PAGE.read_text().splitlines():
        for path, function in _NODE_ID.findall(line):
            assert function in _functions_of(path), f'{path}::{function}'
            guarantee = line.split('|')[1].strip() if '|' in line else ''
            if path.startswith('proofs/') and guarantee in GUARANTEES:
                marks = _proved_guarantees(_functions_of(path)[function])
                assert guarantee in marks, f'{guarantee} {function}'
                named.setdefault(guarantee, set()).add(function)
    assert named.keys() == GUARANTEES.keys()


def test_each_proof_is_on_the_page():
    """Guard against a proof that is missing on the page."""
    named = set(_NODE_ID.findall(_PAGE.read_text()))
    for path in sorted((_ROOT / 'proofs').glob('test_*.py')):
        for name in _functions_of(path):
            if name.startswith('test_'):
                relative = str(path.relative_to(_ROOT))
                assert (relative, name) in named, f'{relative}::{name}'
