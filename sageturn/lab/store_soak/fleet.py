"""The members of a store soak: their processes, and the faults that are applied to them."""

from __future__ import annotations

import asyncio
import json
import secrets
import signal
import socket
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

from sageturn.store.replica_state import FILE_SUFFIX
from sageturn.store.replication.membership import Address

LOOPBACK = "127.0.0.1"
MIN_PORT = 10_000
PORT_COUNT = 20_000
MODULE = "sageturn.lab.store_soak.member_process"


@dataclass(slots=True)
class MemberProcess:
    """One member, and its process while it runs.

    Attributes:
        has_disk: Whether its store has a log; otherwise a kill loses what it holds.
        started_at: Monotonic seconds of its last start.
        is_suspended: Whether SIGSTOP has isolated it.
    """

    name: str
    port: int
    has_disk: bool
    folder: Path
    process: asyncio.subprocess.Process | None = None
    started_at: float = 0.0
    is_suspended: bool = False
    starts: int = field(default=0)

    @property
    def address(self) -> Address:
        """The address at which it accepts links and clients."""
        return LOOPBACK, self.port

    @property
    def is_running(self) -> bool:
        """True if its process exists and is not suspended."""
        return self.process is not None and not self.is_suspended

    @property
    def log_file(self) -> Path:
        """The store's log, whether or not it has one."""
        return self.folder / f"{self.name}.log"


class SoakFleet:
    """The members of one run. Kills and suspensions leave the other members alone."""

    def __init__(self, folder: Path, disks: Sequence[bool]) -> None:
        """Draw the ports; ``disks`` says for each member whether it has a disk."""
        self._secret_file = folder / "secret"
        self._secret_file.write_text("a secret that all members share\n", encoding="utf-8")
        self.members = [
            MemberProcess(f"m{number}", port, has_disk, folder)
            for number, (port, has_disk) in enumerate(zip(_free_ports(len(disks)), disks, strict=True))
        ]

    @property
    def secret_text(self) -> str:
        """The text of the shared secret."""
        return self._secret_file.read_text(encoding="utf-8")

    def running(self) -> list[MemberProcess]:
        """Return the members that run and are not suspended."""
        return [member for member in self.members if member.is_running]

    @staticmethod
    def mark_in_sync(member: MemberProcess) -> None:
        """Write a state file by which a member that has not run yet counts as recently in sync."""
        state_file = member.log_file.with_name(member.log_file.name + FILE_SUFFIX)
        state_file.write_text(json.dumps({"in_step": time.time(), "floor": 0}), encoding="utf-8")

    async def start(self, member: MemberProcess) -> None:
        """Start a member's process; all other members are its seeds."""
        seeds = ",".join(str(other.port) for other in self.members if other is not member)
        arguments = [member.name, str(member.port), seeds, str(self._secret_file)]
        if member.has_disk:
            arguments.append(str(member.log_file))
        member.starts += 1
        output = member.folder / f"{member.name}.{member.starts}.txt"
        with output.open("wb") as file:
            member.process = await asyncio.create_subprocess_exec(
                sys.executable, "-B", "-m", MODULE, *arguments, stdout=file, stderr=file
            )
        member.started_at = time.monotonic()

    @staticmethod
    async def kill(member: MemberProcess) -> None:
        """Kill a member's process."""
        process = member.process
        if process is not None:
            process.kill()
            await process.wait()
        member.process = None
        member.is_suspended = False

    @staticmethod
    def suspend(member: MemberProcess) -> None:
        """Isolate a running member: its links fall silent, and it learns nothing."""
        assert member.process is not None
        member.process.send_signal(signal.SIGSTOP)
        member.is_suspended = True

    @staticmethod
    def resume(member: MemberProcess) -> None:
        """End a member's isolation, if it is isolated."""
        if member.process is not None and member.is_suspended:
            member.process.send_signal(signal.SIGCONT)
            member.is_suspended = False

    async def stop(self) -> None:
        """Kill all processes."""
        for member in self.members:
            await self.kill(member)


def _free_ports(count: int) -> list[int]:
    """Return free ports below the range from which outgoing connections usually take theirs."""
    ports: list[int] = []
    while len(ports) < count:
        port = MIN_PORT + secrets.randbelow(PORT_COUNT)
        if port not in ports and _is_free(port):
            ports.append(port)
    return ports


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
    return True
