"""``sageturn``: one command for operators."""

from __future__ import annotations

from importlib.util import find_spec

import typer

from sageturn.cli import override, store

app = typer.Typer(no_args_is_help=True, pretty_exceptions_enable=False, help="A relay, and what runs it.")
app.add_typer(override.app, name="override")
app.add_typer(store.app, name="store")
# The laboratory has an extra of its own, which an operator's desk need not have.
if all(find_spec(name) for name in ("hdrh", "msgspec", "numpy", "scipy")):
    from sageturn.cli import lab

    app.add_typer(lab.app, name="lab")


@app.callback()
def _root() -> None:
    """Exit codes: 0 done, 1 refused, 2 wrong words, 3 no daemon answered, 4 not there."""


def main() -> None:
    app()


if __name__ == "__main__":
    main()
