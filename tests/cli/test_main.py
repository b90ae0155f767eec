"""Imports of the operators' command at its start."""

from __future__ import annotations

import subprocess
import sys

import pytest

PROGRAM = """
import sys
from sageturn.cli.main import main
try:
    main()
except SystemExit:
    pass
print("numpy" in sys.modules, file=sys.stderr)
"""


def imports_numerical_libraries(*arguments: str) -> bool:
    """Return whether the command, run in a process with these arguments, imported numerical libraries."""
    command = [sys.executable, "-c", PROGRAM, *arguments]
    errors = subprocess.run(command, capture_output=True, text=True, check=True).stderr
    return errors.splitlines()[-1] == "True"


@pytest.mark.parametrize("command", ["override", "store"])
def test_operator_commands_do_not_import_the_laboratory(command: str) -> None:
    assert not imports_numerical_libraries(command, "--help")


@pytest.mark.parametrize("arguments", [["--help"], ["lab", "--help"]])
def test_help_and_the_lab_command_import_the_laboratory(arguments: list[str]) -> None:
    assert imports_numerical_libraries(*arguments)
