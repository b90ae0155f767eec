"""The exit codes of all commands, and the function that ends a command with one."""

from __future__ import annotations

import sys
from enum import IntEnum
from typing import NoReturn

import typer


class ExitCode(IntEnum):
    """The exit codes that the operators' documentation lists; 0 is success."""

    REFUSED = 1
    USAGE = 2
    UNREACHABLE = 3  # no daemon answered in time
    NOT_FOUND = 4


def fail(code: ExitCode, message: str) -> NoReturn:
    """End the command, with a message on standard error.

    Raises:
        typer.Exit: always, with the exit code.
    """
    print(f"sageturn: {message}", file=sys.stderr)
    raise typer.Exit(int(code))
