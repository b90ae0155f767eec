"""``sageturn``: the operators' command and its subcommands."""

from __future__ import annotations

import sys
from importlib.util import find_spec

import typer

from sageturn.cli import override, store

# The laboratory's dependencies are an optional extra, which an operator's machine need not install.
LAB_DEPENDENCIES = ("hdrh", "msgspec", "numpy", "scipy")
# Commands that don't import the laboratory, whose libraries take seconds to import on a busy machine.
OPERATOR_COMMANDS = {"override", "store"}


def _describe_exit_codes() -> None:
    """Exit codes: 0 success, 1 refused, 2 usage error, 3 no daemon answered, 4 not found."""


def build_app(include_lab: bool = True) -> typer.Typer:
    """Build the command with its subcommands; ``lab`` only if its dependencies are installed."""
    app = typer.Typer(
        no_args_is_help=True,
        pretty_exceptions_enable=False,
        help="Commands for operators of relays, and the laboratory.",
    )
    app.callback()(_describe_exit_codes)
    app.add_typer(override.app, name="override")
    app.add_typer(store.app, name="store")
    if include_lab and all(find_spec(name) for name in LAB_DEPENDENCIES):
        from sageturn.cli import lab

        app.add_typer(lab.app, name="lab")
    return app


def main() -> None:
    """Run the installed command."""
    command = sys.argv[1] if len(sys.argv) > 1 else ""
    app = build_app(include_lab=command not in OPERATOR_COMMANDS)
    app()


if __name__ == "__main__":
    main()
