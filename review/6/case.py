"""A server that shuts down while it sets sessions up: is a bind of an unsafe class run twice?"""

from __future__ import annotations

import asyncio
import collections
from functools import partial
from pathlib import Path

import kit
import xmpp

SETUP_S = 0.3  # a server's call to the session store
CLIENTS = 12
WAIT_MS = 3000.0  # how long a client waits for its answer
ANSWER_LIMIT_S = WAIT_MS / 1000.0 + 0.5


class Play:
    """What the servers ran and what the clients were answered."""

    def __init__(self, record: kit.Record) -> None:
        self.record = record
        self.runs: dict[str, list[str]] = collections.defaultdict(list)  # servers that ran a bind, by resource
        self.ending: set[str] = set()  # servers that are shutting down
        self.answers: dict[str, str] = {}

    async def serve(self, name: str, session: xmpp.ServerSession) -> None:
        resource = await session.accept()
        self.record(f"server {name} has read the bind of {resource}")
        await asyncio.sleep(SETUP_S)
        self.runs[resource].append(name)
        self.record(f"server {name} has run the bind of {resource}: its session is in the session store")
        if name in self.ending:
            self.record(f"server {name} ends the stream of {resource} by system-shutdown")
            session.send(
                f"<stream:error><system-shutdown xmlns='{xmpp.ERRORS_NS}'/></stream:error></stream:stream>"
            )
            await session.writer.drain()
            return
        session.bound(resource)
        await session.echo()

    async def client(self, address: tuple[str, int], resource: str) -> None:
        client = await xmpp.Client.connect(address)
        try:
            await client.login("lan")
            async with asyncio.timeout(ANSWER_LIMIT_S):
                self.answers[resource] = await client.bind(resource)
            self.record(f"client {resource} was answered {self.answers[resource]}")
            if self.answers[resource].startswith("up"):
                await asyncio.sleep(1.0)
                client.send("</stream:stream>")
        finally:
            client.close()


async def main(folder: Path, record: kit.Record) -> list[str]:
    play = Play(record)
    servers = [xmpp.Server(name, partial(play.serve, name)) for name in ("a", "b", "c")]
    for server in servers:
        await server.start()
    discovery = kit.Discovery([kit.entry(server.name, server.address) for server in servers])
    await discovery.start()
    xmpp.write_store(folder / "store.log", {"lan": "c"})
    (folder / "password").write_text("relay-pw\n")
    address = (kit.LOOPBACK, kit.free_port())
    operator = {
        "store": {"path": "store.log"},
        "xmpp": {
            "listen": f"{address[0]}:{address[1]}",
            "domain": xmpp.DOMAIN,
            "wait_ms": WAIT_MS,
            "endpoint": {"username": "relay", "password_file": "password", "tls": False},
        },
    }
    settings = kit.settings([kit.request_class("c", "unsafe")])
    relay = kit.Relay(folder, "n1", kit.relay_config("n1", discovery, settings), operator)
    try:
        await relay.start()
        await relay.wait_ready()
        clients = [
            asyncio.ensure_future(play.client(address, f"desk{number}")) for number in range(CLIENTS)
        ]
        if kit.TROUBLE:
            async with asyncio.timeout(10):  # the first binds are being set up
                while not any(server.sessions for server in servers):
                    await asyncio.sleep(0.01)
            await asyncio.sleep(SETUP_S / 2)
            play.ending.add("a")
            record("server a is told to shut down; discovery tells that it drains")
            discovery.change("a", state="draining")
            servers[0].stop_listening()
        await asyncio.wait(clients, timeout=15)
    finally:
        await relay.end()
    if not play.answers:
        raise kit.CannotRunError(f"no client was answered: {relay.log_tail()}")
    if kit.TROUBLE and not any("a" in names for names in play.runs.values()):
        raise kit.CannotRunError("the server that shut down had no bind")
    return [
        f"the bind of {resource}, of an unsafe class, was run by {' and '.join(names)}"
        for resource, names in sorted(play.runs.items())
        if len(names) > 1
    ]


kit.run_case(main, Path(__file__).with_name("record.txt"))
