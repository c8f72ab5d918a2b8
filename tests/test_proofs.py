"""Checks that docs/PROOFS.md names tests that exist."""

import ast
import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
PAGE = (ROOT / "docs" / "PROOFS.md").read_text(encoding="utf-8")
NAMED = sorted(set(re.findall(r"`(tests/[\w/]+\.py)::(\w+)`", PAGE)))


def _functions(path: pathlib.Path) -> set[str]:
    tree = ast.parse(path.read_text(encoding="utf-8"))
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef)
    return {node.name for node in tree.body if isinstance(node, kinds)}


@pytest.mark.parametrize(("path", "name"), NAMED)
def test_named_test_exists(path, name):
    assert name in _functions(ROOT / path)


def test_every_promise_has_a_row():
    rows = re.findall(r"^\| (\d)\. ", PAGE, flags=re.MULTILINE)
    assert rows == [str(number) for number in range(1, 10)]
