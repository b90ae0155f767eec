"""Packages import downwards only, and the relay never imports the laboratory."""

from __future__ import annotations

import ast
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "sageturn"

# From the lowest layer to the highest. A module may import its own unit and units of lower layers.
LAYERS: tuple[frozenset[str], ...] = (
    frozenset({"decision"}),
    frozenset({"core"}),
    frozenset({"net"}),
    frozenset({"store"}),
    frozenset({"flows", "frontends", "overrides", "rebalance"}),
    frozenset({"config"}),
    frozenset({"relay", "simhost"}),
    frozenset({"__main__"}),
    frozenset({"lab"}),
    frozenset({"cli"}),
)
RANK = {unit: rank for rank, units in enumerate(LAYERS) for unit in units}


def unit_of(module: str) -> str:
    """The package or top-level module below ``sageturn`` that a dotted name belongs to."""
    parts = module.split(".")
    return parts[1] if len(parts) > 1 else ""


def imported_units(file: Path) -> Iterator[str]:
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            names = [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module == "sageturn":
            names = [f"sageturn.{alias.name}" for alias in node.names]
        elif isinstance(node, ast.ImportFrom):
            names = [node.module or ""]
        else:
            continue
        for name in names:
            if name.split(".")[0] == "sageturn" and unit_of(name) in RANK:
                yield unit_of(name)


def unit_of_file(file: Path) -> str:
    return file.relative_to(PACKAGE).parts[0].removesuffix(".py")


FILES = [file for file in sorted(PACKAGE.rglob("*.py")) if unit_of_file(file) != "__init__"]


def test_every_file_belongs_to_a_layer() -> None:
    assert {unit_of_file(file) for file in FILES} == set(RANK)


@pytest.mark.parametrize("unit", sorted(RANK))
def test_imports_run_downwards(unit: str) -> None:
    upwards = [
        (str(file.relative_to(PACKAGE)), imported)
        for file in FILES
        if unit_of_file(file) == unit
        for imported in imported_units(file)
        if imported != unit and RANK[imported] >= RANK[unit]
    ]
    assert upwards == []
