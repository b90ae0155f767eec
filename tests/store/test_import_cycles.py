"""The store's modules have no import cycles, not even for types alone."""

from __future__ import annotations

import ast
from graphlib import TopologicalSorter
from pathlib import Path

ROOT = Path(__file__).parents[2]
PACKAGE = ROOT / "sageturn" / "store"


def module_name(file: Path) -> str:
    return ".".join(file.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")


def imported_names(file: Path) -> set[str]:
    """Return all imported names that may be modules, at any depth and also under TYPE_CHECKING."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(file.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module)
            names.update(f"{node.module}.{alias.name}" for alias in node.names)
    return names


def test_there_is_no_import_cycle() -> None:
    files = {module_name(file): file for file in PACKAGE.rglob("*.py")}
    assert len(files) > 50
    imports = {name: imported_names(file) & files.keys() for name, file in files.items()}
    TopologicalSorter(imports).prepare()  # raises CycleError, which names the cycle
