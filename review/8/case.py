"""Bad clients of XMPP that send hundreds of commands at once: does the relay stay within its memory?"""

from __future__ import annotations

import asyncio
import collections
import contextlib
from pathlib import Path

import kit
import xmpp

MEMORY_MB = 192  # the page: at most 192 MB and 1,024 descriptors
SOCKETS = 1024
BAD_CLIENTS = 150
COMMANDS = 200  # of each, at once
STANZA_BYTES = 60_000
HOSTS = 12
SETUP_S = 0.3
OBSERVED_S = 8.0
SAMPLE_S = 0.02


def memory_mb(process_id: int) -> float:
    """Return the anonymous memory of a process: a lower bound of what the platform counts."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024.0
    raise kit.CannotRunError("the system does not tell the memory of a process")


async def serve(session: xmpp.ServerSession) -> None:
    resource = await session.accept()
    await asyncio.sleep(SETUP_S)
    session.bound(resource)
    await session.echo()


async def main(folder: Path, record: kit.Record) -> list[str]:
    servers = [xmpp.Server(f"s{number}", serve) for number in range(HOSTS)]
    for server in servers:
        await server.start()
    discovery = kit.Discovery([kit.entry(server.name, server.address) for server in servers])
    await discovery.start()
    address = (kit.LOOPBACK, kit.free_port())
    xmpp.write_store(folder / "store.log", {"lan": "c"})
    (folder / "password").write_text("relay-pw\n")
    operator = {
        "store": {"path": "store.log"},
        "xmpp": {
            "listen": f"{address[0]}:{address[1]}",
            "domain": xmpp.DOMAIN,
            "wait_ms": 3000,
            "endpoint": {"username": "relay", "password_file": "password", "tls": False},
        },
    }
    config = kit.relay_config("n1", discovery, kit.settings([kit.request_class("c")]))
    config["limits"] = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    relay = kit.Relay(folder, "n1", config, operator)
    answers: collections.Counter[str] = collections.Counter()
    clients: list[xmpp.Client] = []
    tasks: list[asyncio.Future[None]] = []
    head, tail = f"<message id='m' to='desk@{xmpp.DOMAIN}'><body>", "</body></message>"
    command = (head + "x" * (STANZA_BYTES - len(head) - len(tail)) + tail).encode()
    logged_in = asyncio.Barrier(BAD_CLIENTS)

    async def send_commands(client: xmpp.Client) -> None:
        with contextlib.suppress(OSError):
            for _ in range(COMMANDS):
                client.writer.write(command)
                await client.writer.drain()

    async def come(number: int) -> None:
        client = await xmpp.Client.connect(address)
        clients.append(client)
        await client.login("lan")
        await asyncio.wait_for(logged_in.wait(), 5)
        client.send_bind(f"desk{number}")
        sending = asyncio.ensure_future(send_commands(client)) if kit.TROUBLE else None
        try:
            found = await client.read_until("<jid>[^<]*</jid>|<stream:error><(?P<condition>[a-z-]+)")
            answers[found["condition"] or "up"] += 1
        except OSError:
            answers["the connection broke"] += 1
        if sending is not None:
            sending.cancel()

    try:
        await relay.start()
        await relay.wait_ready()
        assert relay.process is not None
        process_id = relay.process.pid
        started_mb = peak_mb = memory_mb(process_id)
        record(f"the relay is ready with {started_mb:.1f} MB")
        sent = f", and {COMMANDS} messages of {STANZA_BYTES} bytes at once" if kit.TROUBLE else ""
        record(f"{BAD_CLIENTS} clients log in; each sends its bind{sent}")
        tasks = [asyncio.ensure_future(come(number)) for number in range(BAD_CLIENTS)]
        loop = asyncio.get_running_loop()
        end_s = loop.time() + OBSERVED_S
        while loop.time() < end_s:
            await asyncio.sleep(SAMPLE_S)
            if relay.process.returncode is not None:
                raise kit.CannotRunError(f"the relay has ended: {relay.log_tail()}")
            now_mb = memory_mb(process_id)
            if now_mb > MEMORY_MB >= peak_mb:
                record(f"over {MEMORY_MB} MB: the platform kills the relay here")
            peak_mb = max(peak_mb, now_mb)
        record(f"answers {dict(answers)}; peak {peak_mb:.1f} MB, {memory_mb(process_id):.1f} MB at the end")
        if sum(answers.values()) < BAD_CLIENTS / 2:
            raise kit.CannotRunError(f"only {sum(answers.values())} clients were answered")
    finally:
        for task in tasks:
            task.cancel()
        for client in clients:
            client.abort()
        await relay.end()
    if peak_mb > MEMORY_MB:
        return [f"the relay had {peak_mb:.0f} MB of {MEMORY_MB} MB with {BAD_CLIENTS} bad clients: it is killed"]
    return []


kit.run_case(main, Path(__file__).with_name("record.txt"))
