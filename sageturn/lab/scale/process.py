"""One child process of a scale run: emulated members, a whole relay, or a part of the link emulation.

Started with the name of a job file. It answers one JSON line on its standard output for each on its
standard input (``child_protocol``), and ends when that ends, so it outlives no run, however the run ends.
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
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any, Protocol

import msgspec

from sageturn.core.tasks import cancel_and_wait
from sageturn.lab.scale import counting
from sageturn.lab.scale.child_protocol import Command, ProcessStatus, Role
from sageturn.lab.scale.errors import describe_failure
from sageturn.lab.scale.link_emulation import EmulatedLink, Forwarder
from sageturn.lab.scale.members import EmulatedMember, Member, RealMember, load_records, preload

Job = dict[str, Any]
Request = dict[str, Any]
Handler = Callable[[Request], Awaitable[Any]]

LOOPBACK = "127.0.0.1"
RELAY_STOP_TIMEOUT_S = 1.0


# ---------------------------------------------------------------- the pipe to the run


def _read_requests(loop: asyncio.AbstractEventLoop, lines: asyncio.Queue[str]) -> None:
    """Runs in a thread; the end of the input is an empty line."""
    for line in sys.stdin:
        loop.call_soon_threadsafe(lines.put_nowait, line)
    loop.call_soon_threadsafe(lines.put_nowait, "")


async def _serve_requests(handlers: dict[Command, Handler]) -> None:
    """Answers requests until the input ends, or the command END was answered."""
    lines: asyncio.Queue[str] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    threading.Thread(target=_read_requests, args=(loop, lines), daemon=True).start()
    _answer({"ready": os.getpid()})
    while line := await lines.get():
        request = json.loads(line)
        try:
            _answer(await handlers[request["do"]](request))
        except Exception as error:  # the run reports it, and ends
            _answer({"error": describe_failure(error)})
        if request["do"] == Command.END:
            return


def _answer(value: Any) -> None:
    sys.stdout.write(json.dumps(value) + "\n")
    sys.stdout.flush()


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGESIZE")


class _ChildRole(Protocol):
    """A child process's part in the run, served until its input ends."""

    async def serve(self) -> None: ...


# ---------------------------------------------------------------- members


class _MemberProcess:
    """The commands that emulated members and whole relays answer alike."""

    def __init__(self, initial_memory: int, members: Sequence[Member]) -> None:
        self._initial_memory = initial_memory
        self._members = {member.name: member for member in members}

    def handlers(self) -> dict[Command, Handler]:
        """Returns the handlers by command; a role adds its own."""
        return {Command.PUT: self._put, Command.ARRIVALS: self._arrivals, Command.STATUS: self._status}

    async def _put(self, request: Request) -> float:
        """Puts a change. Returns the moment before it is made, on the machine's monotonic clock."""
        now_s = time.monotonic()
        self._members[request["member"]].store.put(request["key"], request["value"])
        return now_s

    async def _arrivals(self, _: Request) -> dict[str, Any]:
        return {
            name: [member.arrivals.first_s, member.arrivals.present_copy_s]
            for name, member in self._members.items()
        }

    async def _status(self, _: Request) -> Any:
        members = {name: member.status() for name, member in self._members.items()}
        return msgspec.to_builtins(ProcessStatus(members, self._initial_memory, _resident_bytes()))


class EmulatedMemberProcess(_MemberProcess):
    """Runs many emulated members."""

    def __init__(self, job: Job) -> None:
        gc.collect()
        initial_memory = _resident_bytes()
        records = preload(job["whole"]["keys"])
        self._emulated_members = {
            member["name"]: EmulatedMember(member, job["whole"], records) for member in job["members"]
        }
        gc.freeze()
        super().__init__(initial_memory, list(self._emulated_members.values()))

    async def serve(self) -> None:
        """Answer the run's requests until its pipe is closed."""
        own = {Command.START: self._start, Command.STOP: self._stop, Command.END: self._end}
        await _serve_requests({**self.handlers(), **own})

    def _chosen(self, request: Request) -> list[EmulatedMember]:
        return [self._emulated_members[name] for name in request.get("members") or self._emulated_members]

    async def _start(self, request: Request) -> int:
        for member in self._chosen(request):
            if not member.running:
                member.start(request.get("wipe", False))
        return len(self._emulated_members)

    async def _stop(self, request: Request) -> bool:
        await asyncio.gather(*(member.stop() for member in self._chosen(request)))
        return True

    async def _end(self, _: Request) -> bool:
        return await self._stop({})


class RelayProcess(_MemberProcess):
    """Runs one whole relay, whose own replication is replaced by the measured one."""

    def __init__(self, job: Job) -> None:
        # Imported here: no other role needs them.
        from sageturn.config.loader import load
        from sageturn.relay import Relay

        initial_memory = _resident_bytes()
        self._row = job["members"][0]["row"]
        self._relay = Relay(load({"GW_CONFIG": job["config"]}, job["operator"]))
        load_records(self._relay.store, preload(job["whole"]["keys"]))
        member = RealMember(self._relay, job["members"][0], job["whole"])
        gc.freeze()
        self._running: asyncio.Task[None] | None = None
        super().__init__(initial_memory, [member])

    async def serve(self) -> None:
        """Answer the run's requests until its pipe is closed."""
        await _serve_requests({**self.handlers(), Command.START: self._start, Command.END: self._end})

    async def _start(self, _: Request) -> int:
        if self._running is None:
            with counting.owned(self._row, "client"):
                self._running = asyncio.ensure_future(self._relay.run())
        return 1

    async def _end(self, _: Request) -> bool:
        if self._running is not None:
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.wait((self._running,), timeout=RELAY_STOP_TIMEOUT_S)
            await cancel_and_wait(self._running)
        return True


# ---------------------------------------------------------------- link emulation


class LinkProcess:
    """The links that lead to one zone's members."""

    def __init__(self, job: Job) -> None:
        self._links = {
            link["name"]: EmulatedLink(link["name"], link["delay_s"], link["loss"]) for link in job["lanes"]
        }
        self._tasks = []
        for number, listener in enumerate(job["listeners"]):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((LOOPBACK, listener["port"]))
            target = (LOOPBACK, listener["to"])
            forwarder = Forwarder(sock, target, self._links[listener["lane"]], job["seed"] + number)
            self._tasks.append(asyncio.ensure_future(forwarder.run()))

    async def serve(self) -> None:
        """Answer the run's requests until its pipe is closed."""
        await _serve_requests(
            {Command.CONFIGURE_LINKS: self._configure, Command.STATUS: self._status, Command.END: self._end}
        )

    async def _configure(self, request: Request) -> bool:
        """Cuts, heals or sets the loss of the links whose names begin with the request's ``lanes``."""
        for link in self._links.values():
            if link.name.startswith(request["lanes"]):
                link.set_cut(request.get("cut", link.is_cut))
                link.loss = request.get("loss", link.loss)
        return True

    async def _status(self, _: Request) -> dict[str, Any]:
        used = {
            name: [link.bytes_forwarded, link.chunk_count, link.retransmission_count]
            for name, link in self._links.items()
        }
        return {"lanes": used, "memory": _resident_bytes()}

    async def _end(self, _: Request) -> bool:
        for task in self._tasks:
            await cancel_and_wait(task)
        return True


PROCESSES: dict[Role, Callable[[Job], _ChildRole]] = {
    Role.EMULATED: EmulatedMemberProcess,
    Role.REAL: RelayProcess,
    Role.LINKS: LinkProcess,
}


async def run_job(job: Job) -> None:
    """Serve the run's requests in the job's role until the input ends."""
    await PROCESSES[Role(job["role"])](job).serve()


def main() -> int:
    """Run the job file that the command line names. Signals are the run's matter, and blocked here."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT, signal.SIGTERM, signal.SIGHUP})
    job = json.loads(Path(sys.argv[1]).read_text(encoding="utf-8"))
    if job["role"] != Role.LINKS:
        routes = {(LOOPBACK, int(port)): (LOOPBACK, link_port) for port, link_port in job["routes"].items()}
        counting.install(Path(job["counts"]), routes)
    loop = counting.RoutingLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(run_job(job))
    finally:
        loop.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
