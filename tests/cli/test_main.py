"""What the operators' command imports at its start."""

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
    """Returns whether the command, run in a process with these arguments, imported numerical libraries."""
    command = [sys.executable, "-c", PROGRAM, *arguments]
    errors = subprocess.run(command, capture_output=True, text=True, check=True).stderr
    return errors.splitlines()[-1] == "True"


@pytest.mark.parametrize("command", ["override", "store"])
def test_operator_commands_do_not_import_the_laboratory(command: str) -> None:
    assert not imports_numerical_libraries(command, "--help")


@pytest.mark.parametrize("arguments", [["--help"], ["lab", "--help"]])
def test_the_laboratory_is_there_where_it_is_asked_for(arguments: list[str]) -> None:
    assert imports_numerical_libraries(*arguments)
