"""``sageturn store``: what a store holds, by a running daemon or in the log of one that is not running."""

from __future__ import annotations

import getpass
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, TypeVar

import typer

from sageturn.cli.link import NOT_THERE, REFUSED, USAGE, Reach, fail
from sageturn.frontends.xmpp.accounts import PREFIX, make_record
from sageturn.store.errors import InvalidRecordError, LogCorruptedError
from sageturn.store.store import Store

app = typer.Typer(no_args_is_help=True, help="What a daemon's store holds.")
T = TypeVar("T")
Key = Annotated[str, typer.Argument()]


class Where:
    def __init__(self, path: Path | None, reach: Reach | None, node: str) -> None:
        self._path, self._reach, self._node = path, reach, node

    def act(self, action: Callable[[Store], T]) -> T:
        try:
            if self._reach is not None:

                async def go(store: Store) -> T:
                    return action(store)

                return self._reach.act(go)
            assert self._path is not None
            store = Store(self._node, self._path)
            try:
                return action(store)
            finally:
                store.close()
        except (OSError, InvalidRecordError, LogCorruptedError) as error:
            fail(REFUSED, str(error))


@app.callback()
def where(
    ctx: typer.Context,
    path: Annotated[Path | None, typer.Option(help="The log of a daemon that is not running.")] = None,
    connect: Annotated[str, typer.Option(envvar="SAGETURN_CONNECT", help="A running daemon's store.")] = "",
    secret_file: Annotated[Path | None, typer.Option(envvar="SAGETURN_SECRET_FILE")] = None,
    node: Annotated[str, typer.Option(help="The name to write as, with --path.")] = "operator",
) -> None:
    """With --path the log is opened directly; with --connect this is a copy for a moment."""
    if path is None and (not connect or secret_file is None):
        fail(USAGE, "--path, or --connect and --secret-file, are needed")
    reach = Reach(connect, secret_file) if path is None and secret_file is not None else None
    ctx.obj = Where(path, reach, node)


@app.command()
def keys(ctx: typer.Context, prefix: Annotated[str, typer.Argument()] = "") -> None:
    """The keys that begin so."""
    print("\n".join(ctx.obj.act(lambda store: store.keys(prefix))))


@app.command()
def get(ctx: typer.Context, key: Key) -> None:
    """A value, as JSON."""
    value = ctx.obj.act(lambda store: store.get(key))
    if value is None:
        fail(NOT_THERE, f"{key}: not there")
    print(json.dumps(value))


@app.command()
def put(ctx: typer.Context, key: Key, value: Annotated[str, typer.Argument(help="JSON")]) -> None:
    """Set a value."""
    try:
        parsed = json.loads(value)
    except ValueError as error:
        fail(USAGE, f"value: not JSON: {error}")
    ctx.obj.act(lambda store: store.put(key, parsed))


@app.command()
def delete(ctx: typer.Context, key: Key) -> None:
    """Take a value out."""
    ctx.obj.act(lambda store: store.put(key, None))


@app.command()
def account(
    ctx: typer.Context,
    name: Key,
    cls: Annotated[str, typer.Option("--class", help="The class of its requests.")],
    tenant: Annotated[str, typer.Option()],
    group: Annotated[str, typer.Option()] = "",
) -> None:
    """Make an XMPP account; the password is read from standard input."""
    password = getpass.getpass() if sys.stdin.isatty() else sys.stdin.readline().rstrip("\n")
    record = make_record(password, cls, tenant, group)
    ctx.obj.act(lambda store: store.put(PREFIX + name, record))
