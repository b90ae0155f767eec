"""Command that compares the cost of replication on one link with the former exchange of full digests.

    python -m sageturn.lab.spreading                # 100 to 100,000 keys

Two stores replicate on loopback, in one process. Bytes are counted in frames with their authentication tags,
and the CPU time of a side is half of the process's. The former digests are made, encoded, decoded and
compared as they used to be, once every 2 s on each side, for the same records in the same run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from random import Random

import uvloop

from sageturn.lab.reports.result_table import Row, print_table
from sageturn.lab.scale.digest_replication import missing_from
from sageturn.net.admission import AdmissionController, ProcessLimits
from sageturn.store.channel import read_secret
from sageturn.store.replication.member import ReplicationMember
from sageturn.store.replication.options import ReplicationOptions
from sageturn.store.store import Store

DIGEST_INTERVAL_S = 2.0
DIGEST_TAG_BYTES = 36  # size of the authentication tag of a former digest
SECRET = read_secret("lab")
MAX_BYTES_PER_S = 1e8
LIMITS = ProcessLimits(64, 192.0)
ENDPOINT_COUNT = 97
CHANGE_COUNT = 20
POLL_INTERVAL_S = 0.002


@dataclass(frozen=True, slots=True)
class _Cost:
    """Cost of replication on one side."""

    bytes_per_s: float
    core: float  # CPU load as a fraction of one core, 0 to 1


@dataclass(frozen=True, slots=True)
class _SnapshotCost:
    """Cost of the initial transfer of all records, for both sides together."""

    size_bytes: int
    duration_s: float
    cpu_s: float


class _MemberPair:
    """Two members that replicate with each other; the second starts empty."""

    def __init__(self, key_count: int) -> None:
        self.first = _start_member("one")
        for number in range(key_count):
            self.first.replica.store.put(
                f"config/shard/{number}", {"host": f"s-{number % ENDPOINT_COUNT}", "epoch": number}
            )
        self.second = _start_member("two", self.first.address)
        self.members = (self.first, self.second)

    async def measure_snapshot(self) -> _SnapshotCost:
        """Measure the bytes, time and CPU time until the second member has all records."""
        await _wait_until(lambda: bool(self.first.link_count and self.second.link_count))
        started_cpu_s = time.process_time()
        duration_s = await _wait_until(
            lambda: self.first.replica.records.changes.roots == self.second.replica.records.changes.roots
        )
        cpu_s = time.process_time() - started_cpu_s
        return _SnapshotCost(self.first.replica.budget.consumed_bytes, duration_s, cpu_s)

    async def measure_idle(self, seconds: float) -> _Cost:
        """Return the mean cost of a side while nothing changes."""
        await _wait_until(
            lambda: all(member.replica.sessions[0].change_exchange.is_delivered for member in self.members)
        )
        before_bytes = [member.replica.budget.consumed_bytes for member in self.members]
        started_cpu_s = time.process_time()
        await asyncio.sleep(seconds)
        rates = [
            (member.replica.budget.consumed_bytes - before) / seconds
            for member, before in zip(self.members, before_bytes, strict=True)
        ]
        core = (time.process_time() - started_cpu_s) / seconds / 2
        return _Cost(sum(rates) / 2, core)

    async def measure_changes(self) -> list[int]:
        """Return the bytes that the first member sends for each of ``CHANGE_COUNT`` changes."""
        sizes_bytes = []
        for number in range(CHANGE_COUNT):
            key = f"config/shard/{number}"
            before_bytes = self.first.replica.budget.consumed_bytes
            self.first.replica.store.put(key, {"host": "s-0", "epoch": -number})
            await _wait_until(partial(self._is_replicated, key, -number))
            sizes_bytes.append(self.first.replica.budget.consumed_bytes - before_bytes)
        return sizes_bytes

    def _is_replicated(self, key: str, epoch: int) -> bool:
        record = self.second.replica.store.get(key) or {}
        return record.get("epoch") == epoch

    async def stop(self) -> None:
        """Stop the second member, and then the first."""
        for member in reversed(self.members):
            await member.stop()


def _start_member(name: str, *seeds: tuple[str, int]) -> ReplicationMember:
    options = ReplicationOptions(("127.0.0.1", 0), seeds, SECRET, max_bytes_per_s=MAX_BYTES_PER_S)
    member = ReplicationMember(Store(name), options, AdmissionController(LIMITS), Random(name))
    member.start()
    return member


def _measure_digest(store: Store) -> _Cost:
    """Return the cost of the former digests on one side, which sent one and compared one in each interval."""
    started_cpu_s = time.process_time()
    payload = json.dumps({"digest": store.digest()}, separators=(",", ":")).encode()
    decoded = json.loads(payload)["digest"]
    digest = {str(key): (int(order[0]), str(order[1])) for key, order in decoded.items()}
    missing = missing_from(store, digest)
    own = store.digest()
    assert not missing and all(key in own and own[key] >= order for key, order in digest.items())
    cpu_s = time.process_time() - started_cpu_s
    return _Cost((len(payload) + DIGEST_TAG_BYTES) / DIGEST_INTERVAL_S, cpu_s / DIGEST_INTERVAL_S)


async def _wait_until(condition: Callable[[], bool]) -> float:
    """Wait until a condition holds, and return the seconds that it took."""
    started_s = time.monotonic()
    while not condition():
        await asyncio.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_s


async def _measure(key_count: int, seconds: float) -> Row:
    pair = _MemberPair(key_count)
    snapshot = await pair.measure_snapshot()
    idle = await pair.measure_idle(seconds)
    changes_bytes = await pair.measure_changes()
    digests = _measure_digest(pair.first.replica.store)
    await pair.stop()
    return {
        "idle octets/s": round(idle.bytes_per_s),
        "idle core": f"{idle.core:.3%}",
        "digests octets/s": round(digests.bytes_per_s),
        "digests core": f"{digests.core:.3%}",
        "a change, octets": sorted(changes_bytes)[CHANGE_COUNT // 2],
        "snapshot": (
            f"{snapshot.size_bytes} octets, {snapshot.duration_s:.2f} s, {snapshot.cpu_s:.2f} s of a core"
        ),
    }


def main() -> None:
    """Measure replication with each number of keys, and print the figures."""
    parser = argparse.ArgumentParser(prog="sageturn.lab.spreading", description=__doc__)
    parser.add_argument("--keys", default="100,1000,10000,27000,100000")
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    rows = {
        f"{keys} keys": uvloop.run(_measure(keys, options.seconds))
        for keys in map(int, options.keys.split(","))
    }
    for name, row in rows.items():
        print_table(f"spread: {name}", {"": row}, options.json)


if __name__ == "__main__":
    main()
