"""An operator's way to the store: ``python -m sageturn.store --path LOG`` or ``--connect HOST:PORT``.

With --path the log is opened directly, while no daemon has it; with --connect this is a replica for a
moment, so that a change reaches running daemons.
"""

from __future__ import annotations

import argparse
import asyncio
import getpass
import json
import sys
from pathlib import Path

from sageturn.fronts.xmpp.accounts import PREFIX, make_record
from sageturn.net.discovery import parse_address
from sageturn.store.frames import read_secret
from sageturn.store.log import Damaged
from sageturn.store.records import BadRecord
from sageturn.store.replica import connected
from sageturn.store.store import Store

WAIT_S = 5.0


def run(store: Store, options: argparse.Namespace) -> int:
    match options.command:
        case "keys":
            print("\n".join(store.keys(options.prefix)))
        case "get":
            value = store.get(options.key)
            if value is None:
                print(f"{options.key}: not there", file=sys.stderr)
                return 1
            print(json.dumps(value))
        case "put":
            store.put(options.key, json.loads(options.value))
        case "delete":
            store.put(options.key, None)
        case "account":
            password = getpass.getpass() if sys.stdin.isatty() else sys.stdin.readline().rstrip("\n")
            record = make_record(password, options.cls, options.tenant, options.group)
            store.put(PREFIX + options.name, record)
    return 0


async def run_connected(options: argparse.Namespace) -> int:
    secret = read_secret(Path(options.secret_file).read_text())
    try:
        async with connected(parse_address(options.connect), secret) as store:
            return run(store, options)
    except TimeoutError:
        print(f"{options.connect}: no replica answered in {WAIT_S:g} s", file=sys.stderr)
        return 1


def main(arguments: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="sageturn.store", description=__doc__)
    where = parser.add_mutually_exclusive_group(required=True)
    where.add_argument("--path", help="the log of a daemon that is not running")
    where.add_argument("--connect", help="HOST:PORT of a running daemon's store")
    parser.add_argument("--secret-file", help="what the replicas share; needed with --connect")
    parser.add_argument("--node", default="operator", help="the name to write as, with --path")
    commands = parser.add_subparsers(dest="command", required=True)
    commands.add_parser("keys").add_argument("prefix", nargs="?", default="")
    commands.add_parser("get").add_argument("key")
    commands.add_parser("delete").add_argument("key")
    put = commands.add_parser("put")
    put.add_argument("key")
    put.add_argument("value", help="JSON")
    account = commands.add_parser("account", help="the password is read from standard input")
    account.add_argument("name")
    account.add_argument("--class", dest="cls", required=True)
    account.add_argument("--tenant", required=True)
    account.add_argument("--group", default="")
    options = parser.parse_args(arguments)
    if options.connect and not options.secret_file:
        parser.error("--connect needs --secret-file")
    try:
        if options.connect:
            return asyncio.run(run_connected(options))
        store = Store(options.node, Path(options.path))
        try:
            return run(store, options)
        finally:
            store.close()
    except (OSError, ValueError, BadRecord, Damaged) as error:
        print(f"sageturn.store: {error}", file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(main())
