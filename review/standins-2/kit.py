"""Parts that the cases of this review share: processes, discovery, endpoints, clients and the record."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

BROKEN, HELD, NOT_RUN = 1, 0, 2


class CannotRunError(Exception):
    """The case could not run: a program did not start, or a stand-in was not reached."""


class Record:
    """Writer of a case's ``record.txt``: what was sent, answered and run, with the time."""

    def __init__(self, file: Path) -> None:
        self._file = file.open("w", encoding="utf-8", buffering=1)
        self._started_s = time.monotonic()
        self.hidden = [str(ROOT)]  # folders that are left out

    def __call__(self, text: str) -> None:
        for folder in self.hidden:
            text = text.replace(folder, "")
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text[:400]}\n")


def free_port(host: str = LOOPBACK) -> int:
    """Return a port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def free_udp_port() -> int:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((LOOPBACK, 0))
        return sock.getsockname()[1]


def deploy_line(name: str) -> str:
    with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
        return tomllib.load(file)[name]


def settings(classes: list[dict], **changes: object) -> dict:
    """Return settings like those of a small deployment (four relays would share a fleet of twelve)."""
    return {
        "accounts": [{"name": "t", "fraction": 1.0, "allowancePerS": 400.0}],
        "classes": classes,
        "discovery": "ask",
        "family": "conn",
        "groupSize": 1,
        "me": 0,
        "guarantees": {
            "fallMs": 3000.0,
            "fallMultiple": 4.0,
            "graceToAnswerMs": 16.0,
            "mustAskInMs": 10000.0,
            "startCapacity": 0.12,
            "stopSendingWithinMs": 500.0,
            "warmWithinMs": 24000.0,
        },
        "policyLimits": {
            "sendCap": 3,
            "retryAfter": True,
            "cancel": True,
            "connectTimeoutMs": 400.0,
            "maxRetryAfterMs": 1500.0,
            "mayDuplicate": False,
            "keepaliveMs": 60000.0,
        },
        **changes,
    }


def request_class(name: str = "c", effect: str = "safe", limit_ms: float = 3200.0) -> dict:
    return {
        "name": name,
        "aimMs": 800.0,
        "hardLimitMs": limit_ms,
        "semantics": effect,
        "dedupScope": "all",
        "keyTtlMs": 5000.0,
        "gain": 3.0,
        "lateWorth": 0.0,
        "stream": True,
    }


class Relay:
    """One relay, started from the root by the ``run`` line of the deploy file as a process of its own."""

    def __init__(self, folder: Path, name: str, config: dict, operator: dict | None = None) -> None:
        self.name = name
        self.folder = folder
        self.config_file = folder / f"{name}.json"
        self.operator_file = folder / f"{name}-operator.json" if operator is not None else None
        self.config = config
        self.write_config()
        if self.operator_file is not None:
            self.operator_file.write_text(json.dumps(operator))
        self.process: asyncio.subprocess.Process | None = None
        self.address = (config["listen"].rpartition(":")[0], int(config["listen"].rpartition(":")[2]))

    def write_config(self) -> None:
        replacement = self.config_file.with_suffix(".new")
        replacement.write_text(json.dumps(self.config))
        replacement.replace(self.config_file)

    async def start(self) -> None:
        scratch = self.folder / f"{self.name}-tmp"
        scratch.mkdir(exist_ok=True)
        command = deploy_line("run")
        if self.operator_file is not None:
            command += f" --operator {self.operator_file}"
        environment = {**os.environ, "GW_CONFIG": str(self.config_file), "TMPDIR": str(scratch)}
        for variable in ("GW_NAME", "GW_LISTEN", "GW_DISCOVERY"):
            environment.pop(variable, None)
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL
        )
        log.close()

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until PING is answered PONG, as the front does."""
        deadline_s = time.monotonic() + timeout_s
        while time.monotonic() < deadline_s:
            assert self.process is not None
            if self.process.returncode is not None:
                break
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(2.5):
                    reader, writer = await asyncio.open_connection(*self.address)
                    try:
                        writer.write(b"PING\r\n")
                        if await reader.readline() == b"PONG\r\n":
                            return
                    finally:
                        writer.close()
            await asyncio.sleep(0.1)
        raise CannotRunError(f"relay {self.name} did not become ready: {self.log_tail()}")

    def log_text(self) -> str:
        with contextlib.suppress(OSError):
            return (self.folder / f"{self.name}.log").read_text(errors="replace")
        return ""

    def log_tail(self) -> str:
        return " | ".join(self.log_text().splitlines()[-5:])

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()


class Discovery:
    """Discovery: a watch gets the whole list, then each change, and an empty line every 2 s."""

    def __init__(self, entries: list[dict]) -> None:
        self.version = 41
        self.entries = {entry["id"]: dict(entry) for entry in entries}
        self.address = (LOOPBACK, 0)
        self._watchers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = self._server.sockets[0].getsockname()[:2]

    def full(self) -> dict:
        return {"version": self.version, "full": True, "servers": list(self.entries.values())}

    def change(self, name: str, **fields: object) -> None:
        self.version += 1
        self.entries[name].update(fields)
        self._send({"version": self.version, "full": False, "servers": [self.entries[name]]})
        if self.entries[name]["state"] == "gone":
            del self.entries[name]

    def _send(self, value: dict) -> None:
        for writer in list(self._watchers):
            with contextlib.suppress(OSError):
                writer.write(_chunk(value))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(_chunk(self.full()))
            self._watchers.add(writer)
            while not writer.is_closing():
                await asyncio.sleep(2.0)
                writer.write(b"1\r\n\n\r\n")
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._watchers.discard(writer)
            writer.close()


def _chunk(value: dict) -> bytes:
    line = json.dumps(value).encode() + b"\n"
    return b"%x\r\n%s\r\n" % (len(line), line)


def entry(name: str, address: tuple[str, int], **fields: object) -> dict:
    return {
        "id": name,
        "addr": f"{address[0]}:{address[1]}",
        "zone": "a",
        "kind": "m2",
        "cell": 0,
        "state": "ready",
        "weight": 1.0,
        "started_ms": 0,
        **fields,
    }


def relay_config(name: str, discovery: Discovery, settings_: dict, listen: str | None = None) -> dict:
    return {
        "name": name,
        "listen": listen or f"{LOOPBACK}:{free_port()}",
        "discovery": f"{discovery.address[0]}:{discovery.address[1]}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.full(),
        "settings": settings_,
    }


def run_case(main, record_file: Path, timeout_s: float = 112.0) -> None:
    """Run ``main(folder, record)``, which records in ``record_file``.

    Exit with 1 if it returns the broken rule, 0 if it held, 2 if it could not run.
    """
    record = Record(record_file)
    scratch = Path(tempfile.mkdtemp(prefix="review-"))
    record.hidden.append(str(scratch))
    keep = os.environ.get("KEEP_SCRATCH")
    record(f"trouble={'on' if TROUBLE else 'off'}")

    async def bounded() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(timeout_s):
            return await main(scratch, record)

    try:
        faults = asyncio.run(bounded())
    except (CannotRunError, TimeoutError, OSError, asyncio.CancelledError) as error:
        record(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = NOT_RUN
    else:
        for fault in faults:
            record(f"BROKEN {fault}")
            print(f"broken: {fault}")
        if not faults:
            record("held")
            print("held")
        code = BROKEN if faults else HELD
    finally:
        for log in sorted(scratch.glob("n*.log")):
            for line in log.read_text(errors="replace").splitlines()[-10:]:
                record(f"log of {log.stem}: {line}")
        if keep:
            print(scratch)
        else:
            shutil.rmtree(scratch, ignore_errors=True)
    sys.exit(code)
