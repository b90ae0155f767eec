"""A write that a copy has acknowledged soon after it was killed and started again."""

from __future__ import annotations

import asyncio
import json
import secrets
import time
from pathlib import Path

from harness import LOOPBACK, ROOT, TROUBLE, CannotRun, Record, RelayProcess, free_ports, run_case
from standins import Discovery, LiveHost, list_entry, platform_config

NAMES = ("a", "b", "c")
ACCOUNTS = 800  # guides and desks of a member
KEY = "config/accounts/lan"


def account(note: str) -> dict:
    """Return an account's record, in the form that ``sageturn store account`` writes."""
    return {
        "class": "departures",
        "tenant": "song-xanh",
        "group": note,
        "salt": secrets.token_hex(16),
        "stored_key": secrets.token_hex(32),
        "server_key": secrets.token_hex(32),
        "iterations": 16384,
    }


class Fleet:
    """Three relays whose stores are in memory, as the platform has no disk that survives a relay."""

    def __init__(self, folder: Path, record: Record) -> None:
        ports = free_ports(8)
        self.record = record
        self.folder = folder
        self.secret_file = folder / "replica.secret"
        self.secret_file.write_text("a secret that all copies share\n")
        self.stores = {name: f"{LOOPBACK}:{port}" for name, port in zip(NAMES, ports[2:5], strict=True)}
        servers = [list_entry("s-1", ports[1])]
        self.discovery, self.host, self.ports = Discovery(servers), LiveHost(), ports
        self.relays = {}
        for number, name in enumerate(NAMES):
            config = platform_config(name, number, ports[5 + number], ports[0], servers, 3200.0)
            store = {
                "listen": self.stores[name],
                "peers": [address for other, address in self.stores.items() if other != name],
                "secret_file": str(self.secret_file),
            }
            self.relays[name] = RelayProcess(folder, record, config, {"store": store})

    async def start(self, *names: str) -> None:
        for name in names:
            await self.relays[name].start()
        for name in names:
            await self.relays[name].wait_until_ready()

    async def command(self, name: str, *words: str) -> tuple[int, str]:
        """Run the operators' command at the store of relay ``name``."""
        process = await asyncio.create_subprocess_exec(
            str(ROOT / ".venv/bin/python"), "-B", str(Path(__file__).with_name("storectl.py")),
            self.stores[name], str(self.secret_file), *words,
            cwd=ROOT, env={"PYTHONPATH": str(ROOT)},
            stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE,
        )
        output, errors = await process.communicate()
        assert process.returncode is not None
        if process.returncode and errors:
            self.record(f"store {name}: {errors.decode().strip().splitlines()[-1]}")
        return process.returncode, output.decode().strip()

    async def put(self, name: str, key: str, value: dict) -> None:
        code, _ = await self.command(name, "put", key, json.dumps(value))
        self.record(f"store {name}: put {key} {value['group']!r} -> {'acknowledged' if code == 0 else 'failed'}")
        if code:
            raise CannotRun("the write was not acknowledged")

    async def get(self, name: str, key: str) -> str | None:
        for _ in range(3):
            code, output = await self.command(name, "get", key)
            if code == 0:
                value = json.loads(output)[key]
                return None if value is None else value["group"]
        raise CannotRun(f"the store of {name} does not answer")

    async def wait_for(self, value: str, timeout_s: float) -> None:
        """Wait until all three copies hold the account with this value."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            found = [await self.get(name, KEY) for name in NAMES]
            if found == [value] * len(NAMES):
                self.record(f"all stores hold {KEY} {value!r}")
                return
            await asyncio.sleep(0.5)
        raise CannotRun(f"the copies did not become equal: {found}")


async def case(folder: Path, record: Record) -> bool:
    fleet = Fleet(folder, record)
    await fleet.discovery.start(fleet.ports[0])
    await fleet.host.start(fleet.ports[1])
    try:
        await fleet.start(*NAMES)
        accounts = {f"config/accounts/guide-{number:04d}": account("") for number in range(ACCOUNTS)}
        (folder / "accounts.json").write_text(json.dumps(accounts))
        code, _ = await fleet.command("a", "load", str(folder / "accounts.json"))
        record(f"store a: {ACCOUNTS} accounts -> {'acknowledged' if code == 0 else 'failed'}")
        await fleet.put("a", KEY, account("first"))
        await fleet.put("a", KEY, account("second"))
        await fleet.wait_for("second", 40.0)
        await asyncio.sleep(2.0)
        if TROUBLE:
            await fleet.relays["b"].kill()  # one copy dies, and is started again at once
            await fleet.start("b")
            await asyncio.sleep(2.0)
        record(f"store b: get {KEY} -> {await fleet.get('b', KEY)!r}")
        await fleet.put("b", KEY, account("third"))
        await asyncio.sleep(25.0)
        held = True
        for name in NAMES:
            found = await fleet.get(name, KEY)
            record(f"store {name}: get {KEY} -> {found!r}")
            held = held and found == "third"
        return held
    finally:
        for relay in fleet.relays.values():
            await relay.kill()


if __name__ == "__main__":
    run_case(case)
