"""``sageturn``: the operators' command, with all its subcommands."""

from __future__ import annotations

from importlib.util import find_spec

import typer

from sageturn.cli import override, store

LAB_DEPENDENCIES = ("hdrh", "msgspec", "numpy", "scipy")

app = typer.Typer(no_args_is_help=True, pretty_exceptions_enable=False, help="A relay, and what runs it.")
app.add_typer(override.app, name="override")
app.add_typer(store.app, name="store")
# The laboratory's dependencies are an extra that an operator's machine need not have.
if all(find_spec(name) for name in LAB_DEPENDENCIES):
    from sageturn.cli import lab

    app.add_typer(lab.app, name="lab")


@app.callback()
def _describe_exit_codes() -> None:
    """Exit codes: 0 done, 1 refused, 2 wrong words, 3 no daemon answered, 4 not there."""


def main() -> None:
    """The entry point of the installed command."""
    app()


if __name__ == "__main__":
    main()
