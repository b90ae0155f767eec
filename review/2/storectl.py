"""``sageturn store --connect``, without its argument parser: puts or gets keys at a running relay's store.

    storectl.py ADDRESS SECRET_FILE put KEY JSON
    storectl.py ADDRESS SECRET_FILE load FILE
    storectl.py ADDRESS SECRET_FILE get KEY...

It is the project's own client for operators' commands (``open_ephemeral_client``), which ends once the relay
has acknowledged what was written. ``get`` prints a JSON object: each key with its value, null if unknown.
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

from sageturn.net.addresses import parse_address
from sageturn.store.channel import read_secret
from sageturn.store.replication.ephemeral_client import open_ephemeral_client


async def run(address: str, secret_file: str, command: str, *words: str) -> int:
    secret = read_secret(Path(secret_file).read_text(encoding="utf-8"))
    try:
        async with open_ephemeral_client(parse_address(address), secret) as store:
            if command == "load":
                for key, value in json.loads(Path(words[0]).read_text()).items():
                    store.put(key, value)
            elif command == "put":
                store.put(words[0], json.loads(words[1]))
            else:
                print(json.dumps({key: store.get(key) for key in words}))
    except TimeoutError as error:
        print(f"no answer in time: {error}", file=sys.stderr)
        return 3
    return 0


sys.exit(asyncio.run(run(*sys.argv[1:])))
