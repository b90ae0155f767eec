"""One run of the store soak: commands write at random members, while members are killed and suspended.

Writes follow each other, so that the last acknowledged one of a key has to be on all members at the end. A
member in memory is killed only while another one holds all that was acknowledged: until a write is forwarded,
its acknowledgement promises one replica (``docs/operators/store.md``).
"""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum, auto
from functools import partial
from pathlib import Path
from random import Random

from sageturn.lab.store_soak.expectations import Expectations, Value
from sageturn.lab.store_soak.fleet import MemberProcess, SoakFleet
from sageturn.store.channel import read_secret
from sageturn.store.replication.ephemeral_client import open_ephemeral_client

KEYS = tuple(f"config/accounts/{number}" for number in range(6)) + tuple(
    f"overrides/{number}/1" for number in range(4)
)
DELETION_PROBABILITY = 0.2
CLIENT_TIMEOUT_S = 9.0  # longer than a member looks for others before it serves clients
CONVERGENCE_TIMEOUT_S = 60.0
ALL_IN_MEMORY_PROBABILITY = 0.3
FIRST_DISKS = 2  # members that have a disk for certain, unless all are in memory
DISK_PROBABILITY = 0.4
MAX_DEATH_S = 5.0
MIN_SUSPENSION_S = 0.2
MAX_SUSPENSION_S = 4.0
POLL_INTERVAL_S = 0.5
FILL_RECORDS = 300  # records that a restarted member has to fetch before the written keys


class Step(Enum):
    """What the run does next."""

    KILL = auto()
    SUSPEND = auto()
    WRITE = auto()
    WRITE_AT_LAST_STARTED = auto()


STEP_WEIGHTS = {Step.KILL: 15, Step.SUSPEND: 10, Step.WRITE: 50, Step.WRITE_AT_LAST_STARTED: 25}


@dataclass(slots=True)
class SoakReport:
    """Counts of one run, and what broke a promise."""

    seed: int
    acknowledged: int = 0
    unknown: int = 0
    rejected: int = 0  # writes that were not begun, as no member served the client in time
    kills: int = 0
    suspensions: int = 0
    violations: list[str] = field(default_factory=list)

    def __str__(self) -> str:
        counts = (
            f"seed={self.seed} acknowledged={self.acknowledged} unknown={self.unknown}"
            f" rejected={self.rejected} kills={self.kills} suspensions={self.suspensions}"
            f" violations={len(self.violations)}"
        )
        return "\n  ".join([counts, *self.violations])


class StoreSoak:
    """Driver of one run."""

    def __init__(self, seed: int, folder: Path, disks: Sequence[bool]) -> None:
        """``seed`` decides on members, writes and faults; ``disks`` says which members have a disk."""
        self.report = SoakReport(seed)
        self._rng = Random(seed)
        self._fleet = SoakFleet(folder, disks)
        self._expectations = Expectations()
        self._secret = read_secret(self._fleet.secret_text)
        self._next_value = 0
        self._pending: set[asyncio.Task[None]] = set()

    async def run(self, seconds: float) -> SoakReport:
        """Play faults and writes for a time, let the members come together, and check what they hold."""
        try:
            await self._start_fleet()
            until = time.monotonic() + seconds
            while time.monotonic() < until:
                await self._play_step()
            await self._check_end()
        finally:
            for task in self._pending:
                task.cancel()
            await self._fleet.stop()
        return self.report

    # ------------------------------------------------------------ writes

    async def _start_fleet(self) -> None:
        """Start all members. A first member with a disk has taken writes alone, and died before that.

        The others never met it; those of them with a disk count as in sync.
        """
        first, *others = self._fleet.members
        if first.has_disk:
            await self._fleet.start(first)
            for key in KEYS[:3]:
                await self._write(first, key)
            await self._fleet.kill(first)
        for member in others:
            if member.has_disk:
                self._fleet.mark_in_sync(member)
            await self._fleet.start(member)
        await self._load(others[0])
        self._restart_later(first, self._rng.uniform(0.0, MAX_DEATH_S))

    async def _load(self, member: MemberProcess) -> None:
        """Write the records that keep a restarted member busy."""
        async with open_ephemeral_client(member.address, self._secret) as store:
            for number in range(FILL_RECORDS):
                store.put(f"config/fill/{number}", {"salt": self._rng.randbytes(96).hex()})

    async def _write(self, member: MemberProcess, key: str) -> None:
        self._next_value += 1
        value: Value = None if self._rng.random() < DELETION_PROBABILITY else self._next_value
        is_begun = False
        try:
            async with (
                asyncio.timeout(CLIENT_TIMEOUT_S),
                open_ephemeral_client(member.address, self._secret) as store,
            ):
                store.put(key, value)
                is_begun = True
        except TimeoutError:
            if is_begun:
                self.report.unknown += 1
                self._expectations.on_unknown(key, value)
            else:
                self.report.rejected += 1
        else:
            self.report.acknowledged += 1
            self._expectations.on_acknowledged(key, value)

    async def _read(self, member: MemberProcess) -> dict[str, Value]:
        async with open_ephemeral_client(member.address, self._secret) as store:
            return {key: store.get(key) for key in KEYS}

    # ------------------------------------------------------------ steps

    async def _play_step(self) -> None:
        running = self._fleet.running()
        if not running:
            await asyncio.sleep(0.1)
            return
        member = self._rng.choice(running)
        (step,) = self._rng.choices(tuple(STEP_WEIGHTS), tuple(STEP_WEIGHTS.values()))
        match step:
            case Step.KILL:
                await self._kill(member)
            case Step.SUSPEND:
                self._suspend(member)
            case Step.WRITE:
                await self._write(member, self._rng.choice(KEYS))
            case Step.WRITE_AT_LAST_STARTED:  # the member whose view is the least certain
                last_started = max(running, key=lambda candidate: candidate.started_at)
                await self._write(last_started, self._rng.choice(KEYS))

    async def _kill(self, member: MemberProcess) -> None:
        down_s = self._rng.uniform(0.0, MAX_DEATH_S)
        if not member.has_disk and not await self._is_held_elsewhere(member):
            return
        self.report.kills += 1
        await self._fleet.kill(member)
        self._restart_later(member, down_s)

    async def _is_held_elsewhere(self, member: MemberProcess) -> bool:
        """Return whether another running member holds all that was acknowledged."""
        for other in self._fleet.running():
            if other is member:
                continue
            try:
                async with asyncio.timeout(CLIENT_TIMEOUT_S):
                    found = await self._read(other)
            except TimeoutError:
                continue
            if not self._expectations.violations(other.name, found):
                return True
        return False

    def _suspend(self, member: MemberProcess) -> None:
        self.report.suspensions += 1
        self._fleet.suspend(member)
        self._run_later(self._rng.uniform(MIN_SUSPENSION_S, MAX_SUSPENSION_S), partial(self._resume, member))

    async def _resume(self, member: MemberProcess) -> None:
        self._fleet.resume(member)

    def _restart_later(self, member: MemberProcess, delay_s: float) -> None:
        self._run_later(delay_s, partial(self._fleet.start, member))

    def _run_later(self, delay_s: float, action: Callable[[], Awaitable[None]]) -> None:
        async def _act_after_delay() -> None:
            await asyncio.sleep(delay_s)
            await action()

        task = asyncio.ensure_future(_act_after_delay())
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)

    # ------------------------------------------------------------ the end

    async def _check_end(self) -> None:
        """Wait until all members hold the same, and report the promises that are broken."""
        while self._pending:
            await asyncio.wait(self._pending)
        until = time.monotonic() + CONVERGENCE_TIMEOUT_S
        while True:
            found = await self._read_all()
            violations = self._find_violations(found)
            if not violations or time.monotonic() >= until:
                self.report.violations += violations
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _read_all(self) -> dict[str, dict[str, Value] | None]:
        """Return what each member holds; None for one that serves no client in time."""
        found: dict[str, dict[str, Value] | None] = {}
        for member in self._fleet.members:
            try:
                found[member.name] = await self._read(member)
            except TimeoutError:
                found[member.name] = None
        return found

    def _find_violations(self, found: dict[str, dict[str, Value] | None]) -> list[str]:
        violations = [f"{name}: serves no client" for name, values in found.items() if values is None]
        contents = {name: values for name, values in found.items() if values is not None}
        for name, values in contents.items():
            violations += self._expectations.violations(name, values)
        if not violations and any(values != next(iter(contents.values())) for values in contents.values()):
            violations.append(f"members differ: {contents}")
        return violations


async def play(seed: int, seconds: float, folder: Path | None = None) -> SoakReport:
    """Play one run. The processes' output stays in ``folder``; without one it is deleted.

    The seed draws three to five members. Either all are in memory, or the first two and perhaps others have a
    disk.
    """
    rng = Random(f"members of {seed}")
    count = rng.randint(3, 5)
    are_in_memory = rng.random() < ALL_IN_MEMORY_PROBABILITY
    disks = [
        not are_in_memory and (number < FIRST_DISKS or rng.random() < DISK_PROBABILITY)
        for number in range(count)
    ]
    if folder is not None:
        return await StoreSoak(seed, folder, disks).run(seconds)
    with tempfile.TemporaryDirectory(prefix="store-soak-") as temporary:
        return await StoreSoak(seed, Path(temporary), disks).run(seconds)
