"""One process of a scale run: hollow members, a whole relay, or a part of the link layer.

Started with the name of a job file. It answers one JSON line on its standard output for each on its
standard input, and ends when that ends, so it outlives no run, however the run ends.
"""

from __future__ import annotations

import asyncio
import gc
import json
import os
import signal
import socket
import sys
import threading
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from sageturn.core.tasks import cancel_and_wait
from sageturn.lab.scale import counting
from sageturn.lab.scale.lanes import Forwarder, Lane
from sageturn.lab.scale.members import Hollow, RealMember, fill, preload

Job = dict[str, Any]
Answer = Callable[[Job], Awaitable[Any]]


def _read_lines(loop: asyncio.AbstractEventLoop, lines: asyncio.Queue[str]) -> None:
    """In a thread: a pipe that ends is told as an empty line."""
    for line in sys.stdin:
        loop.call_soon_threadsafe(lines.put_nowait, line)
    loop.call_soon_threadsafe(lines.put_nowait, "")


async def _converse(answers: dict[str, Answer]) -> None:
    lines: asyncio.Queue[str] = asyncio.Queue()
    thread = threading.Thread(target=_read_lines, args=(asyncio.get_running_loop(), lines), daemon=True)
    thread.start()
    _say({"ready": os.getpid()})
    while line := await lines.get():
        asked = json.loads(line)
        try:
            _say(await answers[asked["do"]](asked))
        except Exception as error:
            _say({"error": f"{type(error).__name__}: {error}"})
        if asked["do"] == "end":
            return


def _say(what: Any) -> None:
    sys.stdout.write(json.dumps(what) + "\n")
    sys.stdout.flush()


def _memory(_: Job) -> int:
    """Resident octets now."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGESIZE")


# ---------------------------------------------------------------- hollow members


async def hollow(job: Job) -> None:
    gc.collect()
    bare = _memory(job)
    records = preload(job["whole"]["keys"])
    members = {m["name"]: Hollow(m, job["whole"], records) for m in job["members"]}
    gc.freeze()

    def named(asked: Job) -> list[Hollow]:
        return [members[name] for name in asked.get("members") or members]

    async def start(asked: Job) -> Any:
        for member in named(asked):
            if not member.running:
                member.start(asked.get("wipe", False))
        return len(members)

    async def stop(asked: Job) -> Any:
        await asyncio.gather(*(m.stop() for m in named(asked)))
        return True

    async def put(asked: Job) -> Any:
        return _put(members[asked["member"]], asked)

    async def seen(asked: Job) -> Any:
        return {m.name: [m.witness.held, m.witness.again] for m in members.values()}

    async def told(asked: Job) -> Any:
        return {"members": {m.name: m.told() for m in members.values()}, "bare": bare, "memory": _memory({})}

    async def end(asked: Job) -> Any:
        await stop({})
        return True

    await _converse({"start": start, "stop": stop, "put": put, "seen": seen, "told": told, "end": end})


def _put(member: Any, asked: Job) -> float:
    """The moment before the change is made, on the machine's monotonic clock."""
    now_s = time.monotonic()
    member.store.put(asked["key"], asked["value"])
    return now_s


# ---------------------------------------------------------------- whole relays


async def real(job: Job) -> None:
    from sageturn.config.loader import load
    from sageturn.relay import Relay

    bare = _memory(job)
    member = job["members"][0]
    settled = load({"GW_CONFIG": job["config"]}, job["operator"])
    relay = Relay(settled)
    fill(relay.store, preload(job["whole"]["keys"]))
    seat = RealMember(relay, member, job["whole"])
    gc.freeze()
    running: asyncio.Task[None] | None = None

    async def start(asked: Job) -> Any:
        nonlocal running
        if running is None:
            with counting.owned(member["row"], "client"):
                running = asyncio.ensure_future(relay.run())
        return 1

    async def put(asked: Job) -> Any:
        return _put(seat, asked)

    async def seen(asked: Job) -> Any:
        return {seat.name: [seat.witness.held, seat.witness.again]}

    async def told(asked: Job) -> Any:
        return {"members": {seat.name: seat.told()}, "bare": bare, "memory": _memory({})}

    async def end(asked: Job) -> Any:
        if running is not None:
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.wait((running,), timeout=1.0)
            await cancel_and_wait(running)
        return True

    await _converse({"start": start, "put": put, "seen": seen, "told": told, "end": end})


# ---------------------------------------------------------------- the link layer


async def lanes(job: Job) -> None:
    by_name = {d["name"]: Lane(d["name"], d["delay_s"], d["loss"]) for d in job["lanes"]}
    tasks = []
    for number, entry in enumerate(job["listeners"]):
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", entry["port"]))
        forwarder = Forwarder(sock, ("127.0.0.1", entry["to"]), by_name[entry["lane"]], job["seed"] + number)
        tasks.append(asyncio.ensure_future(forwarder.run()))

    async def change(asked: Job) -> Any:
        """Cuts, heals or loses on the lanes whose names begin so."""
        for lane in by_name.values():
            if lane.name.startswith(asked["lanes"]):
                lane.set_cut(asked.get("cut", lane.cut))
                lane.loss = asked.get("loss", lane.loss)
        return True

    async def told(asked: Job) -> Any:
        used = {n: [x.octets, x.chunks, x.resent] for n, x in by_name.items()}
        return {"lanes": used, "memory": _memory({})}

    async def end(asked: Job) -> Any:
        for task in tasks:
            await cancel_and_wait(task)
        return True

    await _converse({"change": change, "told": told, "end": end})


ROLES = {"hollow": hollow, "real": real, "lanes": lanes}


def main() -> int:
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT, signal.SIGTERM, signal.SIGHUP})
    job = json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))
    if job["role"] != "lanes":
        routes = {("127.0.0.1", int(port)): ("127.0.0.1", by) for port, by in job["routes"].items()}
        counting.install(Path(job["counts"]), routes)
    loop = counting.RoutingLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(ROLES[job["role"]](job))
    finally:
        loop.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
