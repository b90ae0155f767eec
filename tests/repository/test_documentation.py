"""Links and file names in the documentation lead somewhere."""

from __future__ import annotations

import re
import subprocess
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
PAGES = sorted([*ROOT.glob("*.md"), *(ROOT / "docs").rglob("*.md")])
LINK = re.compile(r"\[[^\]]*\]\(([^)#\s]+)(?:#[^)]*)?\)")
CODE = re.compile(r"`([\w./-]+)`")
CHECKED_SUFFIXES = (".py", ".md")
CHECKED_FOLDERS = ("sageturn/", "tests/", "docs/", "deploy/", "experiments/")


def tracked_files() -> set[str]:
    """All files of the checkout that git tracks or would track."""
    command = ["git", "ls-files", "--cached", "--others", "--exclude-standard"]
    listed = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, check=True).stdout
    return {name for name in listed.splitlines() if (ROOT / name).exists()}


FILES = tracked_files()
FOLDERS = {str(parent) for name in FILES for parent in Path(name).parents}


def is_named_file(name: str) -> bool:
    return name.endswith(CHECKED_SUFFIXES) or name.startswith(CHECKED_FOLDERS)


def exists(name: str) -> bool:
    """A file or folder of that path, or one whose path ends so, as pages shorten paths."""
    wanted = name.rstrip("/")
    return any(path == wanted or path.endswith("/" + wanted) for path in FILES | FOLDERS)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_links_lead_to_files(page: Path) -> None:
    targets = [target for target in LINK.findall(page.read_text()) if "://" not in target]
    missing = [target for target in targets if not (page.parent / target).exists()]
    assert missing == []


# The changelog names files as they were called in the release that it tells of.
CURRENT_PAGES = [page for page in PAGES if page.name != "CHANGELOG.md"]


@pytest.mark.parametrize("page", CURRENT_PAGES, ids=lambda page: str(page.relative_to(ROOT)))
def test_named_files_exist(page: Path) -> None:
    names = {name for name in CODE.findall(page.read_text()) if is_named_file(name)}
    assert sorted(name for name in names if not exists(name)) == []
