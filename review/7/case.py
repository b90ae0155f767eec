"""One of three copies in memory dies after it has acknowledged writes: does any copy still hold them?"""

from __future__ import annotations

import asyncio
import hashlib
import logging
import signal
from pathlib import Path

import kit
from sageturn.store.channel import read_secret
from sageturn.store.replication.ephemeral_client import open_ephemeral_client

NODES = ("n1", "n2", "n3")
ACCOUNTS = 2000
ALIVE_S = 2.0  # from the acknowledgement to the death of the copy
SETTLED_S = 20.0  # from the return of the copy to the reading


def account(number: int) -> dict:
    """Return a record of the form that ``sageturn store account`` writes."""
    digests = [hashlib.sha256(f"{number}/{part}".encode()).hexdigest() for part in range(3)]
    return {
        "class": "c",
        "tenant": "t",
        "group": "",
        "salt": digests[0][:32],
        "stored_key": digests[1],
        "server_key": digests[2],
        "iterations": 16384,
    }


async def main(folder: Path, record: kit.Record) -> list[str]:
    logging.disable(logging.CRITICAL)
    host = await asyncio.start_server(lambda _reader, writer: writer.close(), kit.LOOPBACK, 0)
    discovery = kit.Discovery([kit.entry("a", host.sockets[0].getsockname()[:2])])
    await discovery.start()
    (folder / "secret").write_text("the secret of the copies\n")
    secret = read_secret("the secret of the copies")
    ports = {node: kit.free_port() for node in NODES}
    relays = {}
    for node in NODES:
        store = {
            "listen": f"{kit.LOOPBACK}:{ports[node]}",
            "peers": [f"{kit.LOOPBACK}:{port}" for other, port in ports.items() if other != node],
            "secret_file": "secret",
        }
        settings = kit.settings([kit.request_class("c")], groupSize=len(NODES))
        relays[node] = kit.Relay(folder, node, kit.relay_config(node, discovery, settings), {"store": store})
    expected = {f"config/accounts/guide{number}": account(number) for number in range(ACCOUNTS)}

    async def count(node: str) -> int:
        """Return how many of the accounts a copy holds, as it tells a client."""
        async with open_ephemeral_client((kit.LOOPBACK, ports[node]), secret, 15.0) as copy:
            return sum(copy.get(key) == value for key, value in expected.items())

    try:
        for relay in relays.values():
            await relay.start()
        for relay in relays.values():
            await relay.wait_ready()
        for node in NODES:
            record(f"{node} serves commands, and has {await count(node)} of the accounts")
        async with open_ephemeral_client((kit.LOOPBACK, ports["n2"]), secret, 15.0) as copy:
            for key, value in expected.items():
                copy.put(key, value)
        record(f"n2 has acknowledged {ACCOUNTS} accounts")
        await asyncio.sleep(ALIVE_S)
        if kit.TROUBLE:
            dying = relays["n2"]
            dying.signal(signal.SIGKILL)
            assert dying.process is not None
            await dying.process.wait()
            record("n2 was killed")
            await dying.start()
            await dying.wait_ready()
            record("n2 is back")
        await asyncio.sleep(SETTLED_S)
        held = {node: await count(node) for node in NODES}
    finally:
        for relay in relays.values():
            await relay.end()
    record(f"accounts that each copy holds: {held}")
    if min(held.values()) == ACCOUNTS:
        return []
    return [f"of {ACCOUNTS} acknowledged accounts the copies hold {held}"]


kit.run_case(main, Path(__file__).with_name("record.txt"))
