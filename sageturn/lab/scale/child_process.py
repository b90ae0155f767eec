"""Handle of the run on one of its child processes: lifetime, command pipe and use of resources."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from contextlib import suppress
from pathlib import Path
from typing import TypeVar

import msgspec

from sageturn.lab.scale.child_protocol import Command, CommandFailed, Ready
from sageturn.lab.scale.errors import ChildFailedError
from sageturn.lab.scale.job_files import Job, LinkJob, Role
from sageturn.lab.scale.units import NANOSECONDS_PER_S

MAX_ANSWER_BYTES = 1 << 26
LOG_TAIL_CHARS = 600
MEMBER_EXIT_TIMEOUT_S = 2.0
LINK_EXIT_TIMEOUT_S = 0.2

Answer = TypeVar("Answer")


class ChildProcess:
    """Handle of a child that runs ``sageturn.lab.scale.process`` and exits when its standard input is closed.

    The constructor writes ``job`` to a job file in ``folder``; ``start`` starts the process.
    """

    def __init__(self, job: Job, folder: Path, number: int) -> None:
        self.job = job
        self.role = job.role
        self.member_names = [] if isinstance(job, LinkJob) else [member.name for member in job.members]
        self._job_file = folder / f"job{number}.json"
        self._job_file.write_bytes(msgspec.json.encode(job))
        self._log_file = folder / f"log{number}"
        self._child: asyncio.subprocess.Process | None = None
        self._pipe_lock = asyncio.Lock()

    @property
    def is_started(self) -> bool:
        """True if the child was started; it may have exited since."""
        return self._child is not None

    @property
    def pid(self) -> int:
        """The child's process id. The child must have been started."""
        return self._running_child().pid

    # ------------------------------------------------------------ lifetime

    async def start(self) -> None:
        """Start the child without this process's GW_ environment variables, which would configure a relay."""
        with self._log_file.open("wb") as log_file:
            env = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
            self._child = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "sageturn.lab.scale.process",
                str(self._job_file),
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log_file,
                env=env,
                limit=MAX_ANSWER_BYTES,
            )

    async def wait_until_ready(self) -> None:
        """Wait for the child's ready line. Raise ChildFailedError if the child exits before it."""
        await self._read_answer(Ready)

    async def stop(self) -> None:
        """Close the child's input, and kill the child if it has not exited within its role's timeout."""
        if self._child is None:
            return
        if self._child.stdin is not None:
            self._child.stdin.close()
        timeout_s = LINK_EXIT_TIMEOUT_S if self.role is Role.LINKS else MEMBER_EXIT_TIMEOUT_S
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self._child.wait()
        if self._child.returncode is None:
            self._child.kill()
            await self._child.wait()

    # ------------------------------------------------------------ commands

    async def request(self, command: Command, answer_type: type[Answer]) -> Answer:
        """Send a command and return its answer.

        Raises:
            ChildFailedError: The child exited or the command failed.
        """
        async with self._pipe_lock:
            stdin = self._running_child().stdin
            assert stdin is not None
            stdin.write(msgspec.json.encode(command) + b"\n")
            await stdin.drain()
            return await self._read_answer(answer_type)

    async def _read_answer(self, answer_type: type[Answer]) -> Answer:
        stdout = self._running_child().stdout
        assert stdout is not None
        line = await stdout.readline()
        if not line:
            tail = self._log_file.read_text(errors="replace")[-LOG_TAIL_CHARS:]
            raise ChildFailedError(f"{self.role} process exited before it answered; end of its log: {tail}")
        failure = _decode_failure(line)
        if failure is not None:
            raise ChildFailedError(f"{self.role} process failed a command: {failure.error}")
        return msgspec.json.decode(line, type=answer_type)

    def _running_child(self) -> asyncio.subprocess.Process:
        assert self._child is not None, "the process has not been started"
        return self._child

    # ------------------------------------------------------------ resources; 0 if the process has exited

    def cpu_s(self) -> float:
        """Return the main thread's processor time since its start; the other thread only reads a pipe."""
        return self._read_schedstat(0)

    def run_queue_s(self) -> float:
        """Return the seconds since the start in which the main thread was runnable but waited for a core."""
        return self._read_schedstat(1)

    def _read_schedstat(self, field: int) -> float:
        with suppress(OSError, IndexError):
            fields = Path(f"/proc/{self.pid}/schedstat").read_text().split()
            return int(fields[field]) / NANOSECONDS_PER_S
        return 0.0

    def resident_bytes(self) -> int:
        """Return the resident memory in bytes."""
        with suppress(OSError, IndexError):
            fields = Path(f"/proc/{self.pid}/statm").read_text().split()
            return int(fields[1]) * os.sysconf("SC_PAGESIZE")
        return 0

    def disk_bytes_written(self) -> int:
        """Return the bytes that the child has caused to be written to disk since its start."""
        with suppress(OSError):
            for line in Path(f"/proc/{self.pid}/io").read_text().splitlines():
                if line.startswith("write_bytes"):
                    return int(line.split()[1])
        return 0

    def descriptor_count(self) -> int:
        """Return the number of open file descriptors."""
        with suppress(OSError):
            return len(list(Path(f"/proc/{self.pid}/fd").iterdir()))
        return 0


def _decode_failure(line: bytes) -> CommandFailed | None:
    """Return the failure that an answer reports; None for the answer to a command that was executed."""
    try:
        return msgspec.json.decode(line, type=CommandFailed)
    except msgspec.ValidationError:
        return None
