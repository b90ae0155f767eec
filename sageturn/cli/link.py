"""How commands reach a running daemon: over its store's authenticated link."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, NoReturn, TypeVar

import typer

from sageturn.net.addresses import parse_address
from sageturn.store.channel import read_secret
from sageturn.store.replication.ephemeral_client import open_ephemeral_client
from sageturn.store.store import Store

T = TypeVar("T")

# Exit codes, as the operators' pages have them.
REFUSED, USAGE, UNREACHED, NOT_THERE = 1, 2, 3, 4

Connect = Annotated[
    str, typer.Option("--connect", metavar="HOST:PORT", envvar="SAGETURN_CONNECT", help="A daemon's store.")
]
SecretFile = Annotated[
    Path, typer.Option(envvar="SAGETURN_SECRET_FILE", help="The secret that the replicas share.")
]
AsJson = Annotated[bool, typer.Option("--json", help="One JSON value in place of text.")]


def fail(code: int, text: str) -> NoReturn:
    print(f"sageturn: {text}", file=sys.stderr)
    raise typer.Exit(code)


@dataclass(frozen=True, slots=True)
class Reach:
    connect: str
    secret_file: Path

    def act(self, action: Callable[[Store], Awaitable[T]]) -> T:
        """With all that the daemon has; what the action writes has reached it when this returns."""

        async def go() -> T:
            async with open_ephemeral_client(parse_address(self.connect), secret) as store:
                return await action(store)

        try:
            secret = read_secret(self.secret_file.read_text(encoding="utf-8"))
        except OSError as error:
            fail(USAGE, f"{self.secret_file}: {error.strerror}")
        try:
            return asyncio.run(go())
        except ValueError as error:
            fail(USAGE, str(error))
        except TimeoutError as error:
            reason = f" ({error})" if str(error) else ""
            fail(UNREACHED, f"{self.connect}: no daemon answered in time{reason}")
