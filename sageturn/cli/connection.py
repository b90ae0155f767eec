"""Connects a command to a running daemon, over the authenticated channel of its store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

from sageturn.cli.exit_codes import ExitCode, fail
from sageturn.net.addresses import parse_address
from sageturn.store.channel import read_secret
from sageturn.store.replication.ephemeral_client import open_ephemeral_client
from sageturn.store.store import Store

Result = TypeVar("Result")


@dataclass(frozen=True, slots=True)
class DaemonConnection:
    """Address of a daemon's store, and the secret that authenticates the connection."""

    address: str  # HOST:PORT
    secret_file: Path  # contains the secret that the replicas share

    def run(self, action: Callable[[Store], Awaitable[Result]]) -> Result:
        """Run an action on a synchronized copy of the daemon's store. Return the action's result.

        The action's writes have reached the daemon when this returns. A failure ends the command.
        """
        secret = self._read_secret()

        async def run_connected() -> Result:
            async with open_ephemeral_client(parse_address(self.address), secret) as store:
                return await action(store)

        try:
            return asyncio.run(run_connected())
        except ValueError as error:
            fail(ExitCode.USAGE, str(error))
        except TimeoutError as error:
            reason = f" ({error})" if str(error) else ""
            fail(ExitCode.UNREACHABLE, f"{self.address}: no daemon answered in time{reason}")

    def _read_secret(self) -> bytes:
        try:
            return read_secret(self.secret_file.read_text(encoding="utf-8"))
        except OSError as error:
            fail(ExitCode.USAGE, f"{self.secret_file}: {error.strerror}")
