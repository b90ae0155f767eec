"""Packages import only from lower layers, and the relay never imports the laboratory."""

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
    """Return the package or top-level module of ``sageturn`` to which a dotted name belongs."""
    parts = module.split(".")
    return parts[1] if len(parts) > 1 else ""


def imported_modules(file: Path) -> Iterator[str]:
    """Yield the dotted names that ``file`` imports; a name imported from a package counts as its module."""
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            yield from (f"{node.module}.{alias.name}" for alias in node.names)


def imported_units(file: Path) -> Iterator[str]:
    for name in imported_modules(file):
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


# The laboratory's packages, from the lowest to the highest. Its top-level modules are commands, which import
# all of them.
LAB_LAYERS = ("model", "faults", "runner", "loopback", "reports", "measurements")


@pytest.mark.parametrize("package", LAB_LAYERS)
def test_packages_of_the_laboratory_import_downwards(package: str) -> None:
    higher_packages = LAB_LAYERS[LAB_LAYERS.index(package) + 1 :]
    upwards = [
        (str(file.relative_to(PACKAGE)), name)
        for file in sorted((PACKAGE / "lab" / package).rglob("*.py"))
        for name in imported_modules(file)
        if name.startswith(tuple(f"sageturn.lab.{other}." for other in higher_packages))
    ]
    assert upwards == []
