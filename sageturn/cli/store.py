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

app = typer.Typer(no_args_is_help=True, help="Read and write a daemon's store.")
Result = TypeVar("Result")
KeyArgument = Annotated[str, typer.Argument()]


class StoreAccess(Protocol):
    """Access to a store, which is open only during an action.

    The methods return the action's result. They end the command with a message if the store cannot be read
    or written.
    """

    def read(self, action: Callable[[Store], Result]) -> Result:
        """Run an action that writes nothing."""

    def write(self, action: Callable[[Store], Result]) -> Result:
        """Run an action that may write; a store that does not exist yet is created."""


@dataclass(frozen=True, slots=True)
class LocalStoreAccess:
    """Access to the log of a daemon that is not running; records are written under the node name ``node``.

    A mistyped path must not create an empty store elsewhere.
    """

    path: Path
    node: str

    def read(self, action: Callable[[Store], Result]) -> Result:
        """Run the action on an existing log; end the command if there is none."""
        if not self.path.is_file():
            fail(ExitCode.NOT_FOUND, f"{self.path}: there is no such log")
        return self._run(action)

    def write(self, action: Callable[[Store], Result]) -> Result:
        """Run the action; the log is created if necessary, but no folder for it."""
        if not self.path.parent.is_dir():
            fail(ExitCode.NOT_FOUND, f"{self.path.parent}: there is no such folder")
        return self._run(action)

    def _run(self, action: Callable[[Store], Result]) -> Result:
        try:
            store = Store(self.node, self.path, versions_follow_clock=True)
            try:
                return action(store)
            finally:
                store.close()
        except (OSError, InvalidRecordError, LogCorruptedError) as error:
            fail(ExitCode.REFUSED, str(error))


@dataclass(frozen=True, slots=True)
class RemoteStoreAccess:
    """Access to a running daemon's store, of which a copy is synchronized during the action."""

    connection: DaemonConnection

    def read(self, action: Callable[[Store], Result]) -> Result:
        """Run the action on a copy of the daemon's store; end the command if that fails."""

        async def run_action(store: Store) -> Result:
            return action(store)

        try:
            return self.connection.run(run_action)
        except (OSError, InvalidRecordError, LogCorruptedError) as error:
            fail(ExitCode.REFUSED, str(error))

    def write(self, action: Callable[[Store], Result]) -> Result:
        """Run the action as ``read`` does; its writes reach the daemon."""
        return self.read(action)


def _get_store_access(context: typer.Context) -> StoreAccess:
    access: StoreAccess = context.obj
    return access


@app.callback()
def select_store(
    context: typer.Context,
    path: Annotated[Path | None, typer.Option(help="The log of a daemon that is not running.")] = None,
    connect: Annotated[
        str, typer.Option(envvar="SAGETURN_CONNECT", help="Address of a running daemon's store.")
    ] = "",
    secret_file: Annotated[Path | None, typer.Option(envvar="SAGETURN_SECRET_FILE")] = None,
    node: Annotated[
        str, typer.Option(help="Node name of the records that are written with --path.")
    ] = "operator",
) -> None:
    """Open a log directly (--path), or synchronize a copy of a daemon's store for the command (--connect)."""
    if path is not None:
        context.obj = LocalStoreAccess(path, node)
    elif connect and secret_file is not None:
        context.obj = RemoteStoreAccess(DaemonConnection(connect, secret_file))
    else:
        fail(ExitCode.USAGE, "--path, or --connect and --secret-file, are required")


@app.command("keys")
def list_keys(context: typer.Context, prefix: Annotated[str, typer.Argument()] = "") -> None:
    """List the keys that begin with PREFIX."""
    print("\n".join(_get_store_access(context).read(lambda store: store.keys(prefix))))


@app.command("get")
def get_value(context: typer.Context, key: KeyArgument) -> None:
    """Print the value of a key as JSON."""
    value = _get_store_access(context).read(lambda store: store.get(key))
    if value is None:
        fail(ExitCode.NOT_FOUND, f"{key}: there is no such key")
    print(json.dumps(value))


@app.command("put")
def put_value(
    context: typer.Context, key: KeyArgument, value: Annotated[str, typer.Argument(help="JSON")]
) -> None:
    """Set the value of a key."""
    try:
        decoded = json.loads(value)
    except ValueError as error:
        fail(ExitCode.USAGE, f"value: not JSON: {error}")
    _get_store_access(context).write(lambda store: store.put(key, decoded))


@app.command("delete")
def delete_value(context: typer.Context, key: KeyArgument) -> None:
    """Delete a key."""
    _get_store_access(context).write(lambda store: store.put(key, None))


@app.command("account")
def create_account(
    context: typer.Context,
    name: KeyArgument,
    class_name: Annotated[str, typer.Option("--class", help="The class of its requests.")],
    tenant: Annotated[str, typer.Option()],
    group: Annotated[str, typer.Option()] = "",
) -> None:
    """Create an XMPP account; the password is read from standard input."""
    password = getpass.getpass() if sys.stdin.isatty() else sys.stdin.readline().rstrip("\n")
    record = make_account_record(password, class_name, tenant, group)
    _get_store_access(context).write(lambda store: store.put(ACCOUNT_KEY_PREFIX + name, record))
