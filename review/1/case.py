"""A write that one copy has acknowledged, after this copy was dead for a while."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

from harness import LOOPBACK, ROOT, TROUBLE, CannotRun, Record, RelayProcess, free_ports, run_case
from standins import Discovery, LiveHost, list_entry, platform_config

NAMES = ("a", "b", "c")
WRITES = {"config/accounts/lan": {"class": "departures", "tenant": "song-xanh", "note": 1}, "config/notice": "Tet desk"}


class Fleet:
    def __init__(self, folder: Path, record: Record) -> None:
        ports = free_ports(8)
        self.record = record
        self.secret_file = folder / "replica.secret"
        self.secret_file.write_text("a secret that all copies share\n")
        self.stores = {name: f"{LOOPBACK}:{port}" for name, port in zip(NAMES, ports[2:5], strict=True)}
        servers = [list_entry("s-1", ports[1])]
        self.discovery, self.host, self.ports = Discovery(servers), LiveHost(), ports
        self.relays = {}
        for number, name in enumerate(NAMES):
            config = platform_config(name, number, ports[5 + number], ports[0], servers, 3200.0)
            store = {
                "path": "store.log",
                "listen": self.stores[name],
                "peers": [address for other, address in self.stores.items() if other != name],
                "secret_file": str(self.secret_file),
            }
            self.relays[name] = RelayProcess(folder, record, config, {"store": store})

    async def start_environment(self) -> None:
        await self.discovery.start(self.ports[0])
        await self.host.start(self.ports[1])

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

    async def put(self, name: str, key: str, value: object) -> None:
        code, _ = await self.command(name, "put", key, json.dumps(value))
        self.record(f"store {name}: put {key} {json.dumps(value)} -> {'acknowledged' if code == 0 else 'failed'}")
        if code:
            raise CannotRun("the write was not acknowledged")

    async def get(self, name: str, *keys: str) -> dict:
        for _ in range(3):
            code, output = await self.command(name, "get", *keys)
            if code == 0:
                return json.loads(output)
        raise CannotRun(f"the store of {name} does not answer")

    async def wait_linked(self, names: tuple[str, ...], links: int, in_step: bool, timeout_s: float) -> None:
        """Wait until the relays report (state/NODE/relay) that they have links, and whether they are in step."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            states = []
            for name in names:
                state = (await self.get(name, f"state/{name}/relay"))[f"state/{name}/relay"]
                states.append((state or {}).get("store") or {})
            if all(each.get("links", 0) >= links and (each.get("in_step") or not in_step) for each in states):
                self.record(f"stores of {', '.join(names)}: linked, in step: {[s.get('in_step') for s in states]}")
                return
            await asyncio.sleep(1.0)
        raise CannotRun(f"the stores of {names} did not link: {states}")


async def case(folder: Path, record: Record) -> bool:
    fleet = Fleet(folder, record)
    await fleet.start_environment()
    try:
        # The first relay of a new fleet; an operator writes to it.
        await fleet.start("a")
        for key, value in WRITES.items():
            await fleet.put("a", key, value)
        if TROUBLE:
            await fleet.relays["a"].kill()  # a copy dies; its disk stays
        await fleet.start("b", "c")
        others = ("b", "c") if TROUBLE else NAMES
        await fleet.wait_linked(others, 1, in_step=True, timeout_s=80.0)
        if TROUBLE:
            await fleet.start("a")
            await fleet.wait_linked(("a",), 1, in_step=True, timeout_s=15.0)
        await asyncio.sleep(5.0)
        held = True
        for name in NAMES:
            found = await fleet.get(name, *WRITES)
            for key, value in WRITES.items():
                record(f"store {name}: get {key} -> {json.dumps(found[key])}")
                held = held and found[key] == value
        for line in fleet.relays["a"].log_text.splitlines():
            if "starts over" in line or "must start over" in line:
                record(f"log of a: {line}")
        return held
    finally:
        for relay in fleet.relays.values():
            await relay.kill()


if __name__ == "__main__":
    run_case(case)
