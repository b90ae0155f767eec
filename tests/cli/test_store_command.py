"""``sageturn store --path``: a mistyped path is an error, and creates nothing."""

from __future__ import annotations

from pathlib import Path

import pytest
from typer.testing import CliRunner

from sageturn.cli.exit_codes import ExitCode
from sageturn.cli.main import build_app

APP = build_app(include_lab=False)


def run_store(path: Path, *arguments: str) -> tuple[int, str]:
    """Return the exit code and the output."""
    result = CliRunner().invoke(APP, ["store", "--path", str(path), *arguments])
    return result.exit_code, result.output


@pytest.mark.parametrize("arguments", [("keys",), ("get", "config/log_level")])
def test_reading_a_missing_log_is_an_error(tmp_path: Path, arguments: tuple[str, ...]) -> None:
    # Even ``keys`` once created the folder and an empty log, and printed nothing.
    for path in (tmp_path / "mistyped" / "store.log", tmp_path / "store.log"):
        exit_code, output = run_store(path, *arguments)
        assert exit_code == ExitCode.NOT_FOUND and f"{path}: there is no such log" in output
    assert list(tmp_path.iterdir()) == []


def test_writing_creates_the_log_but_no_folder(tmp_path: Path) -> None:
    write = ("put", "config/log_level", '"DEBUG"')
    folder = tmp_path / "mistyped"
    exit_code, output = run_store(folder / "store.log", *write)
    assert exit_code == ExitCode.NOT_FOUND and f"{folder}: there is no such folder" in output
    assert list(tmp_path.iterdir()) == []
    assert run_store(tmp_path / "store.log", *write)[0] == 0
    assert run_store(tmp_path / "store.log", "get", "config/log_level") == (0, '"DEBUG"\n')
