"""Main module of a scale run's child process: emulated members, a whole relay, or one zone's link emulation.

The only argument is the path of a job file. The process answers each line of JSON on its standard input with
one on its standard output (``child_protocol``). It exits at the end of its input, so it never outlives the
run, even if the run is killed.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
import sys
import threading
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Protocol

import msgspec

from sageturn.lab.scale import counting
from sageturn.lab.scale.child_protocol import (
    Command,
    CommandFailed,
    ConfigureLinks,
    GetArrivals,
    GetStatus,
    MemberArrivals,
    ProcessStatus,
    Put,
    Ready,
    Start,
    Stop,
)
from sageturn.lab.scale.errors import UnsupportedCommandError, describe_failure
from sageturn.lab.scale.job_files import EmulatedJob, Job, LinkJob, RelayJob
from sageturn.lab.scale.link_emulation import EmulatedLink, Forwarder
from sageturn.lab.scale.members import EmulatedMember, Member, RealMember, load_records, preload

LOOPBACK = "127.0.0.1"

Handler = Callable[[Command], Awaitable[object]]


# ---------------------------------------------------------------- command pipe


def _read_commands(loop: asyncio.AbstractEventLoop, lines: asyncio.Queue[str]) -> None:
    """Queue the lines of standard input from a thread; an empty line means the end of the input."""
    for line in sys.stdin:
        loop.call_soon_threadsafe(lines.put_nowait, line)
    loop.call_soon_threadsafe(lines.put_nowait, "")


async def _serve_commands(handler: Handler) -> None:
    """Execute and answer commands until the input ends."""
    lines: asyncio.Queue[str] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    threading.Thread(target=_read_commands, args=(loop, lines), daemon=True).start()
    _answer(Ready(os.getpid()))
    decoder: msgspec.json.Decoder[Command] = msgspec.json.Decoder(Command)
    while line := await lines.get():
        try:
            _answer(await handler(decoder.decode(line)))
        except Exception as error:  # the run reports the failure and ends
            _answer(CommandFailed(describe_failure(error)))


def _answer(value: object) -> None:
    sys.stdout.write(msgspec.json.encode(value).decode() + "\n")
    sys.stdout.flush()


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGESIZE")


class _ChildRole(Protocol):
    """Interface of a child process's role."""

    async def handle(self, command: Command) -> object:
        """Execute a command and return its answer. Raise UnsupportedCommandError if the role lacks it."""


# ---------------------------------------------------------------- members


class _MemberProcess:
    """Commands that processes of emulated members and of whole relays have in common."""

    def __init__(self, initial_memory: int, members: Sequence[Member]) -> None:
        self._initial_memory = initial_memory
        self._members = {member.name: member for member in members}

    async def handle(self, command: Command) -> object:
        """Execute a command and return its answer. Raise UnsupportedCommandError if the role lacks it."""
        match command:
            case Put():
                return self._put(command)
            case GetArrivals():
                return self._arrivals()
            case GetStatus():
                return self._status()
            case _:
                raise UnsupportedCommandError(type(command).__name__)

    def _put(self, command: Put) -> float:
        now_s = time.monotonic()
        self._members[command.member].store.put(command.key, command.value)
        return now_s

    def _arrivals(self) -> dict[str, MemberArrivals]:
        return {
            name: MemberArrivals(member.arrivals.first_s, member.arrivals.present_copy_s)
            for name, member in self._members.items()
        }

    def _status(self) -> ProcessStatus:
        members = {name: member.status() for name, member in self._members.items()}
        return ProcessStatus(members, self._initial_memory, _resident_bytes())


class EmulatedMemberProcess(_MemberProcess):
    """Role of a process that runs emulated members."""

    def __init__(self, job: EmulatedJob) -> None:
        gc.collect()
        initial_memory = _resident_bytes()
        records = preload(job.common.key_count)
        self._emulated_members = {
            member.name: EmulatedMember(member, job.common, records) for member in job.members
        }
        gc.freeze()
        super().__init__(initial_memory, list(self._emulated_members.values()))

    async def handle(self, command: Command) -> object:
        """Execute a command and return its answer. Raise UnsupportedCommandError if the role lacks it."""
        match command:
            case Start():
                return self._start(command)
            case Stop():
                return await self._stop(command)
            case _:
                return await super().handle(command)

    def _start(self, command: Start) -> int:
        for name in command.members or self._emulated_members:
            member = self._emulated_members[name]
            if not member.running:
                member.start(command.wipe)
        return len(self._emulated_members)

    async def _stop(self, command: Stop) -> bool:
        await asyncio.gather(*(self._emulated_members[name].stop() for name in command.members))
        return True


class RelayProcess(_MemberProcess):
    """Role of a process that runs one whole relay, whose own replication is replaced by the measured one."""

    def __init__(self, job: RelayJob) -> None:
        # Other roles do not need these modules, so their processes do not load them.
        from sageturn.config.loader import load
        from sageturn.relay import Relay

        initial_memory = _resident_bytes()
        (member_job,) = job.members
        self._row = member_job.row
        self._relay = Relay(load({"GW_CONFIG": job.config_file}, job.operator_file))
        load_records(self._relay.store, preload(job.common.key_count))
        member = RealMember(self._relay, member_job, job.common)
        gc.freeze()
        self._running: asyncio.Task[None] | None = None
        super().__init__(initial_memory, [member])

    async def handle(self, command: Command) -> object:
        """Execute a command and return its answer. Raise UnsupportedCommandError if the role lacks it."""
        match command:
            case Start():
                return self._start()
            case _:
                return await super().handle(command)

    def _start(self) -> int:
        if self._running is None:
            with counting.socket_owner(self._row, "client"):
                self._running = asyncio.ensure_future(self._relay.run())
        return 1


# ---------------------------------------------------------------- link emulation


class LinkProcess:
    """Role of a process that emulates the links to one zone's members."""

    def __init__(self, job: LinkJob) -> None:
        self._links = {link.name: EmulatedLink(link.name, link.delay_s, link.loss) for link in job.links}
        self._tasks = []
        for number, listener in enumerate(job.listeners):
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((LOOPBACK, listener.port))
            target = (LOOPBACK, listener.member_port)
            forwarder = Forwarder(sock, target, self._links[listener.link], job.seed + number)
            self._tasks.append(asyncio.ensure_future(forwarder.run()))

    async def handle(self, command: Command) -> object:
        """Execute a command and return its answer. Raise UnsupportedCommandError if the role lacks it."""
        match command:
            case ConfigureLinks():
                return self._configure(command)
            case _:
                raise UnsupportedCommandError(type(command).__name__)

    def _configure(self, command: ConfigureLinks) -> bool:
        for link in self._links.values():
            if link.name.startswith(command.name_prefix):
                link.set_cut(link.is_cut if command.cut is msgspec.UNSET else command.cut)
                link.loss = link.loss if command.loss is msgspec.UNSET else command.loss
        return True


def _make_role(job: Job) -> _ChildRole:
    match job:
        case EmulatedJob():
            return EmulatedMemberProcess(job)
        case RelayJob():
            return RelayProcess(job)
        case LinkJob():
            return LinkProcess(job)


async def run_job(job: Job) -> None:
    """Serve the run's commands in the job's role until the input ends."""
    await _serve_commands(_make_role(job).handle)


def main() -> int:
    """Run the job file that the command line names, with signals blocked, since the run handles them."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGINT, signal.SIGTERM, signal.SIGHUP})
    job: Job = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Job)
    if not isinstance(job, LinkJob):
        routes = {(LOOPBACK, port): (LOOPBACK, link_port) for port, link_port in job.routes.items()}
        counting.install(Path(job.counts_file), routes)
    loop = counting.RoutingLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(run_job(job))
    finally:
        loop.close()
    return 0


if __name__ == "__main__":
    sys.exit(main())
