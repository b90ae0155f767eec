"""``sageturn store``: reads and writes the store of a running daemon, or the log of a stopped one.

The docstrings of the commands and the ``help`` texts are what operators read in the command's help.
"""

from __future__ import annotations

import getpass
import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Protocol, TypeVar

import typer

from sageturn.cli.connection import DaemonConnection
from sageturn.cli.exit_codes import ExitCode, fail
from sageturn.frontends.xmpp.accounts import ACCOUNT_KEY_PREFIX, make_account_record
from sageturn.store.errors import InvalidRecordError, LogCorruptedError
from sageturn.store.store import Store

app = typer.Typer(no_args_is_help=True, help="What a daemon's store holds.")
Result = TypeVar("Result")
KeyArgument = Annotated[str, typer.Argument()]


class StoreAccess(Protocol):
    """Gives access to a store for one action.

    Its methods return the action's result. The command ends with a message if the store cannot be read or
    written.
    """

    def read(self, action: Callable[[Store], Result]) -> Result:
        """Runs an action that writes nothing."""

    def write(self, action: Callable[[Store], Result]) -> Result:
        """Runs an action that may write; where there is no store yet, it is created."""


@dataclass(frozen=True, slots=True)
class LocalStoreAccess:
    """Opens the log of a daemon that is not running; writes are made under the name of ``node``.

    A path that was mistyped must not create an empty store in another place.
    """

    path: Path
    node: str

    def read(self, action: Callable[[Store], Result]) -> Result:
        """Runs the action on a log that exists; ends the command where there is none."""
        if not self.path.is_file():
            fail(ExitCode.NOT_FOUND, f"{self.path}: there is no such log")
        return self._run(action)

    def write(self, action: Callable[[Store], Result]) -> Result:
        """Runs the action; creates the log, but no folder for it."""
        if not self.path.parent.is_dir():
            fail(ExitCode.NOT_FOUND, f"{self.path.parent}: there is no such folder")
        return self._run(action)

    def _run(self, action: Callable[[Store], Result]) -> Result:
        try:
            store = Store(self.node, self.path)
            try:
                return action(store)
            finally:
                store.close()
        except (OSError, InvalidRecordError, LogCorruptedError) as error:
            fail(ExitCode.REFUSED, str(error))


@dataclass(frozen=True, slots=True)
class RemoteStoreAccess:
    """Synchronizes a copy of a running daemon's store for the time of the action."""

    connection: DaemonConnection

    def read(self, action: Callable[[Store], Result]) -> Result:
        """Runs the action on a copy of the daemon's store; ends the command where that fails."""

        async def run_action(store: Store) -> Result:
            return action(store)

        try:
            return self.connection.run(run_action)
        except (OSError, InvalidRecordError, LogCorruptedError) as error:
            fail(ExitCode.REFUSED, str(error))

    def write(self, action: Callable[[Store], Result]) -> Result:
        """Runs the action as ``read`` does; what it writes reaches the daemon."""
        return self.read(action)


def _access(context: typer.Context) -> StoreAccess:
    access: StoreAccess = context.obj
    return access


@app.callback()
def select_store(
    context: typer.Context,
    path: Annotated[Path | None, typer.Option(help="The log of a daemon that is not running.")] = None,
    connect: Annotated[str, typer.Option(envvar="SAGETURN_CONNECT", help="A running daemon's store.")] = "",
    secret_file: Annotated[Path | None, typer.Option(envvar="SAGETURN_SECRET_FILE")] = None,
    node: Annotated[str, typer.Option(help="The name to write as, with --path.")] = "operator",
) -> None:
    """With --path the log is opened directly; with --connect this is a copy for a moment."""
    if path is not None:
        context.obj = LocalStoreAccess(path, node)
    elif connect and secret_file is not None:
        context.obj = RemoteStoreAccess(DaemonConnection(connect, secret_file))
    else:
        fail(ExitCode.USAGE, "--path, or --connect and --secret-file, are needed")


@app.command("keys")
def list_keys(context: typer.Context, prefix: Annotated[str, typer.Argument()] = "") -> None:
    """The keys that begin so."""
    print("\n".join(_access(context).read(lambda store: store.keys(prefix))))


@app.command("get")
def get_value(context: typer.Context, key: KeyArgument) -> None:
    """A value, as JSON."""
    value = _access(context).read(lambda store: store.get(key))
    if value is None:
        fail(ExitCode.NOT_FOUND, f"{key}: not there")
    print(json.dumps(value))


@app.command("put")
def put_value(
    context: typer.Context, key: KeyArgument, value: Annotated[str, typer.Argument(help="JSON")]
) -> None:
    """Set a value."""
    try:
        decoded = json.loads(value)
    except ValueError as error:
        fail(ExitCode.USAGE, f"value: not JSON: {error}")
    _access(context).write(lambda store: store.put(key, decoded))


@app.command("delete")
def delete_value(context: typer.Context, key: KeyArgument) -> None:
    """Take a value out."""
    _access(context).write(lambda store: store.put(key, None))


@app.command("account")
def create_account(
    context: typer.Context,
    name: KeyArgument,
    class_name: Annotated[str, typer.Option("--class", help="The class of its requests.")],
    tenant: Annotated[str, typer.Option()],
    group: Annotated[str, typer.Option()] = "",
) -> None:
    """Make an XMPP account; the password is read from standard input."""
    password = getpass.getpass() if sys.stdin.isatty() else sys.stdin.readline().rstrip("\n")
    record = make_account_record(password, class_name, tenant, group)
    _access(context).write(lambda store: store.put(ACCOUNT_KEY_PREFIX + name, record))
