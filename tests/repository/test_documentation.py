"""Links, file names and log events in the documentation refer to existing ones."""

from __future__ import annotations

import ast
import re
import subprocess
from functools import cache
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])
LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(?:#[^)]*)?\)")
CODE = re.compile(r"`([\w./-]+)`")
CHECKED_SUFFIXES = (".py", ".md")
CHECKED_FOLDERS = ("sageturn/", "tests/", "docs/", "deploy/", "experiments/")


def tracked_files() -> set[str]:
    """Return all files of the checkout that git tracks, and the untracked ones that it does not ignore."""
    command = ["git", "ls-files", "--cached", "--others", "--exclude-standard"]
    listed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    return {name for name in listed.splitlines() if (ROOT / name).exists()}


FILES = tracked_files()
FOLDERS = {str(parent) for name in FILES for parent in Path(name).parents}


def is_named_file(name: str) -> bool:
    return name.endswith(CHECKED_SUFFIXES) or name.startswith(CHECKED_FOLDERS)


def exists(name: str) -> bool:
    """Return whether a file or folder has this path, or a path that ends with it, as pages shorten paths."""
    shortened = name.rstrip("/")
    return any(path == shortened or path.endswith("/" + shortened) for path in FILES | FOLDERS)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_lead_to_files(page: Path) -> None:
    targets = [target for target in LINK.findall(page.read_text()) if "://" not in target]
    missing = [target for target in targets if not (page.parent / target).exists()]
    assert missing == []


# The changelog names files as they were called in the release that it describes.
CURRENT_PAGES = [page for page in PAGES if page.name != "CHANGELOG.md"]


@pytest.mark.parametrize("page", CURRENT_PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_named_files_exist(page: Path) -> None:
    names = {name for name in CODE.findall(page.read_text()) if is_named_file(name)}
    assert sorted(name for name in names if not exists(name)) == []


LOG_PAGE = ROOT / "docs" / "operators" / "logs.md"
LOG_EVENT = re.compile(r"`([^`]+)`")


def documented_log_events() -> list[str]:
    """Return the events of the first column; `override ...` means all events with that first word."""
    rows = [line for line in LOG_PAGE.read_text().splitlines() if line.startswith("| `")]
    return [event.removesuffix(" ...") for row in rows for event in LOG_EVENT.findall(row.split("|")[1])]


@cache
def string_literals() -> frozenset[str]:
    """Return all string literals of the program."""
    trees = [ast.parse(file.read_text()) for file in (ROOT / "sageturn").rglob("*.py")]
    constants = [node for tree in trees for node in ast.walk(tree) if isinstance(node, ast.Constant)]
    return frozenset(node.value for node in constants if isinstance(node.value, str))


def test_log_page_lists_events() -> None:
    assert len(documented_log_events()) > 30


@pytest.mark.parametrize("event", documented_log_events())
def test_documented_log_event_is_written_by_the_program(event: str) -> None:
    assert any(text == event or text.startswith(event + " ") for text in string_literals())
