"""Command that measures how soon a restarted member takes writes again, and how much memory it needs.

    python -m sageturn.lab.measurements.restarted_replica --accounts 0,800 --repeats 3

Three member processes hold accounts; one is killed and started again. The time runs from its start until a
command's write at it is acknowledged. The two others have disks and are in sync; in a new cluster of members
in memory nobody is.
"""

from __future__ import annotations

import argparse
import asyncio
import statistics
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from random import Random

import uvloop

from sageturn.lab.store_soak.fleet import MemberProcess, SoakFleet
from sageturn.store.channel import read_secret
from sageturn.store.replication.ephemeral_client import open_ephemeral_client

# Whether each member has a disk; the last one is restarted. Members with a disk are in sync from the start.
FLEETS = {
    "in_sync_restarted_in_memory": (True, True, False),
    "in_sync_restarted_from_disk": (True, True, True),
    "new_all_in_memory": (False, False, False),
}
FILL_TIMEOUT_S = 120.0
POLL_INTERVAL_S = 0.2
RETRY_INTERVAL_S = 0.02
KEY = "config/accounts/measured"


class _Measurement:
    """One fleet, in which the last member is restarted repeatedly."""

    def __init__(self, folder: Path, disks: Sequence[bool], account_count: int) -> None:
        self._fleet = SoakFleet(folder, disks)
        self._secret = read_secret(self._fleet.secret_text)
        self._account_count = account_count
        self._restarted = self._fleet.members[-1]

    async def run(self, repeats: int) -> tuple[list[float], int]:
        """Return the seconds of each restart, and the resident memory in KiB after the last one."""
        try:
            await self._start()
            times_s = [await self._measure_restart(number) for number in range(repeats)]
            return times_s, _resident_kib(self._restarted)
        finally:
            await self._fleet.stop()

    async def _start(self) -> None:
        first = self._fleet.members[0]
        for member in self._fleet.members:
            if member.has_disk:
                self._fleet.mark_in_sync(member)
            await self._fleet.start(member)
        rng = Random(1)
        async with open_ephemeral_client(first.address, self._secret, FILL_TIMEOUT_S) as store:
            for number in range(self._account_count):
                store.put(
                    f"config/accounts/{number}",
                    {"salt": rng.randbytes(16).hex(), "key": rng.randbytes(64).hex()},
                )
            store.put(KEY, "before")
        await self._wait_until_filled()

    async def _wait_until_filled(self) -> None:
        async with asyncio.timeout(FILL_TIMEOUT_S):
            while True:
                async with open_ephemeral_client(
                    self._restarted.address, self._secret, FILL_TIMEOUT_S
                ) as store:
                    if len(store.keys("config/accounts/")) > self._account_count:
                        return
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _measure_restart(self, number: int) -> float:
        await self._wait_until_filled()
        await self._fleet.kill(self._restarted)
        await self._fleet.start(self._restarted)
        started_at = time.monotonic()
        async with open_ephemeral_client(self._restarted.address, self._secret, FILL_TIMEOUT_S) as store:
            store.put(KEY, number)
        return time.monotonic() - started_at


def _resident_kib(member: MemberProcess) -> int:
    assert member.process is not None
    status = Path(f"/proc/{member.process.pid}/status").read_text(encoding="utf-8")
    (line,) = [line for line in status.splitlines() if line.startswith("VmRSS:")]
    return int(line.split()[1])


def main() -> None:
    """Measure each number of accounts, in memory and on disk, and print the figures."""
    parser = argparse.ArgumentParser(prog="sageturn.lab.measurements.restarted_replica", description=__doc__)
    parser.add_argument("--accounts", default="0,800")
    parser.add_argument("--repeats", type=int, default=3)
    options = parser.parse_args()
    for account_count in map(int, options.accounts.split(",")):
        for name, disks in FLEETS.items():
            with tempfile.TemporaryDirectory(prefix="restarted-replica-") as folder:
                measurement = _Measurement(Path(folder), disks, account_count)
                times_s, resident_kib = uvloop.run(measurement.run(options.repeats))
            texts = " ".join(f"{seconds:.2f}" for seconds in times_s)
            print(
                f"accounts={account_count} fleet={name} median_s={statistics.median(times_s):.2f}"
                f" each_s={texts} resident_kib={resident_kib}",
                flush=True,
            )


if __name__ == "__main__":
    main()
